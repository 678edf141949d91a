package thistleturn.courier;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.handover.HandoverClient;
import thistleturn.courier.handover.HandoverCodec;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.handover.Successor;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.MessageStore;
import thistleturn.courier.port.MessageTimeline;
import thistleturn.courier.port.OutcomeNotifier;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.MessageClass;

/**
 * A takeover with made-up messages that go nowhere, before the real one: while a newer process
 * takes over, clients wait, and code that has run before is some times as quick as code that has
 * not. Everything is kept in memory, and forgotten.
 */
final class TakeoverWarmUp {
  private static final int ROUNDS = 4;
  private static final int MESSAGES = 60;
  private static final int ENDPOINTS = 6;
  private static final int DESTINATIONS = 3;

  /** How long a round's calls may take to come to their ends. */
  private static final long ROUND_MS = 25;

  private static final long MESSAGE_LIFETIME_US = 10_000_000;

  private final CourierConfig config;
  private final EventLoop loop;
  private final Clock clock;

  TakeoverWarmUp(final CourierConfig config, final EventLoop loop, final Clock clock) {
    this.config = config;
    this.loop = loop;
    this.clock = clock;
  }

  /** Practises, then goes on with what is given. Runs on the event loop. */
  void runThen(final Runnable then) {
    Log.setMuted(true);
    runRound(
        0,
        () -> {
          Log.setMuted(false);
          then.run();
        });
  }

  private void runRound(final int number, final Runnable then) {
    if (number == ROUNDS) {
      then.run();
      return;
    }
    final InMemoryMessageStore pages = new InMemoryMessageStore();
    final DecisionLoop elder =
        new DecisionLoop(config, loop, clock, pages, new SimulatedEndpoints());
    elder.start();
    for (int message = 0; message < MESSAGES; message++) {
      final MessageClass kind =
          config.settings().classes().get(message % config.settings().classes().size());
      final long nowUs = clock.nowUs();
      final StoredMessage held =
          new StoredMessage(
              "practice-" + message,
              kind.name(),
              "key-" + message,
              message % DESTINATIONS,
              nowUs + MESSAGE_LIFETIME_US,
              new byte[message]);
      held.startTimeline(new MessageTimeline(nowUs, nowUs, nowUs, nowUs + MESSAGE_LIFETIME_US));
      elder.submit(held, nowUs + MESSAGE_LIFETIME_US, new DiscardedReply());
    }
    loop.schedule(
        () -> {
          try {
            final HandoverSnapshot inheritance =
                HandoverCodec.encodeAndDecode(elder.handOver(new DiscardingSuccessor()));
            final DecisionLoop heir =
                new DecisionLoop(config, loop, clock, pages, new SimulatedEndpoints());
            heir.start(inheritance, HandoverClient.none());
            inheritance
                .calls()
                .forEach(
                    call ->
                        call.messageIds()
                            .forEach(
                                id ->
                                    heir.onRemoteOutcome(
                                        id,
                                        new Dispatcher.DispatchOutcome(
                                            AttemptResult.DELIVERED, true, 0, null))));
            loop.schedule(
                () -> {
                  // It may not go on deciding beside the real one.
                  try {
                    heir.handOver(new DiscardingSuccessor());
                  } catch (final IOException e) {
                    Log.failure("practice", e);
                  }
                  runRound(number + 1, then);
                },
                ROUND_MS,
                TimeUnit.MILLISECONDS);
          } catch (final IOException | RuntimeException e) {
            Log.failure("practice", e);
            then.run();
          }
        },
        ROUND_MS,
        TimeUnit.MILLISECONDS);
  }

