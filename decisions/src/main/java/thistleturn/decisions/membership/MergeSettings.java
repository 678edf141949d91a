package thistleturn.decisions.membership;

/**
 * The settings of the merge; times in microseconds.
 *
 * @param conflictWindowUs how long a warning still counts after its source became unreachable while
 *     another, reachable source reports the endpoint up; and how long a deletion by one source
 *     outweighs another's listing
 * @param staleAfterUs how long an endpoint is used like any other though no source that reports it
 *     up is reachable; later it is used only where its destination has nothing better
 * @param absenceGraceUs how long an instance that implausible snapshots lack is still used like any
 *     other
 * @param plausibleLossRatio share of the known instances that a snapshot may lack and still be
 *     plausible; one may always be lacking, but never all
 * @param stableAfterUs an endpoint that was up for so long does not flap
 * @param initialHoldDownUs for how long an endpoint that went down twice is held down after it is
 *     up again; doubled each further time
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
  private static final int FALLS_BEFORE_HOLD_DOWN = 2;

  /** Rejects settings that contradict each other. */
  public MergeSettings {
    require(
        conflictWindowUs >= 0 && staleAfterUs >= conflictWindowUs,
        "a stale entry is used for at least as long as a disagreement lasts");
    require(
        absenceGraceUs >= 0
            && stableAfterUs >= 0
            && initialHoldDownUs >= 0
            && maxHoldDownUs >= initialHoldDownUs,
        "the longest hold is at least the first");
    require(
        plausibleLossRatio >= 0 && plausibleLossRatio < 1,
        "the share that may be lacking is at least 0 and below 1");
    require(maxEntriesPerSource >= 1, "a source has at least one entry");
  }

  /**
   * A conflict window of one minute, 15 minutes until stale, 10 of grace for absent instances; 15%
   * may be lacking, as in Eureka's self-preservation.
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

  /** How long an endpoint that went down so often in a row is held down, us. */
  long holdDownUs(final int consecutiveFalls) {
    if (consecutiveFalls < FALLS_BEFORE_HOLD_DOWN) {
      return 0;
    }
    final int doublings = Math.min(consecutiveFalls - FALLS_BEFORE_HOLD_DOWN, MAX_DOUBLINGS);
    return Math.min(maxHoldDownUs, initialHoldDownUs << doublings);
  }

  /** How many of the known instances a plausible snapshot may lack. */
  int plausibleLoss(final int known) {
    return Math.max(1, (int) (plausibleLossRatio * known));
  }
}
