package thistleturn.decisions.peers;

/** What goes out. Addresses are {@code host:port}, as their owners tell them. */
public interface PeerActions {
  /** A datagram; it may be lost. */
  void send(String to, Packet packet);

  /**
   * Begins a connection there that is kept; what becomes of it is told. One that is there already
   * is ended first.
   */
  void connect(String to);

  /** Ends the connection there, if there is one; nothing more is told of it. */
  void disconnect(String to);

  /** All that is known, over a connection, kept or made for it; it may be lost. */
  void sendFullState(String to, FullStateMessage full);

  /** Something for operators. */
  void onEvent(PeerEvent event);
}
