package thistleturn.decisions.noise;

/**
 * What may be tried again at once: a share of what is served, and a few more. So however wrong a
 * reading is, further calls of this kind are at most {@link #SHARE} of the calls served and {@link
 * #BURST} a destination.
 */
public final class RetryBudget {
  /**
   * Further calls for each call served: {@link RefusalReading#MOST_SHARE} refused need more, half
   * of that does not.
   */
  public static final double SHARE = 0.3;

  /** Further calls that may come at once. */
  public static final double BURST = 8;

  private double left = BURST;

  /** A call was served. */
  public void served() {
    left = Math.min(BURST, left + SHARE);
  }

  /** Takes one further call; false if there is none. */
  public boolean take() {
    if (left < 1) {
      return false;
    }
    left--;
    return true;
  }

  /** Further calls that may be made now. */
  public double left() {
    return left;
  }
}
