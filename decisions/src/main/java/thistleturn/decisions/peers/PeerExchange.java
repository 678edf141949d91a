package thistleturn.decisions.peers;

/**
 * The state of the message exchange with one peer: the last sequence received, and the times of the
 * last sends, which limit their rate.
 */
final class PeerExchange {
  /** The minimum interval between two pushes of missing state to a peer. */
  private static final long PUSH_INTERVAL_US = 300_000;

  /** The minimum interval between two forwarded heartbeats of a peer. */
  private static final long HEARTBEAT_FORWARD_INTERVAL_US = 400_000;

  private long lastSequence;
  private long fullStateSentUs = Peer.NEVER;
  private long decisionsSentUs = Peer.NEVER;
  private long heartbeatForwardedUs = Peer.NEVER;

  /** Resets the state for another incarnation of the peer. */
  void reset() {
    lastSequence = 0;
    fullStateSentUs = Peer.NEVER;
    decisionsSentUs = Peer.NEVER;
  }

  /**
   * Records a packet's sequence. Returns false if that packet or a later one was received before.
   */
  boolean advanceSequence(final long sequence) {
    if (sequence <= lastSequence) {
      return false;
    }
    lastSequence = sequence;
    return true;
  }

  /**
   * Returns true, and restarts the interval, if the peer may be sent the full state that it
   * requested.
   */
  boolean takeFullStateTurn(final long nowUs) {
    if (nowUs - fullStateSentUs < PUSH_INTERVAL_US) {
      return false;
    }
    fullStateSentUs = nowUs;
    return true;
  }

  /**
   * Returns true, and restarts the interval, if the peer may be sent the decisions that it lacks.
   */
  boolean takeDecisionsTurn(final long nowUs) {
    if (nowUs - decisionsSentUs < PUSH_INTERVAL_US) {
      return false;
    }
    decisionsSentUs = nowUs;
    return true;
  }

  /** Returns true, and restarts the interval, if a heartbeat of the peer may be forwarded. */
  boolean takeHeartbeatTurn(final long nowUs) {
    if (nowUs - heartbeatForwardedUs < HEARTBEAT_FORWARD_INTERVAL_US) {
      return false;
    }
    heartbeatForwardedUs = nowUs;
    return true;
  }
}
