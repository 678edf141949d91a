package thistleturn.decisions.rejections;

/**
 * Statistics of the calls of one message class to one endpoint: the tail of their service times,
 * and whether only this class is rejected at this endpoint while the rest of the destination
 * serves.
 */
public final class EndpointClassStatistics {
  /** Calls after which the longest recent time counts as the tail of the distribution. */
  private static final int MIN_SAMPLES = 64;

  /** Share by which the tail decays with each call. */
  private static final double TAIL_DECAY = 1.0 / 128;

  /** Timeout as a multiple of the tail. */
  private static final double TIMEOUT_TAILS = 3;

  /** The shortest timeout, us: longer than a garbage collection or a retransmitted packet takes. */
  private static final long MIN_TIMEOUT_US = 500_000;

  /**
   * Consecutive rejections after which they count as specific to the class at this endpoint, if the
   * destination served at least as many calls meanwhile.
   */
  private static final int MIN_REJECTIONS = 4;

  /** How long such a class is first excluded from the endpoint, us. */
  private static final long MIN_EXCLUSION_US = 1_000_000;

  private static final int MAX_EXCLUSION_DOUBLINGS = 4;

  private int samples;
  private int consecutiveRejections;
  private double tailLatencyUs;

  /** The destination's counts when the current sequence of rejections began. */
  private long destinationServedBefore;

  private long destinationRejectedBefore;

  /** Records a call that was served in that time, us. */
  public void recordServed(final long durationUs) {
    consecutiveRejections = 0;
    samples++;
    tailLatencyUs = Math.max((double) durationUs, tailLatencyUs - TAIL_DECAY * tailLatencyUs);
  }

  /**
   * Records a rejected call.
   *
   * @param destinationServed calls of the whole destination that were served so far
   * @param destinationRejected calls of the whole destination that were rejected so far
   * @return how long the class is to be excluded from this endpoint, us; 0 if the rejections are
   *     not specific to it
   */
  public long recordRejected(final long destinationServed, final long destinationRejected) {
    if (consecutiveRejections == 0) {
      destinationServedBefore = destinationServed;
      destinationRejectedBefore = destinationRejected;
    }
    consecutiveRejections++;
    final long servedSince = destinationServed - destinationServedBefore;
    // The destination's rejections include this call and the earlier ones of the sequence.
    final long othersRejected =
        destinationRejected - destinationRejectedBefore - (consecutiveRejections - 1);
    final boolean othersServe =
        servedSince >= consecutiveRejections
            && othersRejected <= RejectionClassifier.MAX_NOISE_SHARE * servedSince;
    if (consecutiveRejections < MIN_REJECTIONS || !othersServe) {
      return 0;
    }
    return MIN_EXCLUSION_US
        << Math.min(MAX_EXCLUSION_DOUBLINGS, consecutiveRejections - MIN_REJECTIONS);
  }

  /** Returns the number of consecutive rejections. */
  public int consecutiveRejections() {
    return consecutiveRejections;
  }

  /**
   * Returns a timeout derived from the tail of the service times.
   *
   * @param defaultUs the longest timeout, us, also used while too few calls were seen
   * @param stretch factor by which calls take longer now than when the tail was learned
   */
  public long timeoutUs(final long defaultUs, final double stretch) {
    if (samples < MIN_SAMPLES) {
      return defaultUs;
    }
    final long learnedUs = (long) (TIMEOUT_TAILS * stretch * tailLatencyUs);
    return Math.min(defaultUs, Math.max(MIN_TIMEOUT_US, learnedUs));
  }

  /** Returns the learned state: the tail of the service times, us, and the calls seen. */
  public double[] learnedValues() {
    return new double[] {tailLatencyUs, samples};
  }

  /** Restores the learned state of another process. */
  public void restore(final double learnedTailUs, final double learnedSamples) {
    tailLatencyUs = learnedTailUs;
    samples = (int) learnedSamples;
  }
}
