package thistleturn.decisions.peers;

/**
 * The output side of the membership protocol: sending, connections and events. Addresses are {@code
 * host:port}, as the couriers report them.
 */
public interface PeerActions {
  /** Sends a packet, which may be lost. */
  void send(String to, Packet packet);

  /**
   * Opens a persistent connection; its outcome is reported to {@link MembershipProtocol}. An
   * existing connection to the same address is closed first.
   */
  void connect(String to);

  /** Closes the connection to an address, if there is one; nothing more is reported about it. */
  void disconnect(String to);

  /** Sends the full state over the persistent connection or a temporary one; it may be lost. */
  void sendFullState(String to, FullStateMessage message);

  /** Notifies operators. */
  void onEvent(PeerEvent event);
}
