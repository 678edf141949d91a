package thistleturn.decisions.rejections;

/**
 * What may be tried again at once: a share of what is served, and a few more. So however wrong a
 * reading is, further calls of this kind are at most {@link #RETRIES_PER_SERVED_CALL} of the calls
 * served and {@link #MAX_BURST} a destination.
 */
public final class RetryBudget {
  /**
   * Further calls for each call served: {@link RejectionClassifier#MAX_NOISE_SHARE} refused need
   * more, half of that does not.
   */
  public static final double RETRIES_PER_SERVED_CALL = 0.3;

  /** Further calls that may come at once. */
  public static final double MAX_BURST = 8;

  private double tokens = MAX_BURST;

  /** A call was served. */
  public void recordServed() {
    tokens = Math.min(MAX_BURST, tokens + RETRIES_PER_SERVED_CALL);
  }

  /** Takes one further call; false if there is none. */
  public boolean tryAcquire() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }

  /** Further calls that may be made now. */
  public double available() {
    return tokens;
  }
}
