package thistleturn.decisions.rejections;

/**
 * Statistics of the calls of one message class to one endpoint: how long they take at most, and
 * whether rejections concern this class here alone while the rest of the destination serves.
 */
public final class EndpointClassStatistics {
  /** Calls after which the longest time seen is taken for the tail of the distribution. */
  private static final int MIN_SAMPLES = 64;

  /** Share of itself by which the tail decays with each call. */
  private static final double TAIL_DECAY = 1.0 / 128;

  /** A timeout is this multiple of the tail. */
  private static final double TIMEOUT_TAILS = 3;

  /** The shortest timeout, us: longer than a garbage collection or a retransmitted packet takes. */
  private static final long MIN_TIMEOUT_US = 500_000;

  /**
   * Rejections in a row that count as the class's own, if as many calls were served beside them.
   */
  private static final int MIN_REJECTIONS = 4;

  /** How long such a class is rested at first, us. */
  private static final long MIN_REST_US = 1_000_000;

  private static final int MAX_REST_DOUBLINGS = 4;

  private int samples;
  private int rejectionsInARow;
  private double tailLatencyUs;

  /** The destination's counts when the current run of rejections began. */
  private long destinationServedBefore;

  private long destinationRejectedBefore;

  /** A call was served in that time, us. */
  public void recordServed(final long durationUs) {
    rejectionsInARow = 0;
    samples++;
    tailLatencyUs = Math.max((double) durationUs, tailLatencyUs - TAIL_DECAY * tailLatencyUs);
  }

  /**
   * A call was rejected.
   *
   * @param destinationServed calls of the whole destination that were served so far
   * @param destinationRejected calls of the whole destination that were rejected so far
   * @return how long the class is to be rested at this endpoint, us; 0 if the rejections are not
   *     its own
   */
  public long recordRejected(final long destinationServed, final long destinationRejected) {
    if (rejectionsInARow == 0) {
      destinationServedBefore = destinationServed;
      destinationRejectedBefore = destinationRejected;
    }
    rejectionsInARow++;
    final long servedSince = destinationServed - destinationServedBefore;
    // The call itself and those before it in the run are among the destination's rejections.
    final long othersRejected =
        destinationRejected - destinationRejectedBefore - (rejectionsInARow - 1);
    final boolean othersServe =
        servedSince >= rejectionsInARow
            && othersRejected <= RejectionClassifier.MAX_NOISE_SHARE * servedSince;
    if (rejectionsInARow < MIN_REJECTIONS || !othersServe) {
      return 0;
    }
    return MIN_REST_US << Math.min(MAX_REST_DOUBLINGS, rejectionsInARow - MIN_REJECTIONS);
  }

  /** Rejections in a row. */
  public int consecutiveRejections() {
    return rejectionsInARow;
  }

  /**
   * A timeout learned from the tail of the service times.
   *
   * @param usualUs the longest timeout, us, which also holds where too few calls were seen
   * @param stretch factor by which calls take longer now than when the tail was learned
   */
  public long timeoutUs(final long usualUs, final double stretch) {
    if (samples < MIN_SAMPLES) {
      return usualUs;
    }
    final long learnedUs = (long) (TIMEOUT_TAILS * stretch * tailLatencyUs);
    return Math.min(usualUs, Math.max(MIN_TIMEOUT_US, learnedUs));
  }

  /** What is learned, to be handed on: the tail of the service times, us, and the calls seen. */
  public double[] learnedValues() {
    return new double[] {tailLatencyUs, samples};
  }

  /** Takes over what another process had learned. */
  public void restore(final double learnedTailUs, final double learnedSamples) {
    tailLatencyUs = learnedTailUs;
    samples = (int) learnedSamples;
  }
}
