package thistleturn.courier.runtime;

/**
 * Limits how many lines of each kind are logged per second. Kinds are numbered from 0. Thread-safe.
 */
final class LineLimiter {
  /** Returned for a line that must not be logged. */
  static final long LIMITED = -1;

  private static final int MAX_LINES_PER_SECOND = 20;
  private static final long NS_PER_S = 1_000_000_000;

  /** The second in which a line was last counted, by kind. */
  private final long[] currentSecond;

  /** Lines counted in that second, by kind. */
  private final int[] linesInSecond;

  /** Lines suppressed since the last one that was logged, by kind. */
  private final long[] suppressedLines;

  LineLimiter(final int kinds) {
    this.currentSecond = new long[kinds];
    this.linesInSecond = new int[kinds];
    this.suppressedLines = new long[kinds];
  }

  /**
   * Counts a line.
   *
   * @return how many lines of its kind were suppressed before it, or {@link #LIMITED} if it must be
   *     suppressed as well
   */
  synchronized long tryAcquire(final int kind) {
    final long second = System.nanoTime() / NS_PER_S;
    if (currentSecond[kind] != second) {
      currentSecond[kind] = second;
      linesInSecond[kind] = 0;
    }
    linesInSecond[kind]++;
    if (linesInSecond[kind] > MAX_LINES_PER_SECOND) {
      suppressedLines[kind]++;
      return LIMITED;
    }
    final long suppressed = suppressedLines[kind];
    suppressedLines[kind] = 0;
    return suppressed;
  }
}
