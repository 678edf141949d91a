package thistleturn.decisions.peers;

/**
 * What the membership protocol has its surroundings do. Addresses are {@code host:port}, as their
 * owners report them.
 */
public interface PeerActions {
  /** Sends a packet, which may be lost. */
  void send(String to, Packet packet);

  /**
   * Opens a connection that is kept; its outcome is reported to {@link MembershipProtocol}. A
   * connection to the same address is closed first.
   */
  void connect(String to);

  /** Closes the connection to an address, if there is one; nothing more is reported about it. */
  void disconnect(String to);

  /** Sends the full state over a connection, kept or opened for it; it may be lost. */
  void sendFullState(String to, FullStateMessage message);

  /** Notifies operators. */
  void onEvent(PeerEvent event);
}
