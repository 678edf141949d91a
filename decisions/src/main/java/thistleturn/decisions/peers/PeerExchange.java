package thistleturn.decisions.peers;

/**
 * How far the exchange of messages with one peer went: the sequence read last, and when what was
 * last sent to it.
 */
final class PeerExchange {
  /** How long after one push of missing state to a peer the next one may follow. */
  private static final long PUSH_INTERVAL_US = 300_000;

  /** How often a heartbeat of one peer is forwarded to others. */
  private static final long HEARTBEAT_FORWARD_INTERVAL_US = 400_000;

  private long lastSequence;
  private long fullStateSentUs = Peer.NEVER;
  private long decisionsSentUs = Peer.NEVER;
  private long heartbeatForwardedUs = Peer.NEVER;

  /** Starts over with another incarnation of the peer. */
  void reset() {
    lastSequence = 0;
    fullStateSentUs = Peer.NEVER;
    decisionsSentUs = Peer.NEVER;
  }

  /** Records a packet's sequence. Returns false if that packet, or a later one, was read before. */
  boolean advanceSequence(final long sequence) {
    if (sequence <= lastSequence) {
      return false;
    }
    lastSequence = sequence;
    return true;
  }

  /**
   * Returns true, and starts the interval anew, if the peer may be sent the full state that it
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
   * Returns true, and starts the interval anew, if the peer may be sent the decisions that it
   * lacks.
   */
  boolean takeDecisionsTurn(final long nowUs) {
    if (nowUs - decisionsSentUs < PUSH_INTERVAL_US) {
      return false;
    }
    decisionsSentUs = nowUs;
    return true;
  }

  /** Returns true, and starts the interval anew, if a heartbeat of the peer may be forwarded. */
  boolean takeHeartbeatTurn(final long nowUs) {
    if (nowUs - heartbeatForwardedUs < HEARTBEAT_FORWARD_INTERVAL_US) {
      return false;
    }
    heartbeatForwardedUs = nowUs;
    return true;
  }
}
