package thistleturn.decisions.peers;

/**
 * The times and counts of the exchange, us.
 *
 * @param tickUs how often {@link Peers#tick} comes
 * @param probeUs how often a courier asks each of those that it watches
 * @param silentUs after which it says that it does not hear one
 * @param freshUs a sign of life that somebody passes on counts for so long
 * @param deadUs after which silence alone, told by enough others, is an end: the longest pause that
 *     costs nobody his place is a little less
 * @param foundUs a courier that hears of no view for so long founds one
 * @param tombUs how long the ended and the left are remembered
 * @param watched how many others a courier watches at most
 * @param committee how many members at most agree on the next view
 */
public record PeerRules(
    long tickUs,
    long probeUs,
    long silentUs,
    long freshUs,
    long deadUs,
    long foundUs,
    long tombUs,
    int watched,
    int committee) {
  private static final long MS = 1000;

  /** The usual ones. */
  public static PeerRules usual() {
    return new PeerRules(
        100 * MS, 500 * MS, 2000 * MS, 2500 * MS, 8000 * MS, 2000 * MS, 3_600_000 * MS, 9, 9);
  }

  /** The same with another time after which silence is an end. */
  public PeerRules withDeadUs(final long us) {
    return new PeerRules(
        tickUs, probeUs, silentUs, freshUs, us, foundUs, tombUs, watched, committee);
  }
}
