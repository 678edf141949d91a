package thistleturn.courier.port;

import thistleturn.decisions.model.PriorAttempts;

/**
 * A message that this courier owes an end, as the journal keeps it (times in microseconds of the
 * machine's monotonic clock, which all processes of one boot share): what its client handed in, and
 * what became of it so far. Once it has ended by a notice, only the notice is still owed.
 */
public final class Held {
  /** A moment that never comes. */
  public static final long NEVER = Long.MAX_VALUE;

  private static final byte[] NOTHING = {};

  private final String id;
  private final String className;
  private final String idempotencyKey;
  private final long destination;
  private final long validUntilUs;
  private byte[] body;
  private int attempts;
  private long firstRunUs = NEVER;
  private String runZone = "";

  /** When the attempt that is out was begun; never, while none is. */
  private long outUs = NEVER;

  private String outZone = "";
  private Notice notice;
  private Way way;

  /**
   * The end that the platform is told: a failure, or a refusal with the time after which to come
   * again.
   */
  public record Notice(boolean failed, long againMs) {}

  /** What a client handed in; {@code idempotencyKey} may be null. */
  public Held(
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
    this.validUntilUs = validUntilUs;
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
  public long validUntilUs() {
    return validUntilUs;
  }

  /** An attempt begins; the store has recorded it. */
  public void begin(final long nowUs, final String zone) {
    attempts++;
    outUs = nowUs;
    outZone = zone;
  }

  /** The attempt that was out has its outcome. */
  public void settle(final boolean neverRan) {
    if (!neverRan && outUs != NEVER) {
      firstRunUs = Math.min(firstRunUs, outUs);
      runZone = outZone;
    }
    outUs = NEVER;
  }

  /** What an earlier process had recorded of its attempts. */
  public void restore(final int attemptsUsed, final long firstRun, final String zone) {
    attempts = attemptsUsed;
    firstRunUs = firstRun;
    runZone = zone;
  }

  /**
   * Only its notice is owed from now on, and that needs no body: many may wait while the platform
   * is away.
   */
  public void owe(final Notice owed) {
    notice = owed;
    body = NOTHING;
  }

  /** What its client handed in; empty once only its notice is owed. */
  public byte[] body() {
    return body;
  }

  /** The end that is still to be told, or null. */
  public Notice notice() {
    return notice;
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
  public boolean isOut() {
    return outUs != NEVER;
  }

  /** When the attempt that is out was begun. */
  public long outUs() {
    return outUs;
  }

  /** The zone of the attempt that is out. */
  public String outZone() {
    return outZone;
  }

  /**
   * What a process that did not see the attempts may count on. A call that was out may have run.
   */
  public PriorAttempts past() {
    final long firstUs = Math.min(firstRunUs, outUs);
    final boolean ran = firstUs != NEVER;
    return new PriorAttempts(attempts, ran, ran ? firstUs : 0, isOut() ? outZone : runZone);
  }

  /** Its way through this process; null if an earlier one took it. */
  public Way way() {
    return way;
  }

  /** Begins its way. */
  public void began(final Way begun) {
    way = begun;
  }
}
