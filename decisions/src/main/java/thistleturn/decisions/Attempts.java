package thistleturn.decisions;

import thistleturn.decisions.Courier.Effect;
import thistleturn.decisions.rejections.EndpointClassStatistics;

/**
 * What a further attempt is allowed: how long it may take, until when, and whether there may be one
 * at all.
 */
final class Attempts {
  /**
   * A call begun before a stop has so many times what is expected left (chance cuts off one in
   * seven).
   */
  private static final double STOP_TIMES = 2;

  /**
   * A time-out, in times what is expected, and at least so long, us: wide enough for a long tail.
   */
  private static final double TIMEOUT_TIMES = 8;

  private static final long TIMEOUT_LEAST_US = 2 * Control.SECOND_US;

  /** A message ends so long before its time, us: two rounds. */
  private static final long END_MARGIN_US = 12_000;

  private final State state;

  Attempts(final State state) {
    this.state = state;
  }

  /**
   * False for a call that the end of this process would likely cut off: the next one may send it.
   */
  boolean endsInTime(final Lane lane, final Group group) {
    return state.stopUs == Control.NEVER
        || state.nowUs
                + (group.effect() == Effect.UNSAFE ? Call.OVERDUE_TIMES : STOP_TIMES)
                    * state.times.notedUs(lane, group.kind)
            < state.stopUs;
  }

  /** How long a message's call is expected to take there, us. */
  double expectedUs(final Lane lane, final Job job) {
    return state.times.expectedUs(lane, job.message.messageClass());
  }

  /** How long an attempt may take. */
  long timeoutUs(final Lane lane, final EndpointClassStatistics cell, final Job job) {
    final double expectedUs = expectedUs(lane, job);
    final long leftUs = job.message.validUntilUs() - state.nowUs;
    long timeoutUs = (long) Math.max(TIMEOUT_LEAST_US, TIMEOUT_TIMES * lane.stretch * expectedUs);
    if (job.kind.effect() == Effect.UNSAFE) {
      return leftUs;
    }
    timeoutUs = state.learns ? cell.timeoutUs(timeoutUs, lane.stretch) : timeoutUs;
    if (job.kind.effect() == Effect.KEYED && !job.mayHaveRun) {
      final long againUs = job.kind.keyHoldsUs() - Call.OVERDUE_LEAST_US / 2;
      timeoutUs = Math.min(timeoutUs, Math.max(Call.OVERDUE_LEAST_US, againUs));
    }
    return leftUs - timeoutUs < expectedUs ? leftUs : timeoutUs;
  }

  /** When a message that waits is ended: its time or its key's window is up. */
  long endUs(final Job job) {
    return Math.min(job.message.validUntilUs() - END_MARGIN_US, job.keyEndUs());
  }

  /** Rule on effects, and the most attempts. */
  boolean maySend(final Job job) {
    final Effect effect = job.kind.effect();
    return job.attempts < state.settings.limits().mostAttempts()
        && (!job.mayHaveRun
            || effect == Effect.SAFE
            || (effect == Effect.KEYED && state.nowUs < job.keyEndUs()));
  }
}
