package thistleturn.testkit;

/** The one clock of the stand-ins: microseconds since it was made. */
public final class MonotonicClock {
  private static final long NS_PER_US = 1000;
  private final long originNs = System.nanoTime();

  /** Now. */
  public long nowUs() {
    return ofNs(System.nanoTime());
  }

  /** A moment of {@link System#nanoTime}. */
  public long ofNs(final long ns) {
    return (ns - originNs) / NS_PER_US;
  }
}
