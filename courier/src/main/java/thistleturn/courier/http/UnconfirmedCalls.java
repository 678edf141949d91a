package thistleturn.courier.http;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Dispatcher.DispatchOutcome;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.GuardedTasks;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.pools.AnswerConfirmation;

/**
 * The calls whose messages were ended by a response that is known only by its place on a
 * connection. Notifies the listener when each is confirmed or in doubt. While there are any, they
 * are checked periodically. Used on the event loop.
 */
final class UnconfirmedCalls {
  private static final long CHECK_INTERVAL_MS = 250;

  /** The time that is left for a notice to the platform when an answer is put in doubt. */
  private static final long NOTICE_TIME_US = 200_000;

  /** Beyond this number of messages the earliest answers count as confirmed. */
  private static final int MAX_MESSAGES = 4000;

  /** Beyond this size of all bodies the earliest answers count as confirmed. */
  private static final long MAX_BODY_BYTES = 4L << 20;

  /**
   * A call with its answer.
   *
   * @param endsMessages true if the answer ended the messages; false if it rejected them
   */
  private record AnsweredCall(HttpCall call, boolean endsMessages) {}

  private final EventLoop loop;
  private final Clock clock;
  private final Dispatcher.Listener listener;
  private final AnswerConfirmation<AnsweredCall, EndpointConnection> answers =
      new AnswerConfirmation<>();
  private int messages;
  private long bodyBytes;
  private boolean checkScheduled;

  UnconfirmedCalls(final EventLoop loop, final Clock clock, final Dispatcher.Listener listener) {
    this.loop = loop;
    this.clock = clock;
    this.listener = listener;
  }

  /** A call was answered as delivered or over, perhaps by the response of another call. */
  void addEnd(final HttpCall call, final EndpointConnection connection, final int place) {
    add(new AnsweredCall(call, true), connection, place);
  }

  /**
   * Records an answer that leaves its messages open, or ends their attempts, if it says that they
   * never ran. Its connection ends now.
   *
   * @return the outcome of the call until it is put in doubt
   */
  DispatchOutcome addOpen(
      final HttpCall call,
      final EndpointConnection connection,
      final int place,
      final DispatchOutcome outcome) {
    if (outcome.neverExecuted()) {
      add(new AnsweredCall(call, false), connection, place);
    }
    return outcome.unconfirmed();
  }

  private void add(
      final AnsweredCall answered, final EndpointConnection connection, final int place) {
    final HttpCall call = answered.call();
    answers.add(
        answered,
        connection,
        call.endpoint(),
        place,
        call.deadlineUs(),
        call.messageDeadlineUs() - NOTICE_TIME_US);
    messages += call.attempts().size();
    bodyBytes += call.bodyBytes();
    while (messages > MAX_MESSAGES || bodyBytes > MAX_BODY_BYTES) {
      confirm(List.of(answers.confirmOldest()));
    }
    scheduleCheck();
  }

  /** True if each call to an endpoint needs a connection of its own. */
  boolean isReuseSuspended(final long endpoint) {
    return answers.isReuseSuspended(endpoint, clock.nowUs());
  }

  /** True if connections to any endpoint were out of step lately. */
  boolean wasAnyOutOfStep() {
    return answers.wasAnyOutOfStep(clock.nowUs());
  }

  boolean isUnconfirmed(final EndpointConnection connection) {
    return answers.isUnconfirmed(connection);
  }

  /**
   * A response came on a connection that does not belong to the call for which it was read.
   *
   * @param complete whether all responses to its calls have come
   */
  void onOutOfStep(
      final EndpointConnection connection,
      final EndpointConnectionPool pool,
      final boolean complete) {
    final boolean suspended = isReuseSuspended(pool.endpoint());
    apply(
        answers.onOutOfStep(
            connection, pool.endpoint(), connection.answers().history(), complete, clock.nowUs()));
    if (!isReuseSuspended(pool.endpoint())) {
      return;
    }
    if (!suspended) {
      Log.event(Event.ENDPOINT_REUSE_SUSPENDED, "to", pool.address());
    }
    // Connections that may still show whether their answers are in doubt stay open.
    pool.idleSnapshot().stream()
        .filter(idle -> !isUnconfirmed(idle))
        .forEach(idle -> idle.close(EndpointCloseReason.REUSE_SUSPENDED));
  }

  /** A connection has ended. */
  void onConnectionEnded(final EndpointConnection connection) {
    apply(answers.onConnectionEnded(connection, connection.answers().history(), clock.nowUs()));
  }

  /** Resolves all answers now, since this process will not learn more about them. */
  void resolveAll() {
    apply(answers.resolveAll(clock.nowUs()));
  }

  private void scheduleCheck() {
    if (!checkScheduled && !answers.isEmpty()) {
      checkScheduled = true;
      loop.schedule(
          GuardedTasks.guard("check of unconfirmed answers", this::check),
          CHECK_INTERVAL_MS,
          TimeUnit.MILLISECONDS);
    }
  }

  private void check() {
    checkScheduled = false;
    apply(answers.resolveDue(clock.nowUs()));
    scheduleCheck();
  }

  private void apply(final AnswerConfirmation.Verdict<AnsweredCall> verdict) {
    confirm(verdict.confirmed());
    putInDoubt(verdict.inDoubt());
  }

  private void apply(
      final AnswerConfirmation.Resolution<AnsweredCall, EndpointConnection> resolution) {
    confirm(resolution.confirmed());
    for (final EndpointConnection connection : resolution.toEnd()) {
      if (connection.endIfIdle()) {
        onConnectionEnded(connection);
      }
    }
  }

  private void confirm(final List<AnsweredCall> confirmed) {
    for (final AnsweredCall answered : confirmed) {
      release(answered.call());
      if (answered.endsMessages()) {
        answered.call().attempts().forEach(listener::onAnswerConfirmed);
      }
    }
  }

  private void putInDoubt(final List<AnswerConfirmation.Doubtful<AnsweredCall>> doubtful) {
    for (final AnswerConfirmation.Doubtful<AnsweredCall> each : doubtful) {
      release(each.call().call());
      putInDoubt(each.call(), each.mayBeEnd());
    }
  }

  private void putInDoubt(final AnsweredCall answered, final boolean mayBeEnd) {
    final HttpCall call = answered.call();
    for (final Dispatcher.Attempt attempt : call.attempts()) {
      if (answered.endsMessages()) {
        listener.onAnswerInDoubt(attempt, call, mayBeEnd);
        continue;
      }
      listener.onRejectionInDoubt(attempt, call);
      if (mayBeEnd) {
        listener.onEndStated(attempt, call);
      }
    }
  }

  private void release(final HttpCall call) {
    messages -= call.attempts().size();
    bodyBytes -= call.bodyBytes();
  }
}
