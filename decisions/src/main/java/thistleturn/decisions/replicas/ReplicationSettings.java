package thistleturn.decisions.replicas;

/**
 * Intervals and bounds of the replication protocol; times are microseconds.
 *
 * @param tickIntervalUs how often {@link ReplicationProtocol#tick} is called
 * @param checksumIntervalUs how often checksums are compared; more seldom in larger fleets
 * @param maxDirectPeers fleets of up to so many others are sent new entries one by one
 * @param messageBytesPerSecond the rate of broadcasts, checksums and digests
 * @param batchBytesPerSecond the rate at which missing entries are served
 * @param maxEntries how many entries are stored
 * @param maxEntriesPerWriter how many of them may be of one writer
 * @param maxSeparationUs a courier that was apart from all others for longer adopts what they hold
 * @param tombstoneRetentionUs for how long an enabling entry is kept: longer than {@code
 *     maxSeparationUs}
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
  private static final long MILLI_US = 1000;
  private static final long DAY_US = 86_400_000 * MILLI_US;

  /** Returns the default settings. */
  public static ReplicationSettings defaults() {
    return new ReplicationSettings(
        50 * MILLI_US,
        250 * MILLI_US,
        24,
        32_000,
        512_000,
        200_000,
        110_000,
        28 * DAY_US,
        30 * DAY_US);
  }
}
