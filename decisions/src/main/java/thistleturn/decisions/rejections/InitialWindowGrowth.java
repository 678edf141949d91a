package thistleturn.decisions.rejections;

/**
 * Decides how long a concurrency window stays in slow start (as in TCP, RFC 5681 section 3.1): it
 * grows by one call for each call served, and so doubles in a round trip, until a rejection caused
 * by load, a failure, or service times well above the usual ones indicate congestion. After that
 * the regular control of the window takes over.
 */
public final class InitialWindowGrowth {
  /** Ratio of recent service times to their long-term average that indicates a queue. */
  private static final double CONGESTED_RATIO = 2;

  /** Calls that must have been served before service times are evaluated. */
  private static final int MIN_CALLS = 24;

  private static final double FAST_WEIGHT = 0.1;
  private static final double SLOW_WEIGHT = 0.02;

  /**
   * Rejections for each call served that do not indicate congestion yet. The first rejection never
   * does.
   */
  private static final double TOLERATED_REJECTED_SHARE = 0.05;

  private boolean growing = true;
  private int served;
  private int rejected;
  private double fastAverage;
  private double slowAverage;

  /**
   * Records a served call.
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

  /** Records a rejected call; returns whether that ends the growth. */
  public boolean recordRejected() {
    rejected++;
    final boolean ends = growing && rejected > Math.max(1, TOLERATED_REJECTED_SHARE * served);
    growing &= !ends;
    return ends;
  }

  /** Ends the growth because of another sign of congestion. */
  public void stop() {
    growing = false;
  }

  /** Restarts the growth after a false sign of congestion, or with new endpoints. */
  public void restart() {
    growing = true;
  }

  /** Returns true until the first sign of congestion. */
  public boolean isGrowing() {
    return growing;
  }
}
