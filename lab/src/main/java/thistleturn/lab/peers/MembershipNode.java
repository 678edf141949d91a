package thistleturn.lab.peers;

import java.util.Set;

/** One simulated process that runs a membership protocol. Times are in microseconds. */
public interface MembershipNode {
  /** Called every 100 ms while the process runs. */
  void tick(long nowUs);

  /** Called with each message received from another process. */
  void receive(Object message, long nowUs);

  /** A requested connection was established and the peer reported this incarnation. */
  default void onConnected(final String to, final String incarnation, final long nowUs) {}

  /** The connection was closed or refused. */
  default void onConnectionClosed(final String to, final long nowUs) {}

  /** A connection attempt timed out. */
  default void onConnectTimeout(final String to, final long nowUs) {}

  /** The process announces that it leaves. */
  default void leave(final long nowUs) {}

  /** The process's identity: name and incarnation. */
  String id();

  /** The lineage (generation and founder) of the current view; empty if there is no view yet. */
  String viewLineage();

  /** Number of the current view; increases with each change of {@link #members()}. */
  long viewNumber();

  /** The incarnations that this process regards as members. */
  Set<String> members();

  /** The simulated network as seen by one node. */
  interface Network {
    /** Sends a datagram of the given size, which may be lost. */
    void send(String to, Object message, int bytes);

    /** Opens a persistent connection. */
    void connect(String to);

    /** Closes the connection; no further callbacks follow for it. */
    void disconnect(String to);

    /** Sends a message reliably over a connection, provided that the receiver is running. */
    void sendOverConnection(String to, Object message, int bytes);
  }

  /** Creates the node of a process that starts. */
  @FunctionalInterface
  interface Factory {
    /**
     * Creates a node.
     *
     * @param number index of the node's name in {@code names}
     * @param restarts number of earlier incarnations of the same name
     * @param names names of all processes of the fleet, including this one
     */
    MembershipNode create(
        int number,
        int restarts,
        java.util.List<String> names,
        long seed,
        long nowUs,
        Network network);
  }
}
