package thistleturn.decisions.replicas;

/**
 * The times and bounds of the exchange.
 *
 * @param tickIntervalUs how often {@link ReplicationProtocol#tick} comes, us
 * @param checksumIntervalUs how often two copies are compared, us; more seldom in larger fleets
 * @param maxDirectPeers fleets of so many others are told of news one by one
 * @param messageBytesPerSecond news, marks and pages, bytes a second at most
 * @param batchBytesPerSecond what others lack, bytes a second at most
 * @param maxEntries entries that a copy holds at most
 * @param maxEntriesPerWriter and of one writer
 * @param maxSeparationUs whoever was apart from all others for longer takes over what they hold, us
 * @param tombstoneRetentionUs a word by which an endpoint may serve again is kept for so long, us:
 *     longer than {@code maxSeparationUs}
 */
public record ReplicationSettings(
    long tickIntervalUs,
    long checksumIntervalUs,
    int maxDirectPeers,
    int messageBytesPerSecond,
    int batchBytesPerSecond,
    int maxEntries,
    int maxEntriesPerWriter,
    long maxSeparationUs,
    long tombstoneRetentionUs) {
  private static final long MS = 1000;
  private static final long DAY = 86_400_000 * MS;

  /** The usual ones. */
  public static ReplicationSettings defaults() {
    return new ReplicationSettings(
        50 * MS, 250 * MS, 24, 32_000, 512_000, 200_000, 110_000, 28 * DAY, 30 * DAY);
  }
}
