package thistleturn.decisions.replicas;

/**
 * Intervals and bounds of the replication protocol; times are microseconds.
 *
 * @param tickIntervalUs how often {@link ReplicationProtocol#tick} is called
 * @param checksumIntervalUs time between two checksums that are sent; longer in larger fleets
 * @param maxDirectPeers up to this many others, new entries are sent to each of them directly
 * @param messageBytesPerSecond the maximum rate of broadcasts, checksums and digests
 * @param batchBytesPerSecond the maximum rate at which missing entries are served
 * @param maxEntries the maximum number of stored entries
 * @param maxEntriesPerWriter how many of them may be of one writer
 * @param maxSeparationUs a courier that was separated from all others for longer adopts their state
 * @param tombstoneRetentionUs how long an enabling entry is kept; must be longer than {@code
 *     maxSeparationUs}, so that no disabling entry that it superseded can return
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
