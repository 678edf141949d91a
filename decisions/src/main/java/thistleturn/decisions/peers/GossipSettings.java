package thistleturn.decisions.peers;

/**
 * The times and counts of the exchange, us.
 *
 * @param tickIntervalUs how often {@link MembershipProtocol#tick} comes
 * @param probeIntervalUs how often a courier asks each of those that it watches
 * @param silenceTimeoutUs after which it says that it does not hear one
 * @param heartbeatFreshnessUs a sign of life that somebody passes on counts for so long
 * @param deathTimeoutUs after which silence alone, told by enough others, is an end: the longest
 *     pause that costs nobody his place is a little less
 * @param foundingDelayUs a courier that hears of no view for so long founds one
 * @param tombstoneRetentionUs how long the ended and the left are remembered
 * @param maxMonitored how many others a courier watches at most
 * @param committeeSize how many members at most agree on the next view
 */
public record GossipSettings(
    long tickIntervalUs,
    long probeIntervalUs,
    long silenceTimeoutUs,
    long heartbeatFreshnessUs,
    long deathTimeoutUs,
    long foundingDelayUs,
    long tombstoneRetentionUs,
    int maxMonitored,
    int committeeSize) {
  private static final long MS = 1000;

  /** The usual ones. */
  public static GossipSettings defaults() {
    return new GossipSettings(
        100 * MS, 500 * MS, 2000 * MS, 2500 * MS, 8000 * MS, 2000 * MS, 3_600_000 * MS, 9, 9);
  }

  /** The same with another time after which silence is an end. */
  public GossipSettings withDeathTimeoutUs(final long us) {
    return new GossipSettings(
        tickIntervalUs,
        probeIntervalUs,
        silenceTimeoutUs,
        heartbeatFreshnessUs,
        us,
        foundingDelayUs,
        tombstoneRetentionUs,
        maxMonitored,
        committeeSize);
  }
}
