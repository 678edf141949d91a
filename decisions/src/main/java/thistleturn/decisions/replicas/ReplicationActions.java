package thistleturn.decisions.replicas;

/** What the replication protocol has its surroundings do. */
public interface ReplicationActions {
  /** Sends a message as a datagram, which may be lost. */
  void send(String to, ReplicationMessage message);

  /** Sends a message over an existing connection; it may be lost. */
  void sendOverConnection(String to, ReplicationMessage message);

  /** Notifies that the merged value of a subject may have changed. */
  void onSubjectChanged(EntryType type, String subject);

  /** Notifies operators, in one line. */
  void onEvent(String message);
}
