package thistleturn.courier.runtime;

/**
 * The clocks of a courier, in microseconds. Deadlines, windows and waits are spans of real time, so
 * everything runs on the machine's monotonic clock, which all processes of one boot share and
 * nobody sets. The wall clock is for people, and for numbers that have to grow from one process to
 * the next.
 */
public final class Clock {
  private static final long NS_PER_US = 1000;
  private static final long US_PER_MS = 1000;

  /** Far from zero, so that "never yet" (zero) lies long ago for the decisions. */
  private static final long ORIGIN_US = 1L << 50;

  /** Now, on the clock that never moves back; another process of this boot reads the same. */
  public long nowUs() {
    return ORIGIN_US + System.nanoTime() / NS_PER_US;
  }

  /** Now, in Unix time, as whoever set the clock would have it. */
  public long wallClockUs() {
    return System.currentTimeMillis() * US_PER_MS;
  }
}
