package thistleturn.testkit;

/** The clock that all stand-ins share: microseconds since its creation. */
public final class MonotonicClock {
  private static final long NS_PER_US = 1000;
  private final long originNs = System.nanoTime();

  /** Returns the present time. */
  public long nowUs() {
    return ofNs(System.nanoTime());
  }

  /** Converts a time of {@link System#nanoTime}. */
  public long ofNs(final long ns) {
    return (ns - originNs) / NS_PER_US;
  }
}
