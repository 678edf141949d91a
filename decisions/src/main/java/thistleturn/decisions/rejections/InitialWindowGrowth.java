package thistleturn.decisions.rejections;

/**
 * Decides how long a concurrency window is in slow start (TCP's, RFC 5681 section 3.1): it grows by
 * one call for each call served, and so doubles in a round trip, until a rejection that answers to
 * load, a failure, or service times well over the usual point to congestion. After that the regular
 * control of the window takes over.
 */
public final class InitialWindowGrowth {
  /** Recent service times over their long-term average that point to a queue. */
  private static final double CONGESTED_RATIO = 2;

  /** Calls that must have been served before service times are judged. */
  private static final int MIN_CALLS = 24;

  private static final double FAST_WEIGHT = 0.1;
  private static final double SLOW_WEIGHT = 0.02;

  /**
   * Rejections for each call served that are too few to point to congestion. A first rejection is,
   * in any case.
   */
  private static final double TOLERATED_REJECTED_SHARE = 0.05;

  private boolean growing = true;
  private int served;
  private int rejected;
  private double fastAverage;
  private double slowAverage;

  /**
   * A call was served.
   *
   * @param ratio its service time as a multiple of the usual one
   * @return true if the window may grow for it
   */
  public boolean recordServed(final double ratio) {
    served++;
    fastAverage += Math.max(FAST_WEIGHT, 1.0 / served) * (ratio - fastAverage);
    slowAverage += Math.max(SLOW_WEIGHT, 1.0 / served) * (ratio - slowAverage);
    growing &= served < MIN_CALLS || fastAverage < CONGESTED_RATIO * slowAverage;
    return growing;
  }

  /** A call was rejected; true if that ends the growth. */
  public boolean recordRejected() {
    rejected++;
    final boolean ends = growing && rejected > Math.max(1, TOLERATED_REJECTED_SHARE * served);
    growing &= !ends;
    return ends;
  }

  /** Something else pointed to congestion. */
  public void stop() {
    growing = false;
  }

  /** What was taken for congestion was none, or the endpoints are new. */
  public void restart() {
    growing = true;
  }

  /** True until the first sign of congestion. */
  public boolean isGrowing() {
    return growing;
  }
}
