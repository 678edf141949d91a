package thistleturn.decisions.rejections;

/**
 * Limits the retries that are made at once: to a share of the calls served, and a small burst. So
 * however wrong a classification of rejections is, the retries that follow from it are at most
 * {@link #RETRIES_PER_SERVED_CALL} of the calls served plus {@link #MAX_BURST} for a destination.
 */
public final class RetryBudget {
  /**
   * Retries for each call served. As many rejections as {@link RejectionClassifier#MAX_NOISE_SHARE}
   * allows need more than that; half as many do not.
   */
  public static final double RETRIES_PER_SERVED_CALL = 0.3;

  /** Retries that may be made at once. */
  public static final double MAX_BURST = 8;

  private double tokens = MAX_BURST;

  /** A call was served. */
  public void recordServed() {
    tokens = Math.min(MAX_BURST, tokens + RETRIES_PER_SERVED_CALL);
  }

  /** Takes a token for one retry; false if there is none. */
  public boolean tryAcquire() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }

  /** How many retries may be made now. */
  public double available() {
    return tokens;
  }
}
