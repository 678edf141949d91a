package thistleturn.decisions;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import thistleturn.decisions.index.TimeHeap;

/**
 * Calls out far longer than expected: silence is counted before a time-out, and may not eat the
 * slots.
 */
final class OverdueCallDetector {
  /** How soon a further silent call may be called off, us. */
  private static final long CANCEL_INTERVAL_US = 20_000;

  /** An endpoint is left alone so long after the last look that found it silent, us. */
  private static final long AVOID_US = OverloadController.SECOND_US;

  private final ControllerState state;
  private final TimeHeap<InFlightCall> overdue = new TimeHeap<>();

  /** Calls that are overdue and not called off, the one sent first at the front. */
  private final TreeSet<InFlightCall> cancellable =
      new TreeSet<>(
          Comparator.comparingLong((InFlightCall call) -> call.sentUs)
              .thenComparingLong(InFlightCall::firstSequence));

  /** The last look at all that is overdue. */
  private long lastRoundTick, lastRoundUs;

  OverdueCallDetector(final ControllerState state) {
    this.state = state;
  }

  /** A call is out, or what it is expected to take has changed. */
  void track(final InFlightCall call) {
    overdue.schedule(call, call.overdueAtUs());
  }

  /** When the next call falls silent; never, if none is out. */
  long nextOverdueUs() {
    return overdue.earliestDueUs();
  }

  /** Everything is looked at now. */
  void recordRound() {
    lastRoundTick = state.tick;
    lastRoundUs = state.nowUs;
  }

  /** One message of a call has its outcome. */
  void recordOutcome(final InFlightCall call, final PendingMessage job) {
    cancellable.remove(call);
    call.pendingMessages.remove(job);
    if (call.isCancellable() && !call.pendingMessages.isEmpty()) {
      cancellable.add(call);
    }
  }

  /** A call is over. */
  void untrack(final InFlightCall call) {
    final EndpointHealth node = call.endpoint;
    overdue.remove(call);
    node.route.overdueCalls -= call.overdue ? 1 : 0;
    if (call.overdue && node.lastSuccessUs < call.sentUs) {
      node.unresponsiveCalls--;
      node.route.unresponsiveCalls--;
    }
  }

  /** This courier did not run for so long: that is nobody's silence. */
  void extendDeadlines(final long awayUs) {
    final List<InFlightCall> out = new ArrayList<>();
    for (InFlightCall call = overdue.poll(OverloadController.NEVER);
        call != null;
        call = overdue.poll(OverloadController.NEVER)) {
      out.add(call);
    }
    out.forEach(call -> call.hostPauseUs += awayUs);
    out.forEach(this::track);
  }

  /**
   * Attempts out far longer than expected with no success on their endpoint since: silence,
   * counted.
   */
  void markOverdueCalls() {
    for (InFlightCall call = overdue.poll(state.nowUs);
        call != null;
        call = overdue.poll(state.nowUs)) {
      call.overdue = true;
      call.endpoint.route.overdueCalls++;
      state.markChanged(call.endpoint.route.destination);
      if (call.isCancellable()) {
        cancellable.add(call);
      }
      final EndpointHealth node = call.endpoint;
      if (node.lastSuccessUs < call.sentUs) {
        node.route.unresponsiveCalls++;
        node.unresponsiveSinceTick =
            node.unresponsiveCalls++ == 0 ? state.tick : node.unresponsiveSinceTick;
      }
    }
  }

  /**
   * An endpoint is avoided while calls to it are silent, and for a while after the last look that
   * found them so. That is noted when something is about to change it: nothing need be done at each
   * look.
   */
  void avoidIfUnresponsive(final EndpointHealth node) {
    final boolean byPass = lastRoundTick > node.route.faultCheckTick;
    if (node.unresponsiveCalls > 0
        && Math.max(lastRoundTick, node.route.faultCheckTick) >= node.unresponsiveSinceTick) {
      Arrays.fill(node.avoidUntilUs, (byPass ? lastRoundUs : node.route.faultCheckUs) + AVOID_US);
      node.unresponsiveSinceTick = state.tick;
    }
  }

  /**
   * Silence may not eat the slots: while all are taken and a message could go elsewhere, the call
   * longest overdue is called off. Covers hung, stalled and very slow ones; hurts where one would
   * have answered.
   */
  void cancelLongestOverdue() {
    if (state.callsInFlight < state.concurrencyLimit
        || !state.settings.limits().cancellationAllowed()
        || cancellable.isEmpty()
        || !state
            .readyRoutes()
            .anyOf(entry -> entry.route.circuitState == CircuitState.WELL, state.nowUs)) {
      return;
    }
    final InFlightCall worst = cancellable.pollFirst();
    worst.cancelled = true;
    worst.pendingMessages.forEach(job -> state.actions.cancel(job.message.id(), job.attempts - 1));
    state.nextRoundUs =
        cancellable.isEmpty()
            ? state.nextRoundUs
            : Math.min(state.nextRoundUs, state.nowUs + CANCEL_INTERVAL_US);
  }
}
