package thistleturn.decisions.peers;

/**
 * The state that this courier sends to its peers about itself: its incarnation, heartbeat and
 * status, and the sequence of its packets.
 */
final class LocalPeer {
  /** The minimum interval between two versions of the reported status. */
  private static final long STATUS_CHANGE_INTERVAL_US = 1_000_000;

  private final String address;
  private PeerId id;
  private long sequence;
  private long heartbeat;
  private long statusVersion;
  private PeerStatus status = PeerStatus.UNREPORTED;
  private long statusChangedUs = Peer.NEVER;

  /** The last pause of this process that is not reported yet; 0 if there is none. */
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

  /** Returns the sequence of the next packet. */
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

  /** Records a pause of this process, which the next status reports. */
  void recordPause(final long ms) {
    pauseMs = ms;
  }

  /** Replaces the status that is sent with every packet. */
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
