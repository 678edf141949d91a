package thistleturn.decisions.health;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Stretches in which a courier did not run though it had something to do. It says by when it will
 * run again ({@link #expectRunBy}); where it runs later than that ({@link #recordRun}), it was away
 * from that moment on: stopped, without a core, or behind a collector. The true beginning lies
 * between its last run and that moment, so an absence is never found too long. Times are
 * microseconds on a clock that goes on meanwhile.
 */
final class PauseDetector {
  /**
   * A timer that is late by less is nothing: the system's own slices, cold code, another callback
   * of the same turn.
   */
  static final long MIN_PAUSE_US = 100_000;

  /** What is older than this is not kept, nor are more stretches than that. */
  static final long RETENTION_US = 10_000_000;

  private static final int MOST = 256;

  /** One absence. */
  record Pause(long fromUs, long toUs) {}

  private final Deque<Pause> kept = new ArrayDeque<>();
  private long promisedUs = Long.MAX_VALUE;

  /** It will run by that moment, whatever comes: a timer is set. An earlier promise stands. */
  void expectRunBy(final long us) {
    promisedUs = Math.min(promisedUs, us);
  }

  /**
   * It runs now; what was promised is kept, or not.
   *
   * @return for how long before now it surely did not run though it should have, us; 0: it did
   */
  long recordRun(final long nowUs) {
    final long fromUs = promisedUs;
    promisedUs = Long.MAX_VALUE;
    while (!kept.isEmpty()
        && (kept.peekFirst().toUs() < nowUs - RETENTION_US || kept.size() >= MOST)) {
      kept.removeFirst();
    }
    if (nowUs - MIN_PAUSE_US < fromUs) {
      return 0;
    }
    kept.addLast(new Pause(fromUs, nowUs));
    return nowUs - fromUs;
  }

  /** How much of a stretch of time it was away, us. */
  long pausedUs(final long fromUs, final long toUs) {
    long sumUs = 0;
    for (final Pause one : kept) {
      sumUs += Math.max(0, Math.min(toUs, one.toUs()) - Math.max(fromUs, one.fromUs()));
    }
    return sumUs;
  }

  /** The longest part of a stretch of time in which it was away at once, us. */
  long longestPauseUs(final long fromUs, final long toUs) {
    long mostUs = 0;
    for (final Pause one : kept) {
      mostUs = Math.max(mostUs, Math.min(toUs, one.toUs()) - Math.max(fromUs, one.fromUs()));
    }
    return mostUs;
  }

  /** How many absences ended since that moment. */
  int pausesSince(final long us) {
    int count = 0;
    for (final Pause one : kept) {
      count += one.toUs() >= us ? 1 : 0;
    }
    return count;
  }

  /** The last one; null: none that is kept. */
  Pause lastPause() {
    return kept.peekLast();
  }
}
