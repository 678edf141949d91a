package thistleturn.decisions.membership;

/**
 * The figures of the merge; times in microseconds.
 *
 * @param disagreementUs how long a warning outlives its source's silence while another source,
 *     which is heard, says that the endpoint is up; and how long a deletion by one source outweighs
 *     another's listing
 * @param staleUseUs how long an endpoint is used like any other though no source that says it is up
 *     was heard; later it is used only where its destination has nothing fresher
 * @param doubtUs for how long an instance that is absent from implausible answers is still held to
 *     be there
 * @param shrinkShare share of the instances known that an answer may lack and still be plausible;
 *     one may always be lacking, but never all
 * @param calmUs an endpoint that was up for so long does not flap
 * @param firstHoldUs for how long an endpoint that fell twice is held back after it is up again;
 *     doubled for each further fall
 * @param mostHoldUs the longest such hold
 * @param mostEntries instances taken from one source at most
 */
public record Rules(
    long disagreementUs,
    long staleUseUs,
    long doubtUs,
    double shrinkShare,
    long calmUs,
    long firstHoldUs,
    long mostHoldUs,
    int mostEntries) {
  private static final long SECOND_US = 1_000_000;

  /** Refuses figures that contradict each other. */
  public Rules {
    require(
        disagreementUs >= 0 && staleUseUs >= disagreementUs,
        "a stale entry is used for at least as long as a disagreement lasts");
    require(
        doubtUs >= 0 && calmUs >= 0 && firstHoldUs >= 0 && mostHoldUs >= firstHoldUs,
        "the longest hold is at least the first");
    require(
        shrinkShare >= 0 && shrinkShare < 1,
        "the share that may be lacking is at least 0 and below 1");
    require(mostEntries >= 1, "a source has at least one entry");
  }

  /**
   * One minute of disagreement, 15 of stale use, 10 of doubt; 15% may be lacking, as in Eureka's
   * self-preservation.
   */
  public static Rules standard() {
    return new Rules(
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
  long holdUs(final int falls) {
    if (falls < 2) {
      return 0;
    }
    final int doublings = Math.min(falls - 2, 30);
    return Math.min(mostHoldUs, firstHoldUs << doublings);
  }

  /** How many of the instances known an answer may lack. */
  int mayLack(final int known) {
    return Math.max(1, (int) (shrinkShare * known));
  }
}
