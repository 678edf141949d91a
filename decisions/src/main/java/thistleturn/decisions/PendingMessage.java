package thistleturn.decisions;

import thistleturn.decisions.index.OrderedQueue;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.model.PriorAttempts;
import thistleturn.decisions.retries.Evidence;
import thistleturn.decisions.retries.FollowUp;
import thistleturn.decisions.retries.TimeLeft;

/**
 * An accepted message without a final outcome, or one whose last attempt is still in flight.
 *
 * <p>It is waiting in a group of its destination, or part of a call, or ended, or none of these
 * while an attempt of an earlier process may still be in flight. An ended message is kept for as
 * long as its last attempt is in flight.
 */
final class PendingMessage extends OrderedQueue.Entry {
  private final Message message;
  private final MessageClass messageClass;

  /** Its sequence number in the order of acceptance. */
  private final long sequence;

  private final long objectiveUs;
  private final boolean overQuota;
  private final Destination destination;
  private final MessageDeadline deadline = new MessageDeadline(this);

  /** The queue of the messages with its key; null if it is not ordered by key. */
  private KeyQueue keyQueue;

  /** While it waits: its group, and its position in the queue of its destination. */
  private DeadlineGroup group;

  private long queuePosition;
  private boolean waiting;

  private InFlightCall call;
  private int attempts;
  private EndpointHealth rejectedBy;

  /** Whether an endpoint has answered that it has had all its attempts. */
  private boolean attemptsExhausted;

  private boolean mayHaveExecuted;
  private long firstExecutionUs = OverloadController.NEVER;
  private String executionZone = "";

  private boolean ended;

  PendingMessage(
      final Message message,
      final MessageClass messageClass,
      final long sequence,
      final Destination destination,
      final boolean overQuota) {
    this.message = message;
    this.messageClass = messageClass;
    this.sequence = sequence;
    this.destination = destination;
    this.overQuota = overQuota;
    this.objectiveUs =
        message.validUntilUs() - messageClass.deadlineUs() + messageClass.latencyObjectiveUs();
  }

  String id() {
    return message.id();
  }

  String key() {
    return message.key();
  }

  int classIndex() {
    return message.classIndex();
  }

  long validUntilUs() {
    return message.validUntilUs();
  }

  MessageClass messageClass() {
    return messageClass;
  }

  Idempotence idempotence() {
    return messageClass.idempotence();
  }

  long sequence() {
    return sequence;
  }

  /**
   * Returns whether it expires before another message; of equal deadlines, the first in the queue
   * does.
   */
  boolean expiresBefore(final PendingMessage other) {
    return validUntilUs() < other.validUntilUs()
        || (validUntilUs() == other.validUntilUs() && queuePosition < other.queuePosition);
  }

  long objectiveUs() {
    return objectiveUs;
  }

  boolean isOverQuota() {
    return overQuota;
  }

  Destination destination() {
    return destination;
  }

  MessageDeadline deadline() {
    return deadline;
  }

  // ---------------------------------------------------------------- waiting

  KeyQueue keyQueue() {
    return keyQueue;
  }

  void joinKeyQueue(final KeyQueue queue) {
    keyQueue = queue;
    queue.add(this);
  }

  boolean isWaiting() {
    return waiting;
  }

  /** Starts to wait at a position of the queue of its destination. */
  void startWaiting(final long position) {
    waiting = true;
    queuePosition = position;
  }

  void stopWaiting() {
    waiting = false;
  }

  long queuePosition() {
    return queuePosition;
  }

  DeadlineGroup group() {
    return group;
  }

  void enterGroup(final DeadlineGroup entered) {
    group = entered;
  }

  void leaveGroup() {
    group = null;
  }

  // ---------------------------------------------------------------- attempts

  int attempts() {
    return attempts;
  }

  InFlightCall call() {
    return call;
  }

  boolean isInFlight() {
    return call != null;
  }

  /** Starts a new attempt as part of a call that is being sent. */
  void startAttempt(final InFlightCall joined) {
    call = joined;
    attempts++;
  }

  /** Becomes part of a call that another process of this courier has sent and counted. */
  void adoptAttempt(final InFlightCall adopted) {
    call = adopted;
  }

  void endAttempt() {
    call = null;
  }

  /** Records that no further attempt may follow, however many were made. */
  void exhaustAttempts() {
    attemptsExhausted = true;
  }

  EndpointHealth rejectedBy() {
    return rejectedBy;
  }

  void recordRejection(final EndpointHealth endpoint) {
    rejectedBy = endpoint;
  }

  /** Restores the attempts that were made in an earlier process. */
  void restore(final PriorAttempts prior) {
    attempts = prior.attempts();
    mayHaveExecuted = prior.mayHaveExecuted();
    if (mayHaveExecuted) {
      firstExecutionUs = prior.firstExecutionUs();
      executionZone = prior.executionZone();
    }
  }

  // ---------------------------------------------------------------- effects

  boolean mayHaveExecuted() {
    return mayHaveExecuted;
  }

  /** Records that an attempt, sent at a given time, may have had its effect. */
  void recordPossibleExecution(final long sentUs, final String zone) {
    mayHaveExecuted = true;
    firstExecutionUs = Math.min(firstExecutionUs, sentUs);
    executionZone = zone;
  }

  /** Returns what may follow for it, by what is known of its attempts and the time left. */
  FollowUp followUp(final TimeLeft timeLeft) {
    return FollowUp.of(evidence(), messageClass, timeLeft);
  }

  private Evidence evidence() {
    if (attemptsExhausted) {
      return mayHaveExecuted ? Evidence.MAY_BE_OVER : Evidence.HAD_ALL_ATTEMPTS;
    }
    return mayHaveExecuted ? Evidence.MAY_HAVE_RUN : Evidence.NEVER_RAN;
  }

  /** Returns whether its client may safely submit it again after it has been shed. */
  boolean mayShed() {
    return mayShed(messageClass, mayHaveExecuted);
  }

  static boolean mayShed(final MessageClass messageClass, final boolean mayHaveExecuted) {
    final Evidence evidence = mayHaveExecuted ? Evidence.MAY_HAVE_RUN : Evidence.NEVER_RAN;
    return FollowUp.of(evidence, messageClass, TimeLeft.FOR_NOTICE) == FollowUp.NOTICE_DEFERRED;
  }

  /**
   * Returns the only zone that would recognize a repeated attempt, or null if any zone may be used.
   */
  String requiredZone() {
    return mayHaveExecuted && messageClass.keyScopedToZone() ? executionZone : null;
  }

  /**
   * Returns until when it may be sent: until its deadline or the end of the window of a key in use.
   */
  long retryDeadlineUs() {
    return Math.min(message.validUntilUs(), repeatableUntilUs());
  }

  /** Returns until when its key, if it is in use, is safely recognized. */
  long repeatableUntilUs() {
    return messageClass.retryDeadlineUs(mayHaveExecuted, firstExecutionUs);
  }

  // ---------------------------------------------------------------- end

  boolean hasEnded() {
    return ended;
  }

  void end() {
    ended = true;
  }
}
