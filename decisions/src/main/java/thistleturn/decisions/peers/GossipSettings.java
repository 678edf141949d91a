package thistleturn.decisions.peers;

/**
 * Intervals, timeouts and counts of the membership protocol; times are microseconds.
 *
 * @param tickIntervalUs how often {@link MembershipProtocol#tick} is called
 * @param probeIntervalUs how often a courier pings each peer that it monitors
 * @param silenceTimeoutUs after which it reports a peer as silent
 * @param heartbeatFreshnessUs for how long a forwarded heartbeat counts as a sign of life
 * @param deathTimeoutUs after which silence alone, reported by enough others, is a death: the
 *     longest pause that costs no member its place is a little less
 * @param foundingDelayUs after which a courier that hears of no view founds one
 * @param tombstoneRetentionUs for how long peers that ended are remembered
 * @param maxMonitored how many peers a courier monitors
 * @param committeeSize how many members agree on the next view
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
  private static final long MILLI_US = 1000;

  /** Returns the default settings. */
  public static GossipSettings defaults() {
    return new GossipSettings(
        100 * MILLI_US,
        500 * MILLI_US,
        2000 * MILLI_US,
        2500 * MILLI_US,
        8000 * MILLI_US,
        2000 * MILLI_US,
        3_600_000 * MILLI_US,
        9,
        9);
  }

  /** Returns the same settings with another death timeout. */
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
