package thistleturn.decisions.rejections;

/**
 * One class at one endpoint: how long its calls take at most, and whether refusals are its own
 * while the rest of the destination serves.
 */
public final class EndpointClassStatistics {
  /**
   * Calls after which the longest seen is a tail; how it fades with each call; a time-out is so
   * many times it.
   */
  private static final int LEAST_SAMPLES = 64;

  private static final double TAIL_FADE = 1.0 / 128;
  private static final double TAIL_TIMES = 3;

  /** Least time-out, us: a pause of a collector, a lost packet sent again. */
  private static final long LEAST_TIMEOUT_US = 500_000;

  /** Refusals in a row that make a cell bad while so many calls were served beside it. */
  private static final int BAD_RUN = 4;

  /** How long a bad cell is left alone, us: first and longest. */
  private static final long REST_LEAST_US = 1_000_000;

  private static final int MOST_DOUBLINGS = 4;

  private int samples, rejectionsInARow;
  private double tailLatencyUs;
  private long besideServed, besideRefused;

  /** A call of this cell was served in so long, us. */
  public void recordServed(final long durationUs) {
    rejectionsInARow = 0;
    samples++;
    tailLatencyUs = Math.max((double) durationUs, tailLatencyUs - TAIL_FADE * tailLatencyUs);
  }

  /**
   * A call of this cell was refused, while the destination has had so many calls served and refused
   * in all.
   *
   * @return how long the cell is to be left alone, us; 0 if its refusals are not its own
   */
  public long recordRejected(final long served, final long refused) {
    if (rejectionsInARow++ == 0) {
      besideServed = served;
      besideRefused = refused;
    }
    final long servedSince = served - besideServed;
    final long othersRefused = refused - besideRefused - rejectionsInARow + 1;
    if (rejectionsInARow < BAD_RUN
        || servedSince < rejectionsInARow
        || othersRefused > RejectionClassifier.MAX_NOISE_SHARE * servedSince) {
      return 0;
    }
    return REST_LEAST_US << Math.min(MOST_DOUBLINGS, rejectionsInARow - BAD_RUN);
  }

  /** Refusals in a row. */
  public int consecutiveRejections() {
    return rejectionsInARow;
  }

  /** A time-out learnt from the tail, us; {@code usualUs} at most, and where little was seen. */
  public long timeoutUs(final long usualUs, final double stretch) {
    return samples < LEAST_SAMPLES
        ? usualUs
        : Math.min(
            usualUs, Math.max(LEAST_TIMEOUT_US, (long) (TAIL_TIMES * stretch * tailLatencyUs)));
  }

  /** The longest time of recent calls, us, and how many were seen. */
  public double[] learnedValues() {
    return new double[] {tailLatencyUs, samples};
  }

  /** Takes over what another process had learnt. */
  public void restore(final double tail, final double seen) {
    tailLatencyUs = tail;
    samples = (int) seen;
  }
}
