package thistleturn.decisions;

import java.util.List;
import thistleturn.decisions.model.MessageClass;

/** How long the calls of each class take over all destinations, and of each route beside that. */
final class LatencyEstimator {
  /** The latency of a class before any was seen, as a share of its objective. */
  private static final double INITIAL_OBJECTIVE_SHARE = 0.25;

  /** The least latency factor of a route: no answer is so quick that the next must be quicker. */
  private static final double MIN_LATENCY_FACTOR = 0.1;

  /** Least weight of a sample in a mean: a memory of about ten samples. */
  private static final double SAMPLE_WEIGHT = 0.1;

  private final double[] meanUs;
  private final int[] samples;

  /** The means as last published, by which messages are compared. */
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
   * Takes in the latency of a delivery; nothing is learned from one that was not measured.
   *
   * @param durationUs how long it took; below 0: not measured
   * @return how long it took, as a multiple of the usual latency of its class
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

  /** Publishes the means that have changed by more than a share; returns whether any has. */
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

  /** Returns how long a call of a class is expected to take on a route. */
  double expectedUs(final Route route, final int classIndex) {
    return meanUs[classIndex] * boundedFactor(route);
  }

  /** Returns the same by the mean of the class as last published. */
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

  /** Restores what another process of this courier had learned of the same classes. */
  void restore(final double[] restoredMeanUs, final int[] restoredSamples) {
    System.arraycopy(restoredMeanUs, 0, meanUs, 0, meanUs.length);
    System.arraycopy(restoredSamples, 0, samples, 0, samples.length);
  }
}
