package thistleturn.courier.port;

import java.util.Collection;

/**
 * Stores what must survive the process. Records made before a {@link #flush} that returned {@link
 * FlushResult#DURABLE} survive it; records made since then survive all together or not at all. Each
 * decision round flushes once, before it does anything that relies on its records. All methods run
 * on the event loop's thread.
 */
public interface MessageStore {
  /** The result for the records made since the last durable flush. */
  enum FlushResult {
    /** They survive the process. */
    DURABLE,
    /**
     * None of them survives the process; they stay in memory and are written by the next flush that
     * succeeds.
     */
    FAILED,
    /** It cannot be determined whether they survive the process; they stay in memory as well. */
    UNKNOWN
  }

  /**
   * Returns, in the order of acceptance, the messages that have not ended and those whose final
   * outcome is still to be reported.
   */
  Collection<StoredMessage> pendingMessages();

  /** Returns true while a message with that id is one of {@link #pendingMessages}. */
  boolean contains(String messageId);

  /**
   * Records an accepted message.
   *
   * @return false if there is no capacity for it or the store cannot be written now; then nothing
   *     is recorded
   */
  boolean recordAccepted(StoredMessage message);

  /**
   * Records a completed message again, with its attempts, since it has not ended after all.
   *
   * @return false if there is no capacity for it or the store cannot be written now; then nothing
   *     is recorded
   */
  boolean recordReopened(StoredMessage message);

  /** Records an attempt that starts now, before its call's first byte. */
  void recordAttemptStarted(StoredMessage message, long nowUs, String zone);

  /**
   * Records the outcome of an attempt.
   *
   * @param neverRan true if the endpoint cannot have executed the message
   */
  void recordAttemptOutcome(StoredMessage message, boolean neverRan);

  /**
   * Records that an ended attempt of a pending message, which counted as one that never ran, may
   * have run after all.
   */
  void recordPossibleExecution(StoredMessage message, long startedUs, String zone);

  /** Records that a message has ended and that only its final outcome is still to be reported. */
  void recordFinalOutcome(StoredMessage message, StoredMessage.FinalOutcome outcome);

  /**
   * Records that an endpoint has stated an end of a message that has not ended here yet: a later
   * process does not send it, and reports this outcome unless another one is recorded.
   */
  void recordStatedOutcome(StoredMessage message, StoredMessage.FinalOutcome outcome);

  /** Records that nothing is left to do for a message. */
  void recordCompleted(StoredMessage message);

  /**
   * Makes all records so far durable. Unless that succeeds, no acceptance, call or final outcome
   * may rely on them.
   */
  FlushResult flush();

  /** Returns false after a failed flush until one succeeds. */
  boolean isWritable();
}
