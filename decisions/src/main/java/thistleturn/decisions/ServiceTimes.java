package thistleturn.decisions;

import java.util.List;

/** How long classes take, over all destinations, and the pace of each lane beside that. */
final class ServiceTimes {
  /**
   * Service time of a class before any was seen, as a share of its aim: the aim was set to be met.
   */
  private static final double UNSEEN_SHARE = 0.25;

  /**
   * Least pace of a lane, times the usual: no answer is so quick that the next must be quicker
   * still.
   */
  private static final double PACE_LEAST = 0.1;

  /** By class: mean, us, and samples; the mean as last noted, with which messages are compared. */
  final double[] meanUs;

  final int[] samples;
  private final double[] notedMeanUs;

  ServiceTimes(final List<Courier.MessageClass> classes) {
    this.meanUs = classes.stream().mapToDouble(kind -> UNSEEN_SHARE * kind.aimUs()).toArray();
    this.samples = new int[meanUs.length];
    this.notedMeanUs = meanUs.clone();
  }

  /**
   * Takes in a call served, by class and lane; the result is how long it took, times the usual. Of
   * one whose time was not measured (below 0) nothing is learnt: it was as usual.
   */
  double learn(final Lane lane, final int kind, final long durationUs) {
    if (durationUs < 0) {
      return lane.pace;
    }
    final double ratio = durationUs / Math.max(1, meanUs[kind]);
    final double weight = Math.max(Window.SAMPLE_WEIGHT, 1.0 / ++samples[kind]);
    meanUs[kind] += weight * (durationUs / Math.max(PACE_LEAST, lane.pace) - meanUs[kind]);
    lane.pace +=
        Math.max(Window.SAMPLE_WEIGHT, 1.0 / (1 + ++lane.paceSamples)) * (ratio - lane.pace);
    return ratio;
  }

  /** Notes the means that have changed by more than a share; true if there were any. */
  boolean note(final double change) {
    boolean noted = false;
    for (int kind = 0; kind < notedMeanUs.length; kind++) {
      if (Math.abs(meanUs[kind] - notedMeanUs[kind]) > change * notedMeanUs[kind]) {
        notedMeanUs[kind] = meanUs[kind];
        noted = true;
      }
    }
    return noted;
  }

  /** What a call is expected to take, us. */
  double expectedUs(final Lane lane, final int kind) {
    return meanUs[kind] * Math.max(PACE_LEAST, lane.pace);
  }

  /** The same with the class's time as it was last noted. */
  double notedUs(final Lane lane, final int kind) {
    return notedMeanUs[kind] * Math.max(PACE_LEAST, lane.pace);
  }
}
