package thistleturn.decisions;

import java.util.List;
import thistleturn.decisions.model.MessageClass;

/**
 * Estimates the latency of each message class over all destinations, and that of each route
 * relative to it.
 */
final class LatencyEstimator {
  /**
   * The assumed latency of a class before the first measurement, as a share of its latency
   * objective.
   */
  private static final double INITIAL_OBJECTIVE_SHARE = 0.25;

  /**
   * Lower bound of a route's latency factor: one very fast response does not make the next calls
   * look slow.
   */
  private static final double MIN_LATENCY_FACTOR = 0.1;

  /** Least weight of a sample, which makes a mean an average over about the last ten samples. */
  private static final double SAMPLE_WEIGHT = 0.1;

  private final double[] meanUs;
  private final int[] samples;

  /** The means as last published, which are used to compare messages. */
  private final double[] publishedMeanUs;

  LatencyEstimator(final List<MessageClass> classes) {
    this.meanUs =
        classes.stream()
            .mapToDouble(one -> INITIAL_OBJECTIVE_SHARE * one.latencyObjectiveUs())
            .toArray();
    this.samples = new int[meanUs.length];
    this.publishedMeanUs = meanUs.clone();
  }

  /**
   * Records the latency of a delivery; one that was not measured is ignored.
   *
   * @param durationUs its duration; negative if it was not measured
   * @return its duration as a multiple of the mean latency of its class
   */
  double recordLatency(final Route route, final int classIndex, final long durationUs) {
    final LatencyProfile profile = route.latency();
    if (durationUs < 0) {
      return profile.factor();
    }
    final double ratio = durationUs / Math.max(1, meanUs[classIndex]);
    final double weight = Math.max(SAMPLE_WEIGHT, 1.0 / ++samples[classIndex]);
    meanUs[classIndex] += weight * (durationUs / boundedFactor(route) - meanUs[classIndex]);
    profile.recordRatio(ratio);
    return ratio;
  }

  /**
   * Publishes the means that have changed by more than a threshold, as a fraction of the published
   * value; returns whether any has.
   */
  boolean publishMeans(final double threshold) {
    boolean published = false;
    for (int index = 0; index < publishedMeanUs.length; index++) {
      final double change = Math.abs(meanUs[index] - publishedMeanUs[index]);
      if (change > threshold * publishedMeanUs[index]) {
        publishedMeanUs[index] = meanUs[index];
        published = true;
      }
    }
    return published;
  }

  /** Returns the expected duration of a call of a class on a route. */
  double expectedUs(final Route route, final int classIndex) {
    return meanUs[classIndex] * boundedFactor(route);
  }

  /** Returns the expected duration by the published mean of the class. */
  double publishedExpectedUs(final Route route, final int classIndex) {
    return publishedMeanUs[classIndex] * boundedFactor(route);
  }

  private static double boundedFactor(final Route route) {
    return Math.max(MIN_LATENCY_FACTOR, route.latency().factor());
  }

  // ---------------------------------------------------------------- learned state

  double[] means() {
    return meanUs.clone();
  }

  int[] sampleCounts() {
    return samples.clone();
  }

  /** Restores the figures that another process of this courier has learned for the same classes. */
  void restore(final double[] restoredMeanUs, final int[] restoredSamples) {
    System.arraycopy(restoredMeanUs, 0, meanUs, 0, meanUs.length);
    System.arraycopy(restoredSamples, 0, samples, 0, samples.length);
  }
}
