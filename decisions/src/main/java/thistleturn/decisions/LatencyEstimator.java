package thistleturn.decisions;

import java.util.List;
import thistleturn.decisions.model.MessageClass;

/** How long classes take, over all destinations, and the pace of each lane beside that. */
final class LatencyEstimator {
  /**
   * Service time of a class before any was seen, as a share of its aim: the aim was set to be met.
   */
  private static final double INITIAL_OBJECTIVE_SHARE = 0.25;

  /**
   * Least pace of a lane, times the usual: no answer is so quick that the next must be quicker
   * still.
   */
  private static final double MIN_LATENCY_FACTOR = 0.1;

  /** By class: mean, us, and samples; the mean as last noted, with which messages are compared. */
  final double[] meanUs;

  final int[] samples;
  private final double[] publishedMeanUs;

  LatencyEstimator(final List<MessageClass> classes) {
    this.meanUs =
        classes.stream()
            .mapToDouble(kind -> INITIAL_OBJECTIVE_SHARE * kind.latencyObjectiveUs())
            .toArray();
    this.samples = new int[meanUs.length];
    this.publishedMeanUs = meanUs.clone();
  }

  /**
   * Takes in a call served, by class and lane; the result is how long it took, times the usual. Of
   * one whose time was not measured (below 0) nothing is learnt: it was as usual.
   */
  double recordLatency(final Route lane, final int kind, final long durationUs) {
    if (durationUs < 0) {
      return lane.latencyFactor;
    }
    final double ratio = durationUs / Math.max(1, meanUs[kind]);
    final double weight = Math.max(ConcurrencyWindow.SAMPLE_WEIGHT, 1.0 / ++samples[kind]);
    meanUs[kind] +=
        weight * (durationUs / Math.max(MIN_LATENCY_FACTOR, lane.latencyFactor) - meanUs[kind]);
    lane.latencyFactor +=
        Math.max(ConcurrencyWindow.SAMPLE_WEIGHT, 1.0 / (1 + ++lane.latencySamples))
            * (ratio - lane.latencyFactor);
    return ratio;
  }

  /** Notes the means that have changed by more than a share; true if there were any. */
  boolean publishMeans(final double change) {
    boolean noted = false;
    for (int kind = 0; kind < publishedMeanUs.length; kind++) {
      if (Math.abs(meanUs[kind] - publishedMeanUs[kind]) > change * publishedMeanUs[kind]) {
        publishedMeanUs[kind] = meanUs[kind];
        noted = true;
      }
    }
    return noted;
  }

  /** What a call is expected to take, us. */
  double expectedUs(final Route lane, final int kind) {
    return meanUs[kind] * Math.max(MIN_LATENCY_FACTOR, lane.latencyFactor);
  }

  /** The same with the class's time as it was last noted. */
  double publishedExpectedUs(final Route lane, final int kind) {
    return publishedMeanUs[kind] * Math.max(MIN_LATENCY_FACTOR, lane.latencyFactor);
  }
}
