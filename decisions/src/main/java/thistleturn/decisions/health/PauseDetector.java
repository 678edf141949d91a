package thistleturn.decisions.health;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Detects the periods in which a process with work to do did not run: it was stopped, got no
 * processor, or waited for the garbage collector. The process announces by when it will run again
 * ({@link #expectRunBy}); if it runs later than that ({@link #recordRun}), it was paused from the
 * announced time on. The true start lies between its last run and that time, so the length of a
 * pause is never overestimated. Times are in microseconds on a clock that advances during a pause.
 */
final class PauseDetector {
  /**
   * The shortest delay that counts as a pause. Timers are often late by less: because of time
   * slices, code that is not yet compiled, or another callback of the same loop iteration.
   */
  static final long MIN_PAUSE_US = 100_000;

  /** How long pauses are remembered. */
  static final long RETENTION_US = 10_000_000;

  private static final int MAX_PAUSES = 256;

  /** One pause. */
  record Pause(long fromUs, long toUs) {
    long durationUs() {
      return toUs - fromUs;
    }

    /** Returns how much of a period the pause covers, us. */
    long overlapUs(final long periodFromUs, final long periodToUs) {
      return Math.max(0, Math.min(periodToUs, toUs) - Math.max(periodFromUs, fromUs));
    }
  }

  private final Deque<Pause> pauses = new ArrayDeque<>();
  private long expectedRunUs = Long.MAX_VALUE;

  /** Announces that a timer is set for that time. An earlier announced time remains in force. */
  void expectRunBy(final long atUs) {
    expectedRunUs = Math.min(expectedRunUs, atUs);
  }

  /**
   * Records that the process runs now.
   *
   * @return for how long before now it was certainly paused, us; 0 if it was not
   */
  long recordRun(final long nowUs) {
    final long fromUs = expectedRunUs;
    expectedRunUs = Long.MAX_VALUE;
    removeOldPauses(nowUs);
    if (nowUs - MIN_PAUSE_US < fromUs) {
      return 0;
    }
    pauses.addLast(new Pause(fromUs, nowUs));
    return nowUs - fromUs;
  }

  private void removeOldPauses(final long nowUs) {
    while (!pauses.isEmpty()
        && (pauses.peekFirst().toUs() < nowUs - RETENTION_US || pauses.size() >= MAX_PAUSES)) {
      pauses.removeFirst();
    }
  }

  /** Returns for how much of a period the process was paused, us. */
  long pausedUs(final long fromUs, final long toUs) {
    long sumUs = 0;
    for (final Pause pause : pauses) {
      sumUs += pause.overlapUs(fromUs, toUs);
    }
    return sumUs;
  }

  /** Returns the longest continuous part of a period in which the process was paused, us. */
  long longestPauseUs(final long fromUs, final long toUs) {
    long longestUs = 0;
    for (final Pause pause : pauses) {
      longestUs = Math.max(longestUs, pause.overlapUs(fromUs, toUs));
    }
    return longestUs;
  }

  /** Returns how many pauses ended since that time. */
  int pausesSince(final long sinceUs) {
    int count = 0;
    for (final Pause pause : pauses) {
      count += pause.toUs() >= sinceUs ? 1 : 0;
    }
    return count;
  }

  /** Returns the last pause; null if none is remembered. */
  Pause lastPause() {
    return pauses.peekLast();
  }
}
