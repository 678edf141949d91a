package thistleturn.decisions.peers;

/**
 * Intervals, timeouts and sizes of the membership protocol. Times are in microseconds.
 *
 * @param tickIntervalUs how often {@link MembershipProtocol#tick} is called
 * @param probeIntervalUs how often a courier pings each peer that it monitors
 * @param silenceTimeoutUs how long no packet of a peer may arrive before it is reported as silent
 * @param heartbeatFreshnessUs for how long a forwarded heartbeat shows that a peer is running
 * @param deathTimeoutUs how long enough observers must report silence before a peer is declared
 *     dead on that evidence alone. The longest pause after which a process is still a member is a
 *     little shorter
 * @param foundingDelayUs after which a courier that receives no view id founds a view
 * @param tombstoneRetentionUs for how long ended peers are kept in the table
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
