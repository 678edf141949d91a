package thistleturn.peers;

/**
 * A subsystem whose messages are sent over the sockets of the peer transport: authenticated, and
 * accepted only from peers that are known to be alive. Called on the event loop.
 */
public interface PiggybackChannel {
  /** Notifies the channel that the transport has started and messages can be sent. */
  void onStarted();

  /**
   * Handles a message from a peer that is known to be alive. Messages may arrive late or out of
   * order, and may be lost.
   *
   * @param from the address of the sender
   */
  void onReceived(String from, byte[] payload);
}
