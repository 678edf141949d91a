package thistleturn.courier.runtime;

/**
 * The clocks of a courier, in microseconds. Deadlines, windows and waits are durations, so they are
 * measured on the machine's monotonic clock, which all processes of one boot share and which cannot
 * be set. The wall clock is for display, and for numbers that must increase from one process to the
 * next.
 */
public final class Clock {
  private static final long NS_PER_US = 1000;
  private static final long US_PER_MS = 1000;

  /** Far from zero, so that zero, which means "never yet", is far in the past. */
  private static final long ORIGIN_US = 1L << 50;

  /** Returns the monotonic time; other processes of the same boot read the same clock. */
  public long nowUs() {
    return ORIGIN_US + System.nanoTime() / NS_PER_US;
  }

  /** Returns the Unix time, which may be set back. */
  public long wallClockUs() {
    return System.currentTimeMillis() * US_PER_MS;
  }
}
