package thistleturn.decisions.membership;

/**
 * Settings of the merge of endpoint sources; times in microseconds.
 *
 * @param conflictWindowUs how long a warning still counts after its source became unreachable while
 *     another, reachable source reports the endpoint up; and how long a deletion by one source
 *     outweighs another's listing
 * @param staleAfterUs how long an endpoint is used like any other although no source that reports
 *     it up is reachable; later it is used only if its destination has nothing better
 * @param absenceGraceUs how long an instance that implausible snapshots lack is still used like any
 *     other
 * @param plausibleLossRatio share of the known instances that a snapshot may lack and still be
 *     plausible; one may always be absent, but never all
 * @param stableAfterUs an endpoint that kept its state for this long is not considered flapping
 * @param initialHoldDownUs how long an endpoint that went down twice is held down after it is up
 *     again; doubled each further time
 * @param maxHoldDownUs the longest such hold-down
 * @param maxEntriesPerSource how many instances are taken from one source at most
 */
public record MergeSettings(
    long conflictWindowUs,
    long staleAfterUs,
    long absenceGraceUs,
    double plausibleLossRatio,
    long stableAfterUs,
    long initialHoldDownUs,
    long maxHoldDownUs,
    int maxEntriesPerSource) {
  private static final long SECOND_US = 1_000_000;
  private static final int MAX_DOUBLINGS = 30;

  /** The number of times an endpoint has to go down without being stable before it is held down. */
  private static final int FLAPS_BEFORE_HOLD_DOWN = 2;

  /** Rejects settings that are out of range or contradict each other. */
  public MergeSettings {
    require(
        conflictWindowUs >= 0 && staleAfterUs >= conflictWindowUs,
        "the time until stale is at least the conflict window, which is not negative");
    require(
        absenceGraceUs >= 0
            && stableAfterUs >= 0
            && initialHoldDownUs >= 0
            && maxHoldDownUs >= initialHoldDownUs,
        "times are not negative, and the longest hold-down is at least the first");
    require(
        plausibleLossRatio >= 0 && plausibleLossRatio < 1,
        "the plausible loss ratio is at least 0 and below 1");
    require(maxEntriesPerSource >= 1, "the limit of entries per source is at least 1");
  }

  /**
   * Returns the defaults: a conflict window of one minute, 15 minutes until stale, 10 minutes of
   * grace for absent instances; 15% may be absent, as in Eureka's self-preservation.
   */
  public static MergeSettings defaults() {
    return new MergeSettings(
        60 * SECOND_US,
        900 * SECOND_US,
        600 * SECOND_US,
        0.15,
        60 * SECOND_US,
        5 * SECOND_US,
        60 * SECOND_US,
        100_000);
  }

  private static void require(final boolean holds, final String problem) {
    if (!holds) {
      throw new IllegalArgumentException(problem);
    }
  }

  /** Returns how long an endpoint that went down so often in a row is held down, us. */
  long holdDownUs(final int consecutiveFlaps) {
    if (consecutiveFlaps < FLAPS_BEFORE_HOLD_DOWN) {
      return 0;
    }
    final int doublings = Math.min(consecutiveFlaps - FLAPS_BEFORE_HOLD_DOWN, MAX_DOUBLINGS);
    return Math.min(maxHoldDownUs, initialHoldDownUs << doublings);
  }

  /** Returns how many of the known instances a plausible snapshot may lack. */
  int plausibleLoss(final int known) {
    return Math.max(1, (int) (plausibleLossRatio * known));
  }
}
