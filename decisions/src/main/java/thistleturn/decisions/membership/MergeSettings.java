package thistleturn.decisions.membership;

/**
 * The figures of the merge; times in microseconds.
 *
 * @param conflictWindowUs how long a warning outlives its source's silence while another source,
 *     which is heard, says that the endpoint is up; and how long a deletion by one source outweighs
 *     another's listing
 * @param staleAfterUs how long an endpoint is used like any other though no source that says it is
 *     up was heard; later it is used only where its destination has nothing fresher
 * @param absenceGraceUs for how long an instance that is absent from implausible answers is still
 *     held to be there
 * @param plausibleLossRatio share of the instances known that an answer may lack and still be
 *     plausible; one may always be lacking, but never all
 * @param stableAfterUs an endpoint that was up for so long does not flap
 * @param initialHoldDownUs for how long an endpoint that fell twice is held back after it is up
 *     again; doubled for each further fall
 * @param maxHoldDownUs the longest such hold
 * @param maxEntriesPerSource instances taken from one source at most
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

  /** Refuses figures that contradict each other. */
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
   * One minute of disagreement, 15 of stale use, 10 of doubt; 15% may be lacking, as in Eureka's
   * self-preservation.
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

  private static void require(final boolean kept, final String problem) {
    if (!kept) {
      throw new IllegalArgumentException(problem);
    }
  }

  /** How long an endpoint that fell so often is held back, us. */
  long holdDownUs(final int falls) {
    if (falls < 2) {
      return 0;
    }
    final int doublings = Math.min(falls - 2, 30);
    return Math.min(maxHoldDownUs, initialHoldDownUs << doublings);
  }

  /** How many of the instances known an answer may lack. */
  int plausibleLoss(final int known) {
    return Math.max(1, (int) (plausibleLossRatio * known));
  }
}
