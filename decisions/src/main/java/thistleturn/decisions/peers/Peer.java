package thistleturn.decisions.peers;

/**
 * Everything known here about one peer name: its latest incarnation and the state gathered about
 * it. A later incarnation replaces an earlier one through {@link #startIncarnation}, after which
 * nothing learned about the earlier one applies. Timestamps are microseconds of the local clock.
 */
final class Peer {
  /**
   * The timestamp of something that has not happened; far enough from the limits to be added to and
   * subtracted from.
   */
  static final long NEVER = Long.MIN_VALUE / 4;

  private final long nameHash;
  private final ReachabilityReports reports = new ReachabilityReports();
  private final PeerMonitor monitor = new PeerMonitor();
  private final PeerExchange exchange = new PeerExchange();
  private PeerId id;
  private String address;
  private GossipItem.Liveness liveness;
  private long livenessSinceUs;
  private long heartbeat;
  private long heartbeatUs = NEVER;
  private int heartbeatAdvances;
  private long statusVersion;
  private PeerStatus status = PeerStatus.UNREPORTED;
  private PeerState publishedState = PeerState.JOINING;
  private long publishedStateSinceUs;

  /** Records a name that was not known before. */
  Peer(final GossipItem.MemberUpdate update, final long nowUs) {
    this.id = update.id();
    this.nameHash = MonitoringRings.hash(id.name());
    this.address = update.address();
    this.liveness = update.liveness();
    this.livenessSinceUs = nowUs;
    this.publishedStateSinceUs = nowUs;
  }

  PeerId id() {
    return id;
  }

  String name() {
    return id.name();
  }

  /** Returns the address on which the peer listens. */
  String address() {
    return address;
  }

  /** Returns the hash that determines the peer's place on the monitoring rings. */
  long nameHash() {
    return nameHash;
  }

  // ---------------------------------------------------------------- incarnation and liveness

  /**
   * Replaces the incarnation. Nothing that was learned about the previous one applies to the new
   * one.
   */
  void startIncarnation(final PeerId next, final String nextAddress, final long nowUs) {
    id = next;
    address = nextAddress;
    liveness = GossipItem.Liveness.ALIVE;
    livenessSinceUs = nowUs;
    heartbeat = 0;
    heartbeatUs = NEVER;
    heartbeatAdvances = 0;
    statusVersion = 0;
    status = PeerStatus.UNREPORTED;
    reports.reset();
    monitor.reset(nowUs);
    exchange.reset();
    publishedState = PeerState.JOINING;
    publishedStateSinceUs = nowUs;
  }

  /**
   * Records that this incarnation left or was declared dead; reports about a peer that has ended
   * are void.
   */
  void end(final GossipItem.Liveness ended, final long nowUs) {
    liveness = ended;
    livenessSinceUs = nowUs;
    reports.clear();
  }

  GossipItem.Liveness liveness() {
    return liveness;
  }

  /** Returns since when this courier has known the current liveness. */
  long livenessSinceUs() {
    return livenessSinceUs;
  }

  /** Returns true if this incarnation has neither left nor been declared dead. */
  boolean isAlive() {
    return liveness == GossipItem.Liveness.ALIVE;
  }

  /** Returns true if that incarnation is the latest one known, and it has not ended. */
  boolean isAliveAs(final PeerId incarnation) {
    return id.equals(incarnation) && isAlive();
  }

  /** Returns the update that describes this peer to others. */
  GossipItem.MemberUpdate toUpdate() {
    return new GossipItem.MemberUpdate(id, address, liveness);
  }

  // ---------------------------------------------------------------- heartbeat and status

  /**
   * Records a heartbeat, received directly or forwarded. Returns true if it is later than any known
   * before.
   */
  boolean recordHeartbeat(final long count, final long nowUs) {
    if (count <= heartbeat) {
      return false;
    }
    heartbeat = count;
    heartbeatUs = nowUs;
    heartbeatAdvances++;
    return true;
  }

  /** Returns the highest heartbeat count known; 0: none. */
  long heartbeat() {
    return heartbeat;
  }

  /** Returns when the heartbeat last advanced. */
  long heartbeatUs() {
    return heartbeatUs;
  }

  /**
   * Returns how many times the heartbeat advanced. Joining takes two advances, so that one stale
   * packet admits nobody.
   */
  int heartbeatAdvances() {
    return heartbeatAdvances;
  }

  /**
   * Records what the peer reported about itself. Returns true if that is newer than what was known.
   */
  boolean recordStatus(final long version, final PeerStatus reported) {
    if (version <= statusVersion) {
      return false;
    }
    statusVersion = version;
    status = reported;
    return true;
  }

  /** Returns the version of the last status report; 0: none was received. */
  long statusVersion() {
    return statusVersion;
  }

  PeerStatus status() {
    return status;
  }

  // ---------------------------------------------------------------- observations

  /** Returns what observers report about the reachability of this peer. */
  ReachabilityReports reports() {
    return reports;
  }

  /** Returns what this courier observed of the peer by itself. */
  PeerMonitor monitor() {
    return monitor;
  }

  /** Returns what was last exchanged with the peer. */
  PeerExchange exchange() {
    return exchange;
  }

  /** Records the state shown to operators. Returns true if it differs from the one before. */
  boolean publish(final PeerState state, final long nowUs) {
    if (state == publishedState) {
      return false;
    }
    publishedState = state;
    publishedStateSinceUs = nowUs;
    return true;
  }

  /** Returns since when operators have been shown the current state. */
  long publishedStateSinceUs() {
    return publishedStateSinceUs;
  }

  /**
   * Moves timestamps forward by a pause of this process, so that nobody counts as silent for that
   * time.
   */
  void shiftTimestamps(final long pauseUs) {
    heartbeatUs = shifted(heartbeatUs, pauseUs);
    monitor.shiftTimestamps(pauseUs);
    reports.shiftTimestamps(pauseUs);
  }

  /** Returns a timestamp moved forward; {@link #NEVER} stays what it is. */
  static long shifted(final long timestampUs, final long byUs) {
    return timestampUs == NEVER ? NEVER : timestampUs + byUs;
  }
}
