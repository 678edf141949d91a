package thistleturn.decisions.peers;

/**
 * This courier as its peers see it: its incarnation, heartbeat and reported status, and the
 * sequence of its packets.
 */
final class LocalPeer {
  /** A change of the reported status counts as a new version at most this often. */
  private static final long STATUS_CHANGE_INTERVAL_US = 1_000_000;

  private final String address;
  private PeerId id;
  private long sequence;
  private long heartbeat;
  private long statusVersion;
  private PeerStatus status = PeerStatus.UNREPORTED;
  private long statusChangedUs = Peer.NEVER;

  /** The last pause of this process that was not reported yet; 0: none. */
  private long pauseMs;

  LocalPeer(final PeerId id, final String address) {
    this.id = id;
    this.address = address;
  }

  PeerId id() {
    return id;
  }

  String name() {
    return id.name();
  }

  /** Returns the address on which this courier listens. */
  String address() {
    return address;
  }

  /** Continues under another incarnation of the same name. */
  void startIncarnation(final long incarnation) {
    id = new PeerId(id.name(), incarnation);
  }

  /** Returns the update that describes this courier to others. */
  GossipItem.MemberUpdate toUpdate(final GossipItem.Liveness liveness) {
    return new GossipItem.MemberUpdate(id, address, liveness);
  }

  /** Returns the sequence for another packet. */
  long nextSequence() {
    sequence++;
    return sequence;
  }

  long heartbeat() {
    return heartbeat;
  }

  void advanceHeartbeat() {
    heartbeat++;
  }

  /** Records that this process did not run for a while; the next status reports it. */
  void recordPause(final long ms) {
    pauseMs = ms;
  }

  /** Replaces the status that every packet carries. */
  void updateStatus(final PeerStatus reported, final long nowUs) {
    final int reportedPauseMs =
        Math.max(reported.pauseMs(), (int) Math.min(pauseMs, Integer.MAX_VALUE));
    final PeerStatus next =
        new PeerStatus(
            reported.health(),
            reportedPauseMs,
            reported.pendingMessages(),
            reported.deliveryStalled());
    if (next.differsNotably(status) && nowUs - statusChangedUs >= STATUS_CHANGE_INTERVAL_US) {
      statusVersion++;
      statusChangedUs = nowUs;
    }
    status = next;
    pauseMs = 0;
  }

  long statusVersion() {
    return statusVersion;
  }

  PeerStatus status() {
    return status;
  }
}
