package thistleturn.decisions.rejections;

/**
 * The first seconds of a window: while nothing points to crowding it grows by a call for each call
 * served, so that it doubles in a round trip (TCP's slow start, RFC 5681 section 3.1). A refusal
 * that answers to load, a failure, or times of service well over the usual end it; from there on
 * the paper's table moves the window.
 */
public final class InitialWindowGrowth {
  /** Times of service over their average, on this many calls, that point to a queue. */
  private static final double CROWDED = 2;

  private static final int LEAST_CALLS = 24;
  private static final double FAST_WEIGHT = 0.1;
  private static final double SLOW_WEIGHT = 0.02;
  private boolean growing = true;

  /**
   * Refusals for each call served that are too few to point to crowding; a first one is, in any
   * case.
   */
  private static final double FEW = 0.05;

  private int calls, refusals;
  private double fast, slow;

  /** A call was served in so many times the usual; true if the window may grow for it. */
  public boolean recordServed(final double ratio) {
    calls++;
    fast += Math.max(FAST_WEIGHT, 1.0 / calls) * (ratio - fast);
    slow += Math.max(SLOW_WEIGHT, 1.0 / calls) * (ratio - slow);
    growing &= calls < LEAST_CALLS || fast < CROWDED * slow;
    return growing;
  }

  /**
   * A call was refused; true if that ends the growth: where many more are served, it points to
   * nothing.
   */
  public boolean recordRejected() {
    refusals++;
    final boolean ends = growing && refusals > Math.max(1, FEW * calls);
    growing &= !ends;
    return ends;
  }

  /** There was another sign of crowding. */
  public void stop() {
    growing = false;
  }

  /** What was taken for crowding was none, or what is there is new. */
  public void restart() {
    growing = true;
  }

  /** True until the first sign of crowding. */
  public boolean isGrowing() {
    return growing;
  }
}
