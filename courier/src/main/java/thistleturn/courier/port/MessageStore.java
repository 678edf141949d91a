package thistleturn.courier.port;

import java.util.Collection;

/**
 * What outlasts the process. Records are safe from the end of this process once {@link #flush} has
 * returned {@link MessageStore.FlushResult#DURABLE} after them: it is called ahead of whatever they
 * promise, once for all that a pass brought. What was recorded since the last such flush outlasts
 * the process whole or not at all. All methods run on the event loop's thread.
 */
public interface MessageStore {
  /** What became of the records since the last flush that was safe. */
  enum FlushResult {
    /** They outlast the process. */
    DURABLE,
    /**
     * None of them outlasts the process; they are kept, and written with the next flush that
     * succeeds.
     */
    FAILED,
    /** The folder does not tell whether they outlast the process; they are kept as well. */
    UNKNOWN
  }

  /** What the courier owes an end or a notice, in the order taken. */
  Collection<StoredMessage> pendingMessages();

  /** True while an end or a notice is owed for a message of that id. */
  boolean contains(String id);

  /**
   * Records a message that is taken on; false, and nothing taken, if there is no room for it, or
   * nothing can be written now.
   */
  boolean recordAccepted(StoredMessage held);

  /** Records an attempt that begins now, before its call's first byte. */
  void recordAttemptStarted(StoredMessage held, long nowUs, String zone);

  /** Records the outcome of an attempt. */
  void recordAttemptOutcome(StoredMessage held, boolean neverRan);

  /** Records that a message has ended and that only its notice is still owed. */
  void recordFinalOutcome(StoredMessage held, StoredMessage.FinalOutcome notice);

  /** Records that nothing is owed for a message any more. */
  void recordCompleted(StoredMessage held);

  /**
   * Makes all that was recorded so far safe. Unless that succeeded, nothing may be promised on the
   * strength of it.
   */
  FlushResult flush();

  /** False from a flush that failed until one that succeeds. */
  boolean isWritable();
}
