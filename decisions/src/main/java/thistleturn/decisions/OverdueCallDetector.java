package thistleturn.decisions;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import thistleturn.decisions.index.TimeHeap;

/**
 * Detects calls that take far longer than expected, so that an unresponsive endpoint is noticed
 * before a timeout and overdue calls do not use up the concurrency limit.
 */
final class OverdueCallDetector {
  /** Delay until the next round that may cancel a further overdue call, us. */
  private static final long CANCEL_INTERVAL_US = 20_000;

  /** How long an endpoint is avoided after the last round that found it unresponsive, us. */
  private static final long AVOID_US = OverloadController.SECOND_US;

  private final ControllerState state;
  private final TimeHeap<InFlightCall> overdue = new TimeHeap<>();

  /** Overdue calls that are not cancelled, in the order in which they were sent. */
  private final TreeSet<InFlightCall> cancellable =
      new TreeSet<>(
          Comparator.comparingLong(InFlightCall::sentUs)
              .thenComparingLong(InFlightCall::firstSequence));

  private long lastRoundTick;
  private long lastRoundUs;

  OverdueCallDetector(final ControllerState state) {
    this.state = state;
  }

  /** Tracks a call that is in flight, or whose expected duration has changed. */
  void track(final InFlightCall call) {
    overdue.schedule(call, call.overdueAtUs());
  }

  /**
   * Returns when the next call becomes overdue; {@link OverloadController#NEVER} if none is in
   * flight.
   */
  long nextOverdueUs() {
    return overdue.earliestDueUs();
  }

  /** Records that the current round checks all routes for faults. */
  void recordRound() {
    lastRoundTick = state.tick;
    lastRoundUs = state.nowUs;
  }

  /** Records that one message of a call has its outcome. */
  void recordOutcome(final InFlightCall call, final PendingMessage message) {
    cancellable.remove(call);
    call.remove(message);
    if (call.isCancellable() && !call.isComplete()) {
      cancellable.add(call);
    }
  }

  /** Stops tracking a call that has ended. */
  void untrack(final InFlightCall call) {
    overdue.remove(call);
    if (!call.isOverdue()) {
      return;
    }
    call.route().removeOverdueCall();
    if (!call.endpoint().hasSucceededSince(call.sentUs())) {
      call.endpoint().removeUnresponsiveCall();
    }
  }

  /** Extends all calls in flight by the time in which this courier did not run. */
  void extendDeadlines(final long pauseUs) {
    final List<InFlightCall> inFlight = new ArrayList<>();
    for (InFlightCall call = overdue.poll(OverloadController.NEVER);
        call != null;
        call = overdue.poll(OverloadController.NEVER)) {
      inFlight.add(call);
    }
    for (final InFlightCall call : inFlight) {
      call.extendBy(pauseUs, state.nowUs);
      track(call);
    }
  }

  /** Marks the calls that have become overdue. */
  void markOverdueCalls() {
    for (InFlightCall call = overdue.poll(state.nowUs);
        call != null;
        call = overdue.poll(state.nowUs)) {
      markOverdue(call);
    }
  }

  private void markOverdue(final InFlightCall call) {
    call.markOverdue();
    call.route().addOverdueCall();
    state.markChanged(call.route().destination());
    if (call.isCancellable()) {
      cancellable.add(call);
    }
    if (!call.endpoint().hasSucceededSince(call.sentUs())) {
      call.endpoint().addUnresponsiveCall(state.tick);
    }
  }

  /**
   * Avoids an endpoint for a while after the last check that found calls to it unresponsive.
   * Evaluated only when an event is about to change the state of the endpoint, so that rounds need
   * not visit every endpoint.
   */
  void avoidIfUnresponsive(final EndpointHealth endpoint) {
    final Route route = endpoint.route();
    final boolean byRound = lastRoundTick > route.faultCheckTick();
    final long checkTick = byRound ? lastRoundTick : route.faultCheckTick();
    if (endpoint.isUnresponsive() && checkTick >= endpoint.unresponsiveSinceTick()) {
      endpoint.avoidAllUntil((byRound ? lastRoundUs : route.faultCheckUs()) + AVOID_US);
      endpoint.restartUnresponsivePeriod(state.tick);
    }
  }

  /**
   * Cancels the call that has been overdue for longest if all capacity is in use and a message is
   * ready for a route whose circuit is closed. This frees capacity held by hung and stalled
   * endpoints; the price is a call that might have been answered in the end.
   */
  void cancelLongestOverdue() {
    if (state.callsInFlight < state.concurrencyLimit
        || !state.settings.limits().cancellationAllowed()
        || cancellable.isEmpty()
        || !state.readyRoutes().anyOf(entry -> entry.route().circuit().isClosed(), state.nowUs)) {
      return;
    }
    final InFlightCall longest = cancellable.pollFirst();
    longest.cancel();
    for (final PendingMessage message : longest.pendingMessages()) {
      state.actions.cancel(message.id(), message.attempts() - 1);
    }
    if (!cancellable.isEmpty()) {
      state.nextRoundUs = Math.min(state.nextRoundUs, state.nowUs + CANCEL_INTERVAL_US);
    }
  }
}
