package thistleturn.courier.port;

import thistleturn.decisions.model.PriorAttempts;

/**
 * A message that this courier has to bring to an end, as the journal keeps it: what its client
 * handed in, and its attempts so far. Once it has ended, only its final outcome is still to be
 * reported. Times are in microseconds of the machine's monotonic clock, which all processes of one
 * boot share.
 *
 * <p>At most one attempt is in flight at a time.
 */
public final class StoredMessage {
  /** Stands for a time that never comes. */
  public static final long NEVER = Long.MAX_VALUE;

  private static final byte[] EMPTY_BODY = {};

  private final String id;
  private final String className;
  private final String idempotencyKey;
  private final long destination;
  private final long deadlineUs;
  private byte[] body;
  private int attempts;
  private long firstExecutionUs = NEVER;
  private String executionZone = "";

  /** When the attempt in flight started; {@link #NEVER} while there is none. */
  private long attemptStartedUs = NEVER;

  private String attemptZone = "";
  private FinalOutcome finalOutcome;
  private MessageTimeline timeline;

  /**
   * How a message ended that was not delivered, as the platform is told.
   *
   * @param failed true if it failed; false if it is deferred, and may be handed in again
   * @param retryAfterMs when to hand a deferred message in again, in milliseconds; 0 if unknown
   */
  public record FinalOutcome(boolean failed, long retryAfterMs) {}

  /**
   * A message that a client handed in.
   *
   * @param idempotencyKey by which its destination recognizes a repeat; may be null
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
    this.body = body;
  }

  /** Returns the message's id, as its client gave it. */
  public String id() {
    return id;
  }

  /** Returns the name of its class. */
  public String className() {
    return className;
  }

  /** Returns the key by which its destination recognizes a repeat, or null. */
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

  /** An attempt starts; the store has recorded it. */
  public void startAttempt(final long nowUs, final String zone) {
    attempts++;
    attemptStartedUs = nowUs;
    attemptZone = zone;
  }

  /**
   * The attempt in flight has its outcome.
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

  /** Restores what an earlier process recorded of its attempts. */
  public void restoreAttempts(
      final int attemptsUsed, final long firstPossibleRunUs, final String zone) {
    attempts = attemptsUsed;
    firstExecutionUs = firstPossibleRunUs;
    executionZone = zone;
  }

  /**
   * Ends the message: only its outcome is to be reported from now on. That needs no body, and many
   * may wait while the platform is unreachable.
   */
  public void end(final FinalOutcome outcome) {
    finalOutcome = outcome;
    body = EMPTY_BODY;
  }

  /** Returns what its client handed in; empty once the message has ended. */
  public byte[] body() {
    return body;
  }

  /** Returns the outcome that is still to be reported, or null. */
  public FinalOutcome finalOutcome() {
    return finalOutcome;
  }

  /** Returns how many attempts have started. */
  public int attempts() {
    return attempts;
  }

  /**
   * Returns when the first of its ended attempts started that may have been executed; {@link
   * #NEVER} if none may.
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
   * Returns what a process may rely on that did not see the attempts: one that was in flight may
   * have been executed.
   */
  public PriorAttempts priorAttempts() {
    final long firstUs = Math.min(firstExecutionUs, attemptStartedUs);
    final boolean mayHaveRun = firstUs != NEVER;
    return new PriorAttempts(
        attempts,
        mayHaveRun,
        mayHaveRun ? firstUs : 0,
        hasAttemptInFlight() ? attemptZone : executionZone);
  }

  /** Returns its timeline in this process; null if an earlier one accepted it. */
  public MessageTimeline timeline() {
    return timeline;
  }

  /** Starts its timeline. */
  public void startTimeline(final MessageTimeline started) {
    timeline = started;
  }
}
