package thistleturn.decisions;

/** The latency of one route relative to the mean latency of the message classes. */
final class LatencyProfile {
  /**
   * Factor by which timeouts are widened after one has expired: the endpoint may only have been
   * slow.
   */
  private static final double WIDENED_TIMEOUT = 3;

  /** Least weight of a sample, which makes the averages cover about the last ten samples. */
  private static final double SAMPLE_WEIGHT = 0.1;

  /**
   * Number of assumed samples at the baseline in the mean of a step: a few responses are weak
   * evidence.
   */
  private static final double PRIOR_SAMPLES = 2;

  private double factor = 1;
  private int factorSamples;
  private double timeoutMultiplier = 1;
  private double baselineRatio = 1;

  /** Returns the latency of this route as a multiple of the mean latency of a class. */
  double factor() {
    return factor;
  }

  /** Records the latency of one call, as a multiple of the mean latency of its class. */
  void recordRatio(final double ratio) {
    factor += Math.max(SAMPLE_WEIGHT, 1.0 / (1 + ++factorSamples)) * (ratio - factor);
  }

  /**
   * Returns how far the mean latency ratio of a step lies above the baseline, from 0 to 1, and
   * moves the baseline towards it.
   */
  double recordStep(final double meanRatio, final int deliveries) {
    final double trust = deliveries / (deliveries + PRIOR_SAMPLES);
    final double excess = PriorityValue.clamp(trust * (meanRatio / baselineRatio - 1), 0, 1);
    baselineRatio += SAMPLE_WEIGHT * trust * (meanRatio - baselineRatio);
    return excess;
  }

  double timeoutMultiplier() {
    return timeoutMultiplier;
  }

  /** Widens the timeouts after one has expired. */
  void widenTimeouts() {
    timeoutMultiplier = WIDENED_TIMEOUT;
  }

  /** Narrows the timeouts by a step after a call has been answered in time. */
  void narrowTimeouts() {
    timeoutMultiplier = Math.max(1, timeoutMultiplier - WIDENED_TIMEOUT * SAMPLE_WEIGHT);
  }

  int factorSamples() {
    return factorSamples;
  }

  double baselineRatio() {
    return baselineRatio;
  }

  /** Restores the figures learned by another process of this courier. */
  void restore(
      final int samples,
      final double restoredBaselineRatio,
      final double restoredFactor,
      final double restoredMultiplier) {
    factorSamples = samples;
    baselineRatio = restoredBaselineRatio;
    factor = restoredFactor;
    timeoutMultiplier = restoredMultiplier;
  }
}
