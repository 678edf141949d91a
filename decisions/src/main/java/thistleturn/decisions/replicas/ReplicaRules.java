package thistleturn.decisions.replicas;

/**
 * The times and bounds of the exchange.
 *
 * @param tickUs how often {@link Replicas#tick} comes, us
 * @param markUs how often two copies are compared, us; more seldom in larger fleets
 * @param direct fleets of so many others are told of news one by one
 * @param newsBytesPerS news, marks and pages, bytes a second at most
 * @param pieceBytesPerS what others lack, bytes a second at most
 * @param mostEntries entries that a copy holds at most
 * @param mostPerWriter and of one writer
 * @param apartUs whoever was apart from all others for longer takes over what they hold, us
 * @param tombUs a word by which an endpoint may serve again is kept for so long, us: longer than
 *     {@code apartUs}
 */
public record ReplicaRules(
    long tickUs,
    long markUs,
    int direct,
    int newsBytesPerS,
    int pieceBytesPerS,
    int mostEntries,
    int mostPerWriter,
    long apartUs,
    long tombUs) {
  private static final long MS = 1000;
  private static final long DAY = 86_400_000 * MS;

  /** The usual ones. */
  public static ReplicaRules usual() {
    return new ReplicaRules(
        50 * MS, 250 * MS, 24, 32_000, 512_000, 200_000, 110_000, 28 * DAY, 30 * DAY);
  }
}
