package thistleturn.decisions;

import java.util.ArrayList;
import java.util.List;
import thistleturn.decisions.index.TimeHeap;
import thistleturn.decisions.model.AttemptResult;

/** A call in flight, with one or more messages. */
final class InFlightCall extends TimeHeap.Entry {
  /**
   * A failure is a single one while less than this share of the lane's calls fails, and its
   * endpoint serves.
   */
  static final double ISOLATED_FAILURE_RATIO = 0.3;

  /**
   * A call is overdue after so many times what is expected (one in 150, by chance), and so long,
   * us.
   */
  static final double OVERDUE_FACTOR = 5;

  static final long MIN_OVERDUE_US = OverloadController.SECOND_US;

  EndpointHealth endpoint;

  /** Its messages without an outcome, in the order taken. */
  final List<PendingMessage> pendingMessages = new ArrayList<>(1);

  /** Messages sent with it, and those without an outcome yet. */
  int batchSize, pendingOutcomes;

  long sentUs, expectedUs, connectionIdleUs;

  /** How long this courier did not run while it was out. */
  long hostPauseUs;

  /**
   * It went over a connection that was kept, as far as is known here; and that alone made it fail.
   */
  boolean reusedConnection, staleConnection;

  boolean cancelled, overdue;

  /** It was sent to learn what a refusal answered to. */
  boolean probe;

  /** A message of it was refused; and that was found not to answer to what is sent. */
  boolean rejectionClassified, strayRejection;

  /**
   * True if its connection was dead before the call: as the host tells, or, where hosts cannot
   * tell, as it seems from a reset of what may have been a kept connection, its endpoint well so
   * far.
   */
  boolean wasConnectionStale(final AttemptResult how, final double badRun) {
    return how == AttemptResult.STALE
        || (how == AttemptResult.RESET && reusedConnection && badRun == 0);
  }

  /** True if it alone was lost while others came through: that says little of its endpoint. */
  boolean isIsolatedFailure(final int kind, final AttemptResult result) {
    final Route lane = endpoint.route;
    // A reset comes at once, before another call can have been served.
    final boolean among =
        endpoint.lastSuccessUs >= sentUs
            || (result != AttemptResult.TIMED_OUT
                && lane.faultRun == 0
                && endpoint.lastSuccessUs > 0);
    return among
        && lane.circuitState == CircuitState.WELL
        && endpoint.failureRuns[kind] == 0
        && lane.failureRatio < ISOLATED_FAILURE_RATIO;
  }

  /** True while it is worth calling off. */
  boolean isCancellable() {
    return overdue && !cancelled;
  }

  long firstSequence() {
    return pendingMessages.get(0).sequence;
  }

  long overdueAtUs() {
    return sentUs + hostPauseUs + Math.max(MIN_OVERDUE_US, (long) (OVERDUE_FACTOR * expectedUs));
  }
}
