package thistleturn.decisions.replicas;

/** What goes out, and what is to be read anew. */
public interface ReplicationActions {
  /** A datagram, which may be lost. */
  void send(String to, ReplicationMessage message);

  /** A piece, over a connection that is there; it may be lost. */
  void sendOverConnection(String to, ReplicationMessage message);

  /** What counts on that subject may be something else now. */
  void onSubjectChanged(EntryType kind, String subject);

  /** Something for operators, in a line. */
  void onEvent(String text);
}
