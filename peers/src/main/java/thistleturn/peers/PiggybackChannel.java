package thistleturn.peers;

/**
 * A subsystem whose bytes travel with the exchange of peers: sealed, over the same sockets, between
 * members alone.
 */
public interface PiggybackChannel {
  /** The exchange goes on from now on. Called on the event loop. */
  void onStarted();

  /**
   * Something came from a member that lives; {@code from} is its address. It may have come late,
   * twice or out of order.
   */
  void onReceived(String from, byte[] text);
}
