package thistleturn.decisions.peers;

/**
 * All that is known here about the peer of one name: its latest incarnation and that incarnation's
 * state. A later incarnation replaces an earlier one through {@link #startIncarnation}, which
 * discards the state of the earlier one. Timestamps are microseconds of the local clock.
 */
final class Peer {
  /**
   * The timestamp of something that has not happened; far enough from the limits of {@code long}
   * for additions and subtractions.
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

  /** Creates the peer of a name that was not known before. */
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

  /** Returns the hash that determines the peer's position on the monitoring rings. */
  long nameHash() {
    return nameHash;
  }

  // ---------------------------------------------------------------- incarnation and liveness

  /** Replaces the incarnation and discards the state of the previous one. */
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
   * Records that this incarnation left or was declared dead, and discards the reports about it,
   * since reports about an ended incarnation are invalid.
   */
  void end(final GossipItem.Liveness ended, final long nowUs) {
    liveness = ended;
    livenessSinceUs = nowUs;
    reports.clear();
  }

  GossipItem.Liveness liveness() {
    return liveness;
  }

  /** Returns when this courier received the current liveness. */
  long livenessSinceUs() {
    return livenessSinceUs;
  }

  /** Returns true if this incarnation has neither left nor been declared dead. */
  boolean isAlive() {
    return liveness == GossipItem.Liveness.ALIVE;
  }

  /** Returns true if that incarnation is the latest known one and has not ended. */
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

  /** Returns the highest known heartbeat count; 0 if none was received. */
  long heartbeat() {
    return heartbeat;
  }

  /** Returns when the heartbeat last advanced. */
  long heartbeatUs() {
    return heartbeatUs;
  }

  /**
   * Returns how many times the heartbeat advanced. Joining takes two advances, so that a single
   * stale packet admits no peer.
   */
  int heartbeatAdvances() {
    return heartbeatAdvances;
  }

  /** Records the peer's report about itself. Returns true if it is newer than the known one. */
  boolean recordStatus(final long version, final PeerStatus reported) {
    if (version <= statusVersion) {
      return false;
    }
    statusVersion = version;
    status = reported;
    return true;
  }

  /** Returns the version of the last status report; 0 if none was received. */
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

  /** Returns this courier's own observations of the peer. */
  PeerMonitor monitor() {
    return monitor;
  }

  /** Returns the state of the message exchange with the peer. */
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

  /** Returns when the state shown to operators last changed. */
  long publishedStateSinceUs() {
    return publishedStateSinceUs;
  }

  /**
   * Shifts timestamps forward by a pause of this process, so that the pause does not count as
   * silence of the peer.
   */
  void shiftTimestamps(final long pauseUs) {
    heartbeatUs = shifted(heartbeatUs, pauseUs);
    monitor.shiftTimestamps(pauseUs);
    reports.shiftTimestamps(pauseUs);
  }

  /** Returns a timestamp shifted forward; {@link #NEVER} is unchanged. */
  static long shifted(final long timestampUs, final long byUs) {
    return timestampUs == NEVER ? NEVER : timestampUs + byUs;
  }
}
