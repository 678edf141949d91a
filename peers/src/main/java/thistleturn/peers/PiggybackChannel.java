package thistleturn.peers;

/**
 * A subsystem whose messages are sent along with the exchange of peers: over the same sockets,
 * authenticated, and between members alone. Called on the event loop.
 */
public interface PiggybackChannel {
  /** The exchange has started: messages can be sent from now on. */
  void onStarted();

  /**
   * A message was received from a member that is alive. Messages may arrive late or out of order,
   * and may be lost.
   *
   * @param from the address of the sender
   */
  void onReceived(String from, byte[] payload);
}
