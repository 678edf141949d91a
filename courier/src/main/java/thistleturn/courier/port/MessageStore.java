package thistleturn.courier.port;

import java.util.Collection;

/**
 * Keeps what must outlast the process. What was recorded before a {@link #flush} that returned
 * {@link FlushResult#DURABLE} outlasts it; what was recorded since then does so completely or not
 * at all. The flush precedes whatever the records promise, once for all that a decision round
 * brought. All methods run on the event loop's thread.
 */
public interface MessageStore {
  /** What became of the records since the last flush that was durable. */
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

  /**
   * Returns the messages that are to be ended, or to be reported as ended, in the order accepted.
   */
  Collection<StoredMessage> pendingMessages();

  /** Returns true while a message of that id is to be ended, or to be reported as ended. */
  boolean contains(String messageId);

  /**
   * Records an accepted message.
   *
   * @return false if there is no capacity for it or nothing can be written now; then nothing is
   *     recorded
   */
  boolean recordAccepted(StoredMessage message);

  /** Records an attempt that starts now, before its call's first byte. */
  void recordAttemptStarted(StoredMessage message, long nowUs, String zone);

  /**
   * Records the outcome of an attempt.
   *
   * @param neverRan true if the endpoint cannot have executed the message
   */
  void recordAttemptOutcome(StoredMessage message, boolean neverRan);

  /** Records that a message has ended and that only its outcome is still to be reported. */
  void recordFinalOutcome(StoredMessage message, StoredMessage.FinalOutcome outcome);

  /** Records that nothing is owed for a message any more. */
  void recordCompleted(StoredMessage message);

  /**
   * Makes all records so far durable. Unless that succeeds, nothing may be promised on the strength
   * of them.
   */
  FlushResult flush();

  /** Returns false from a flush that failed until one that succeeds. */
  boolean isWritable();
}
