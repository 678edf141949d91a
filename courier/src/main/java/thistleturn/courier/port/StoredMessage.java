package thistleturn.courier.port;

import thistleturn.decisions.model.PriorAttempts;

/**
 * A message that this courier owes an end, as the journal keeps it (times in microseconds of the
 * machine's monotonic clock, which all processes of one boot share): what its client handed in, and
 * what became of it so far. Once it has ended by a notice, only the notice is still owed.
 */
public final class StoredMessage {
  /** A moment that never comes. */
  public static final long NEVER = Long.MAX_VALUE;

  private static final byte[] EMPTY_BODY = {};

  private final String id;
  private final String className;
  private final String idempotencyKey;
  private final long destination;
  private final long deadlineUs;
  private byte[] body;
  private int attempts;
  private long firstRunUs = NEVER;
  private String runZone = "";

  /** When the attempt that is out was begun; never, while none is. */
  private long attemptStartedUs = NEVER;

  private String attemptZone = "";
  private FinalOutcome finalOutcome;
  private MessageTimeline timeline;

  /**
   * The end that the platform is told: a failure, or a refusal with the time after which to come
   * again.
   */
  public record FinalOutcome(boolean failed, long retryAfterMs) {}

  /** What a client handed in; {@code idempotencyKey} may be null. */
  public StoredMessage(
      final String id,
      final String className,
      final String idempotencyKey,
      final long destination,
      final long validUntilUs,
      final byte[] body) {
    this.id = id;
    this.className = className;
    this.idempotencyKey = idempotencyKey;
    this.destination = destination;
    this.deadlineUs = validUntilUs;
    this.body = body;
  }

  /** The message's id, as its client gave it. */
  public String id() {
    return id;
  }

  /** The name of its class. */
  public String className() {
    return className;
  }

  /** The key by which its destination knows a repeat, or null. */
  public String idempotencyKey() {
    return idempotencyKey;
  }

  /** The number of its destination. */
  public long destination() {
    return destination;
  }

  /** When its time is up, us. */
  public long deadlineUs() {
    return deadlineUs;
  }

  /** An attempt begins; the store has recorded it. */
  public void startAttempt(final long nowUs, final String zone) {
    attempts++;
    attemptStartedUs = nowUs;
    attemptZone = zone;
  }

  /** The attempt that was out has its outcome. */
  public void endAttempt(final boolean neverRan) {
    if (!neverRan && attemptStartedUs != NEVER) {
      firstRunUs = Math.min(firstRunUs, attemptStartedUs);
      runZone = attemptZone;
    }
    attemptStartedUs = NEVER;
  }

  /** What an earlier process had recorded of its attempts. */
  public void restoreAttempts(final int attemptsUsed, final long firstRun, final String zone) {
    attempts = attemptsUsed;
    firstRunUs = firstRun;
    runZone = zone;
  }

  /**
   * Only its notice is owed from now on, and that needs no body: many may wait while the platform
   * is away.
   */
  public void end(final FinalOutcome owed) {
    finalOutcome = owed;
    body = EMPTY_BODY;
  }

  /** What its client handed in; empty once only its notice is owed. */
  public byte[] body() {
    return body;
  }

  /** The end that is still to be told, or null. */
  public FinalOutcome finalOutcome() {
    return finalOutcome;
  }

  /** Attempts begun so far. */
  public int attempts() {
    return attempts;
  }

  /** When the first attempt began that may have run; {@link #NEVER} if none. */
  public long firstRunUs() {
    return firstRunUs;
  }

  /** The zone of that attempt. */
  public String runZone() {
    return runZone;
  }

  /** True while an attempt is out. */
  public boolean hasAttemptInFlight() {
    return attemptStartedUs != NEVER;
  }

  /** When the attempt that is out was begun. */
  public long attemptStartedUs() {
    return attemptStartedUs;
  }

  /** The zone of the attempt that is out. */
  public String attemptZone() {
    return attemptZone;
  }

  /**
   * What a process that did not see the attempts may count on. A call that was out may have run.
   */
  public PriorAttempts priorAttempts() {
    final long firstUs = Math.min(firstRunUs, attemptStartedUs);
    final boolean ran = firstUs != NEVER;
    return new PriorAttempts(
        attempts, ran, ran ? firstUs : 0, hasAttemptInFlight() ? attemptZone : runZone);
  }

  /** Its way through this process; null if an earlier one took it. */
  public MessageTimeline timeline() {
    return timeline;
  }

  /** Begins its way. */
  public void startTimeline(final MessageTimeline begun) {
    timeline = begun;
  }
}
