package thistleturn.decisions.membership;

/**
 * When a registry is polled next, at which of its addresses, and for what. At most one call is in
 * flight at a time. Times come in as arguments, as do random numbers drawn evenly from [0, 1),
 * which spread the polls of many couriers.
 */
public final class RegistryPollSchedule {
  /** Share of an interval by which it is lengthened or shortened at random. */
  private static final double JITTER = 0.15;

  /** The first backoff is the period divided by this. */
  private static final int FIRST_BACKOFF_DIVISOR = 10;

  private static final int MAX_BACKOFF_DOUBLINGS = 30;

  private final int addresses;
  private final long periodUs;
  private final long maxBackoffUs;
  private final boolean deltas;
  private int address;
  private int consecutiveFailures;
  private boolean needsFull = true;
  private long nextPollUs;

  /** What a poll asks for. */
  public enum Scope {
    /** All instances. */
    FULL,
    /** What changed of late. */
    DELTA
  }

  /**
   * The next call.
   *
   * @param address index of the registry's address to call
   */
  public record ScheduledPoll(long atUs, int address, Scope scope) {}

  /**
   * A schedule whose first poll is due at once.
   *
   * @param addresses how many addresses the registry has; the next one is tried when one fails
   * @param periodUs time between two polls that succeed, us
   * @param maxBackoffUs the longest backoff after a round in which all addresses failed; the first
   *     one is a tenth of the period
   * @param deltas false where every poll asks for all instances
   */
  public RegistryPollSchedule(
      final long nowUs,
      final int addresses,
      final long periodUs,
      final long maxBackoffUs,
      final boolean deltas) {
    if (addresses < 1 || periodUs < 1 || maxBackoffUs < 1) {
      throw new IllegalArgumentException("a registry has an address, a period and a back-off");
    }
    this.addresses = addresses;
    this.periodUs = periodUs;
    this.maxBackoffUs = maxBackoffUs;
    this.deltas = deltas;
    this.nextPollUs = nowUs;
  }

  /** The poll that is due next. */
  public ScheduledPoll next() {
    return new ScheduledPoll(nextPollUs, address, needsFull || !deltas ? Scope.FULL : Scope.DELTA);
  }

  /** The poll succeeded, and what was received until now is complete. */
  public void onSuccess(final long nowUs, final double random) {
    consecutiveFailures = 0;
    needsFull = false;
    nextPollUs = nowUs + withJitter(periodUs, random);
  }

  /**
   * A delta does not lead to what the registry has, or the registry has no deltas: a full poll
   * follows at once.
   */
  public void onMismatch(final long nowUs) {
    consecutiveFailures = 0;
    needsFull = true;
    nextPollUs = nowUs;
  }

  /**
   * The poll failed. The other addresses are tried at once; after a round in which all of them
   * failed, the schedule backs off exponentially.
   *
   * @return true if this ended a round: the registry is unreachable
   */
  public boolean onFailure(final long nowUs, final double random) {
    // Another address may be ahead or behind, so that a delta would not fit.
    needsFull = true;
    address = (address + 1) % addresses;
    consecutiveFailures++;
    if (consecutiveFailures % addresses != 0) {
      nextPollUs = nowUs;
      return false;
    }
    nextPollUs = nowUs + withJitter(backoffUs(), random);
    return true;
  }

  private long backoffUs() {
    final int rounds = Math.min(consecutiveFailures / addresses, MAX_BACKOFF_DOUBLINGS);
    final long firstUs = Math.max(1, periodUs / FIRST_BACKOFF_DIVISOR);
    return Math.min(maxBackoffUs, firstUs << (rounds - 1));
  }

  private static long withJitter(final long intervalUs, final double random) {
    return Math.max(1, Math.round(intervalUs * (1 + JITTER * (2 * random - 1))));
  }
}
