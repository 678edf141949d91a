package thistleturn.decisions.replicas;

/** The actions that the replication protocol requests of its owner. */
public interface ReplicationActions {
  /** Sends a message as a datagram, which may be lost. */
  void send(String to, ReplicationMessage message);

  /** Sends a message over an existing connection; it may be lost. */
  void sendOverConnection(String to, ReplicationMessage message);

  /** Notifies that the merged value of a subject may have changed. */
  void onSubjectChanged(EntryType type, String subject);

  /** Reports an event to operators, in one line of text. */
  void onEvent(String message);
}