  /** Calls that go nowhere: four of five are answered, in the next turn. */
  private final class SimulatedEndpoints
      implements DecisionLoop.Ports, Dispatcher, OutcomeNotifier, EndpointDirectory {
    private Dispatcher.Listener listener;
    private int calls;

    private record SimulatedCall(long endpoint, long preparedUs, List<? extends Attempt> parcels)
        implements Call {}

    @Override
    public Dispatcher dispatcher(final Dispatcher.Listener told) {
      listener = told;
      return this;
    }

    @Override
    public OutcomeNotifier outcomeNotifier(final OutcomeNotifier.Listener told) {
      return this;
    }

    @Override
    public EndpointDirectory endpointDirectory() {
      return this;
    }

    @Override
    public void afterPoll(final long us, final Runnable action) {
      action.run();
    }

    @Override
    public void start(final EndpointDirectory.Listener told) {
      final String kind =
          config.settings().kinds().isEmpty() ? "" : config.settings().kinds().get(0).name();
      final List<Entry> listings = new ArrayList<>();
      for (int number = 0; number < ENDPOINTS; number++) {
        listings.add(
            new Entry(
                "practice-" + number,
                EndpointState.LISTED,
                new InetSocketAddress("127.0.0.1", 1),
                config.settings().zone(),
                MESSAGES,
                kind,
                number % DESTINATIONS));
      }
      told.onUpdate(EndpointUpdate.RESTORED_SNAPSHOT, listings);
    }

    @Override
    public Call prepare(final long endpoint, final List<? extends Attempt> parcels) {
      return new SimulatedCall(endpoint, clock.nowUs(), List.copyOf(parcels));
    }

    @Override
    public void start(final Call call) {
      if (++calls % DESTINATIONS != 0) {
        loop.execute(() -> end(call, new DispatchOutcome(AttemptResult.DELIVERED, true, 0, null)));
      }
    }

    @Override
    public void abandon(final Call call, final AttemptResult result) {
      end(call, new DispatchOutcome(result, false, 0, null));
    }

    private void end(final Call call, final DispatchOutcome answer) {
      ((SimulatedCall) call).parcels().forEach(parcel -> listener.onOutcome(parcel, call, answer));
    }

    @Override
    public void updateEndpoint(
        final Endpoint entry, final boolean apart, final InetSocketAddress address) {
      // Nothing is kept of it.
    }

    @Override
    public void removeEndpoint(final long endpoint) {
      // Nothing was kept of it.
    }

    @Override
    public void abandonUnwrittenCalls(final long endpoint) {
      // Nothing is on its way.
    }

    @Override
    public void closeIdleConnections(final long endpoint) {
      // Nothing is open.
    }

    @Override
    public void requestUpdates() {
      // There is no news.
    }

    @Override
    public boolean isCurrent() {
      return true;
    }

    @Override
    public void enqueue(final StoredMessage held) {
      // Nobody is told.
    }

    @Override
    public void flush() {
      // Nobody is told.
    }

    @Override
    public boolean isEmpty() {
      return true;
    }

    @Override
    public void reload(final CourierConfig fresh) {
      // It keeps nothing of it.
    }
  }

  /** A journal in memory. */
  private static final class InMemoryMessageStore implements MessageStore {
    private final Map<String, StoredMessage> liveMessages = new LinkedHashMap<>();

    @Override
    public Collection<StoredMessage> pendingMessages() {
      return List.copyOf(liveMessages.values());
    }

    @Override
    public boolean contains(final String id) {
      return liveMessages.containsKey(id);
    }

    @Override
    public boolean recordAccepted(final StoredMessage held) {
      liveMessages.put(held.id(), held);
      return true;
    }

    @Override
    public void recordAttemptStarted(
        final StoredMessage held, final long nowUs, final String zone) {
      held.startAttempt(nowUs, zone);
    }

    @Override
    public void recordAttemptOutcome(final StoredMessage held, final boolean neverRan) {
      held.endAttempt(neverRan);
    }

    @Override
    public void recordFinalOutcome(
        final StoredMessage held, final StoredMessage.FinalOutcome notice) {
      liveMessages.remove(held.id());
    }

    @Override
    public void recordCompleted(final StoredMessage held) {
      liveMessages.remove(held.id());
    }

    @Override
    public FlushResult flush() {
      return FlushResult.DURABLE;
    }

    @Override
    public boolean isWritable() {
      return true;
    }
  }

  /** A client that does not listen. */
  private static final class DiscardedReply implements Ingress.Reply {
    @Override
    public void accepted() {
      // It does not listen.
    }

    @Override
    public void rejected(final Ingress.RejectionReason why, final long retryAfterUs) {
      // It does not listen.
    }

    @Override
    public void failed() {
      // It does not listen.
    }

    @Override
    public void invalid(final Ingress.InvalidReason fault) {
      // It does not listen.
    }
  }

  /** An heir that is told things and does nothing. */
  private static final class DiscardingSuccessor implements Successor {
    @Override
    public void submit(
        final StoredMessage held, final long validUntilUs, final Ingress.Reply reply) {
      reply.failed();
    }

    @Override
    public void withdraw(final String id, final long destination) {
      // It holds nothing.
    }

    @Override
    public void reportOutcome(
        final long call, final String messageId, final Dispatcher.DispatchOutcome answer) {
      // It is not told of by anyone.
    }
  }
}
