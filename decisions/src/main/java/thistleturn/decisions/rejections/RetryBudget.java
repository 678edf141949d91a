package thistleturn.decisions.rejections;

/**
 * Limits the immediate retries of a destination to a share of the calls served and a small burst.
 * However wrong a classification of rejections is, it causes at most {@link
 * #RETRIES_PER_SERVED_CALL} retries for each call served, plus {@link #MAX_BURST}.
 */
public final class RetryBudget {
  /**
   * Retries for each call served. A share of rejections at {@link
   * RejectionClassifier#MAX_NOISE_SHARE} needs more than that; half that share does not.
   */
  public static final double RETRIES_PER_SERVED_CALL = 0.3;

  /** Retries that may be made in a burst. */
  public static final double MAX_BURST = 8;

  private double tokens = MAX_BURST;

  /** Records a served call. */
  public void recordServed() {
    tokens = Math.min(MAX_BURST, tokens + RETRIES_PER_SERVED_CALL);
  }

  /** Takes a token for one retry; returns false if there is none. */
  public boolean tryAcquire() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }

  /** Returns how many retries may be made now. */
  public double available() {
    return tokens;
  }
}
