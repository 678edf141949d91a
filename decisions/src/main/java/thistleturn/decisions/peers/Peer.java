package thistleturn.decisions.peers;

import java.util.HashMap;
import java.util.Map;

/**
 * All that is known here of one name: its latest life, and what is said of it. Times are us of the
 * local clock.
 */
final class Peer {
  static final long NEVER = Long.MIN_VALUE / 4;

  /** Lot of the name. */
  final long nameHash;

  PeerId id;
  String address;
  GossipItem.Liveness liveness = GossipItem.Liveness.ALIVE;

  /** When this life became known, or ended. */
  long livenessSinceUs;

  /** The highest count of its datagrams that was read here. */
  long lastSequence;

  long heartbeat;

  /** When a higher beat was learnt, from whomever. */
  long heartbeatUs = NEVER;

  /**
   * How many times a higher beat was learnt: two are needed to be let in, so that an old datagram
   * lets nobody in.
   */
  int heartbeatAdvances;

  /** When something of it was read here. */
  long lastReceivedUs = NEVER;

  /** Since when it has been heard without a gap of {@link GossipSettings#silenceTimeoutUs}. */
  long receivingSinceUs = NEVER;

  long roundTripUs;
  long statusVersion;
  PeerStatus status = PeerStatus.UNREPORTED;

  /**
   * What others and this courier say of their hearing of it, by observer's name; those who hear it
   * are not kept.
   */
  final Map<String, UnreachableReport> unreachableReports = new HashMap<>(2);

  /** Since when anybody doubts it; NEVER: nobody. */
  long unreachableSinceUs = NEVER;

  /** Rows of observers already read, so that an older one changes nothing. */
  final Map<String, ReportVersion> reportVersions = new HashMap<>(2);

  boolean monitored;
  long nextProbeUs;
  long pingSequence;
  long pingSentUs;

  /** Ends of connections without a greeting in a row, and when the next try is due. */
  int failedConnections;

  /** When the first of them came. */
  long firstFailedConnectionUs = NEVER;

  long nextConnectUs = NEVER;

  /** The address of the connection that is held or tried there; null: none. */
  String connectionAddress;

  boolean connected;

  /** Since when this courier watches this life. */
  long monitoredSinceUs = NEVER;

  long fullStateSentUs = NEVER;
  long heartbeatForwardedUs = NEVER;
  long decisionsSentUs = NEVER;
  PeerState publishedState = PeerState.JOINING;
  long publishedStateSinceUs;

  Peer(final PeerId id, final String address, final long nowUs) {
    this.id = id;
    this.nameHash = MonitoringRings.hash(id.name());
    this.address = address;
    this.livenessSinceUs = nowUs;
    this.publishedStateSinceUs = nowUs;
  }

  /** An observer's word that it does not hear it. */
  record UnreachableReport(PeerId observer, Reachability reachability, long sinceUs) {}

  /** How far an observer's words were read. */
  record ReportVersion(long incarnation, long version) {}

  /** True if an observer's word is newer than what was read of him. */
  boolean isNewer(final PeerId observer, final long row) {
    final ReportVersion known = reportVersions.get(observer.name());
    return known == null
        || observer.incarnation() > known.incarnation()
        || (observer.incarnation() == known.incarnation() && row > known.version());
  }

  /** Another life of the name: nothing of what was known of the earlier one holds for it. */
  void startIncarnation(final PeerId next, final String at, final long nowUs) {
    id = next;
    address = at;
    liveness = GossipItem.Liveness.ALIVE;
    livenessSinceUs = nowUs;
    lastSequence = 0;
    heartbeat = 0;
    heartbeatAdvances = 0;
    heartbeatUs = NEVER;
    lastReceivedUs = NEVER;
    receivingSinceUs = NEVER;
    roundTripUs = 0;
    statusVersion = 0;
    status = PeerStatus.UNREPORTED;
    unreachableReports.clear();
    reportVersions.clear();
    unreachableSinceUs = NEVER;
    pingSequence = 0;
    failedConnections = 0;
    nextConnectUs = NEVER;
    firstFailedConnectionUs = NEVER;
    connected = false;
    monitoredSinceUs = nowUs;
    decisionsSentUs = NEVER;
    fullStateSentUs = NEVER;
    nextProbeUs = nowUs;
    publishedState = PeerState.JOINING;
    publishedStateSinceUs = nowUs;
  }

  boolean isAlive() {
    return liveness == GossipItem.Liveness.ALIVE;
  }

  /** The local clock went on while this process did not: nobody was silent then. */
  void shiftTimestamps(final long awayUs) {
    if (lastReceivedUs != NEVER) {
      lastReceivedUs += awayUs;
    }
    if (receivingSinceUs != NEVER) {
      receivingSinceUs += awayUs;
    }
    if (heartbeatUs != NEVER) {
      heartbeatUs += awayUs;
    }
    if (unreachableSinceUs != NEVER) {
      unreachableSinceUs += awayUs;
    }
    if (monitoredSinceUs != NEVER) {
      monitoredSinceUs += awayUs;
    }
    unreachableReports.replaceAll(
        (name, doubt) ->
            new UnreachableReport(
                doubt.observer(), doubt.reachability(), doubt.sinceUs() + awayUs));
  }
}
