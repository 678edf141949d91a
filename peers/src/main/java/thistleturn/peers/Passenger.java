package thistleturn.peers;

/**
 * A subsystem whose bytes travel with the exchange of peers: sealed, over the same sockets, between
 * members alone.
 */
public interface Passenger {
  /** The exchange goes on from now on. Called on the event loop. */
  void begin();

  /**
   * Something came from a member that lives; {@code from} is its address. It may have come late,
   * twice or out of order.
   */
  void received(String from, byte[] text);
}
