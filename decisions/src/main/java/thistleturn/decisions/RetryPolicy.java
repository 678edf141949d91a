package thistleturn.decisions;

import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.rejections.EndpointClassStatistics;

/**
 * What a further attempt is allowed: how long it may take, until when, and whether there may be one
 * at all.
 */
final class RetryPolicy {
  /**
   * A call begun before a stop has so many times what is expected left (chance cuts off one in
   * seven).
   */
  private static final double STOP_FACTOR = 2;

  /**
   * A time-out, in times what is expected, and at least so long, us: wide enough for a long tail.
   */
  private static final double TIMEOUT_FACTOR = 8;

  private static final long MIN_TIMEOUT_US = 2 * OverloadController.SECOND_US;

  /** A message ends so long before its time, us: two rounds. */
  private static final long EXPIRY_MARGIN_US = 12_000;

  private final ControllerState state;

  RetryPolicy(final ControllerState state) {
    this.state = state;
  }

  /**
   * False for a call that the end of this process would likely cut off: the next one may send it.
   */
  boolean fitsBeforeStop(final Route lane, final DeadlineGroup group) {
    return state.stopAtUs == OverloadController.NEVER
        || state.nowUs
                + (group.idempotence() == Idempotence.NON_IDEMPOTENT
                        ? InFlightCall.OVERDUE_FACTOR
                        : STOP_FACTOR)
                    * state.latencies.publishedExpectedUs(lane, group.classIndex)
            < state.stopAtUs;
  }

  /** How long a message's call is expected to take there, us. */
  double expectedUs(final Route lane, final PendingMessage job) {
    return state.latencies.expectedUs(lane, job.message.classIndex());
  }

  /** How long an attempt may take. */
  long timeoutUs(final Route lane, final EndpointClassStatistics cell, final PendingMessage job) {
    final double expectedUs = expectedUs(lane, job);
    final long leftUs = job.message.validUntilUs() - state.nowUs;
    long timeoutUs =
        (long) Math.max(MIN_TIMEOUT_US, TIMEOUT_FACTOR * lane.timeoutMultiplier * expectedUs);
    if (job.messageClass.idempotence() == Idempotence.NON_IDEMPOTENT) {
      return leftUs;
    }
    timeoutUs =
        state.classifiesFaults ? cell.timeoutUs(timeoutUs, lane.timeoutMultiplier) : timeoutUs;
    if (job.messageClass.idempotence() == Idempotence.IDEMPOTENT_BY_KEY && !job.mayHaveExecuted) {
      final long againUs = job.messageClass.safeKeyWindowUs() - InFlightCall.MIN_OVERDUE_US / 2;
      timeoutUs = Math.min(timeoutUs, Math.max(InFlightCall.MIN_OVERDUE_US, againUs));
    }
    return leftUs - timeoutUs < expectedUs ? leftUs : timeoutUs;
  }

  /** When a message that waits is ended: its time or its key's window is up. */
  long expiryUs(final PendingMessage job) {
    return Math.min(job.message.validUntilUs() - EXPIRY_MARGIN_US, job.retryDeadlineUs());
  }

  /** Rule on effects, and the most attempts. */
  boolean mayAttempt(final PendingMessage job) {
    final Idempotence effect = job.messageClass.idempotence();
    return job.attempts < state.settings.limits().maxAttempts()
        && (!job.mayHaveExecuted
            || effect == Idempotence.IDEMPOTENT
            || (effect == Idempotence.IDEMPOTENT_BY_KEY && state.nowUs < job.retryDeadlineUs()));
  }
}
