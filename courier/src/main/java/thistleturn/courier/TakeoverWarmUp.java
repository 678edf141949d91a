package thistleturn.courier;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.handover.EarlierProcesses;
import thistleturn.courier.handover.HandoverClient;
import thistleturn.courier.handover.HandoverCodec;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.handover.Successor;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.MessageStore;
import thistleturn.courier.port.MessageTimeline;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.port.Submission;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.MessageClass;

/**
 * Runs several takeovers with generated messages in memory before the real one: while a newer
 * process takes over, clients wait, and code that has run before is several times as fast as code
 * that has not. Nothing is stored or sent.
 */
final class TakeoverWarmUp {
  private static final int ROUNDS = 4;
  private static final int MESSAGES = 60;
  private static final int DESTINATIONS = 3;

  /** How long a round's calls may take to complete. */
  private static final long ROUND_MS = 25;

  private static final long MESSAGE_LIFETIME_US = 10_000_000;
  private static final String TASK_NAME = "takeover warm-up";

  private final CourierConfig config;
  private final EventLoop eventLoop;
  private final Clock clock;

  TakeoverWarmUp(final CourierConfig config, final EventLoop eventLoop, final Clock clock) {
    this.config = config;
    this.eventLoop = eventLoop;
    this.clock = clock;
  }

  /** Warms up, then runs {@code next}; a failure ends the warm-up early. */
  void runThen(final Runnable next) {
    Log.setMuted(true);
    final Runnable end =
        () -> {
          Log.setMuted(false);
          next.run();
        };
    runOrEnd(
        () -> {
          EarlierProcesses.warmUp();
          runRound(0, end);
        },
        end);
  }

  private void runRound(final int round, final Runnable next) {
    if (round == ROUNDS) {
      next.run();
      return;
    }
    final InMemoryMessageStore store = new InMemoryMessageStore();
    final DecisionLoop older = newDecisionLoop(store);
    older.start();
    for (int number = 0; number < MESSAGES; number++) {
      submitMessage(older, number);
    }
    afterRoundTime(() -> takeOver(older, store, round, next), next);
  }

  private DecisionLoop newDecisionLoop(final MessageStore store) {
    return new DecisionLoop(
        config,
        eventLoop,
        clock,
        store,
        new SimulatedEndpoints(config, eventLoop, clock, DESTINATIONS));
  }

  private void submitMessage(final DecisionLoop decisionLoop, final int number) {
    final List<MessageClass> classes = config.settings().classes();
    final long nowUs = clock.nowUs();
    final long expiresUs = nowUs + MESSAGE_LIFETIME_US;
    final StoredMessage message =
        new StoredMessage(
            "warm-up-" + number,
            classes.get(number % classes.size()).name(),
            "key-" + number,
            number % DESTINATIONS,
            expiresUs,
            new byte[number]);
    message.startTimeline(new MessageTimeline(nowUs, nowUs, nowUs, expiresUs));
    decisionLoop.submit(message, expiresUs, new DiscardedReply());
  }

  private void takeOver(
      final DecisionLoop older, final MessageStore store, final int round, final Runnable next)
      throws IOException {
    final HandoverSnapshot snapshot =
        HandoverCodec.encodeAndDecode(older.handOver(new DiscardingSuccessor()));
    final DecisionLoop newer = newDecisionLoop(store);
    newer.start(snapshot, HandoverClient.none());
    final Dispatcher.DispatchOutcome delivered =
        new Dispatcher.DispatchOutcome(AttemptResult.DELIVERED, true, 0, null);
    snapshot.calls().stream()
        .flatMap(call -> call.messageIds().stream())
        .forEach(messageId -> newer.predecessorEvents().onRemoteOutcome(messageId, delivered));
    afterRoundTime(
        () -> {
          stopDeciding(newer);
          runRound(round + 1, next);
        },
        next);
  }

  /**
   * Makes a decision loop hand over, so that it does not decide any more alongside the real one.
   */
  private static void stopDeciding(final DecisionLoop decisionLoop) {
    try {
      decisionLoop.handOver(new DiscardingSuccessor());
    } catch (final IOException e) {
      Log.failure(TASK_NAME, e);
    }
  }

  /** Runs a step when the calls of a round are over; if it fails, the warm-up ends. */
  private void afterRoundTime(final Step step, final Runnable next) {
    eventLoop.schedule(() -> runOrEnd(step, next), ROUND_MS, TimeUnit.MILLISECONDS);
  }

  private static void runOrEnd(final Step step, final Runnable next) {
    try {
      step.run();
    } catch (final IOException | RuntimeException e) {
      Log.failure(TASK_NAME, e);
      next.run();
    }
  }

  /** A step of a round. */
  private interface Step {
    void run() throws IOException;
  }

  /** The reply to a client that does not exist. */
  private static final class DiscardedReply implements Ingress.Reply {
    @Override
    public void accepted() {
      // There is no client.
    }

    @Override
    public void rejected(final Ingress.RejectionReason reason, final long retryAfterUs) {
      // There is no client.
    }

    @Override
    public void failed() {
      // There is no client.
    }

    @Override
    public void invalid(final Ingress.InvalidReason reason) {
      // There is no client.
    }
  }

  /** A successor that ignores what is reported to it. */
  private static final class DiscardingSuccessor implements Successor {
    @Override
    public void submit(
        final StoredMessage message, final long deadlineUs, final Ingress.Reply reply) {
      reply.failed();
    }

    @Override
    public void withdraw(final Submission submission) {
      // There are no clients.
    }

    @Override
    public void reportOutcome(
        final long call, final String messageId, final Dispatcher.DispatchOutcome outcome) {
      // Outcomes are not needed.
    }

    @Override
    public void reloadConfiguration() {
      // Its configuration is made up.
    }
  }
}
