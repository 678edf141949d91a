package thistleturn.decisions;

/** How long the calls of one route take beside the usual time of their class. */
final class LatencyProfile {
  /** After a timeout, the next ones are this many times as wide: it may have been slowness. */
  private static final double WIDENED_TIMEOUT = 3;

  /** Least weight of a sample in the averages: a memory of about ten samples. */
  private static final double SAMPLE_WEIGHT = 0.1;

  /** Samples at the baseline mixed into the mean of a step: a few answers say little. */
  private static final double PRIOR_SAMPLES = 2;

  private double factor = 1;
  private int factorSamples;
  private double timeoutMultiplier = 1;
  private double baselineRatio = 1;

  /** Returns the latency of this route as a multiple of the usual latency of a class. */
  double factor() {
    return factor;
  }

  /** Takes in the latency of one call, as a multiple of the usual latency of its class. */
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

  /** Widens the timeouts: one has just expired. */
  void widenTimeouts() {
    timeoutMultiplier = WIDENED_TIMEOUT;
  }

  /** Narrows the timeouts a little: a call has been answered in time. */
  void narrowTimeouts() {
    timeoutMultiplier = Math.max(1, timeoutMultiplier - WIDENED_TIMEOUT * SAMPLE_WEIGHT);
  }

  int factorSamples() {
    return factorSamples;
  }

  double baselineRatio() {
    return baselineRatio;
  }

  /** Restores what another process of this courier had learned. */
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
