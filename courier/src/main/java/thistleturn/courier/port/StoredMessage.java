package thistleturn.courier.port;

import thistleturn.decisions.model.PriorAttempts;

/**
 * A message that this courier is responsible for, as the journal stores it: the client's request,
 * and the attempts so far. Once it has ended, only its final outcome is still to be reported. Times
 * are in microseconds of the machine's monotonic clock, which all processes of one boot share.
 *
 * <p>At most one attempt is in flight at a time.
 */
public final class StoredMessage {
  /** Represents a time that is never reached. */
  public static final long NEVER = Long.MAX_VALUE;

  private static final byte[] EMPTY_BODY = {};

  private final String id;
  private final String className;
  private final String idempotencyKey;
  private final long destination;
  private final long deadlineUs;
  private final Submission submission;
  private byte[] body;
  private int attempts;
  private long firstExecutionUs = NEVER;
  private String executionZone = "";

  /** When the attempt in flight started; {@link #NEVER} while there is none. */
  private long attemptStartedUs = NEVER;

  private String attemptZone = "";
  private FinalOutcome finalOutcome;

  /** What the store keeps as its final outcome while it has not ended; null if nothing. */
  private FinalOutcome statedOutcome;

  private MessageTimeline timeline;

  /**
   * The final outcome of a message that was not delivered, as reported to the platform.
   *
   * @param failed true if it failed; false if it is deferred and may be submitted again
   * @param retryAfterMs after how long to submit a deferred message again, in milliseconds; 0 if
   *     unknown
   */
  public record FinalOutcome(boolean failed, long retryAfterMs) {}

  /**
   * Creates a message that a client submitted.
   *
   * @param idempotencyKey the key by which its destination recognizes a retry; may be null
   * @param destination the number of its destination
   * @param deadlineUs when it expires
   */
  public StoredMessage(
      final String id,
      final String className,
      final String idempotencyKey,
      final long destination,
      final long deadlineUs,
      final byte[] body) {
    this.id = id;
    this.className = className;
    this.idempotencyKey = idempotencyKey;
    this.destination = destination;
    this.deadlineUs = deadlineUs;
    this.submission = new Submission(id, destination, deadlineUs);
    this.body = body;
  }

  /** Returns the submission by which this message came. */
  public Submission submission() {
    return submission;
  }

  /** Returns the message's id, which its client chose. */
  public String id() {
    return id;
  }

  /** Returns the name of its message class. */
  public String className() {
    return className;
  }

  /** Returns the key by which its destination recognizes a retry, or null. */
  public String idempotencyKey() {
    return idempotencyKey;
  }

  /** Returns the number of its destination. */
  public long destination() {
    return destination;
  }

  /** Returns when it expires, in microseconds. */
  public long deadlineUs() {
    return deadlineUs;
  }

  /** Marks the start of an attempt that the store records. */
  public void startAttempt(final long nowUs, final String zone) {
    attempts++;
    attemptStartedUs = nowUs;
    attemptZone = zone;
  }

  /**
   * Ends the attempt in flight, whose outcome is known.
   *
   * @param neverRan true if the endpoint cannot have executed the message
   */
  public void endAttempt(final boolean neverRan) {
    if (!neverRan && attemptStartedUs != NEVER) {
      firstExecutionUs = Math.min(firstExecutionUs, attemptStartedUs);
      executionZone = attemptZone;
    }
    attemptStartedUs = NEVER;
  }

  /** Records that an ended attempt, which counted as one that never ran, may have run after all. */
  public void recordPossibleExecution(final long startedUs, final String zone) {
    firstExecutionUs = Math.min(firstExecutionUs, startedUs);
    executionZone = zone;
  }

  /** Restores the attempts that an earlier process recorded. */
  public void restoreAttempts(
      final int earlierAttempts, final long firstPossibleExecutionUs, final String zone) {
    attempts = earlierAttempts;
    firstExecutionUs = firstPossibleExecutionUs;
    executionZone = zone;
  }

  /**
   * Ends the message: only its outcome is to be reported from now on. Its body is released, since
   * the report does not need it and many messages may wait while the platform is unreachable.
   */
  public void end(final FinalOutcome outcome) {
    finalOutcome = outcome;
    body = EMPTY_BODY;
  }

  /** Returns the body that its client sent; empty once the message has ended. */
  public byte[] body() {
    return body;
  }

  /** Returns the outcome that is still to be reported, or null. */
  public FinalOutcome finalOutcome() {
    return finalOutcome;
  }

  /**
   * Notes the outcome to report if this process ends before the message does: an endpoint has
   * stated an end, so that no process sends it again.
   */
  public void noteStatedOutcome(final FinalOutcome outcome) {
    statedOutcome = outcome;
  }

  /** Returns the outcome that a process reports which finds the message in the store, or null. */
  public FinalOutcome storedOutcome() {
    return finalOutcome == null ? statedOutcome : finalOutcome;
  }

  /** Returns how many attempts have started. */
  public int attempts() {
    return attempts;
  }

  /**
   * Returns the start of the first ended attempt that may have been executed; {@link #NEVER} if
   * there is none.
   */
  public long firstExecutionUs() {
    return firstExecutionUs;
  }

  /** Returns the zone of the last ended attempt that may have been executed. */
  public String executionZone() {
    return executionZone;
  }

  /** Returns true while an attempt is in flight. */
  public boolean hasAttemptInFlight() {
    return attemptStartedUs != NEVER;
  }

  /** Returns when the attempt in flight started. */
  public long attemptStartedUs() {
    return attemptStartedUs;
  }

  /** Returns the zone of the attempt in flight. */
  public String attemptZone() {
    return attemptZone;
  }

  /**
   * Returns the prior attempts as a process must assume them that did not observe their outcomes:
   * an attempt that was in flight may have been executed.
   */
  public PriorAttempts priorAttempts() {
    final long firstUs = Math.min(firstExecutionUs, attemptStartedUs);
    final boolean mayHaveExecuted = firstUs != NEVER;
    return new PriorAttempts(
        attempts,
        mayHaveExecuted,
        mayHaveExecuted ? firstUs : 0,
        hasAttemptInFlight() ? attemptZone : executionZone);
  }

  /** Returns its timeline in this process; null if an earlier process accepted it. */
  public MessageTimeline timeline() {
    return timeline;
  }

  /** Starts its timeline. */
  public void startTimeline(final MessageTimeline started) {
    timeline = started;
  }
}
