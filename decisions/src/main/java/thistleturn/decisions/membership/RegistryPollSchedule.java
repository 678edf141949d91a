package thistleturn.decisions.membership;

/**
 * Schedules the polls of a registry: when, at which of its addresses, and for which scope. At most
 * one call is in flight at a time. Times are passed in as arguments, as are random numbers
 * distributed uniformly over [0, 1), which spread the polls of many couriers.
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

  /** What a poll requests. */
  public enum Scope {
    /** All instances. */
    FULL,
    /** Recent changes. */
    DELTA
  }

  /**
   * The next call.
   *
   * @param address index of the registry's address to call
   */
  public record ScheduledPoll(long atUs, int address, Scope scope) {}

  /**
   * Creates a schedule whose first poll is due immediately.
   *
   * @param addresses how many addresses the registry has; the next one is tried when one fails
   * @param periodUs time between two polls that succeed, us
   * @param maxBackoffUs the longest backoff after a round in which all addresses failed; the first
   *     one is a tenth of the period
   * @param deltas false if every poll requests all instances
   */
  public RegistryPollSchedule(
      final long nowUs,
      final int addresses,
      final long periodUs,
      final long maxBackoffUs,
      final boolean deltas) {
    if (addresses < 1 || periodUs < 1 || maxBackoffUs < 1) {
      throw new IllegalArgumentException(
          "a registry needs an address, a positive period and a positive backoff");
    }
    this.addresses = addresses;
    this.periodUs = periodUs;
    this.maxBackoffUs = maxBackoffUs;
    this.deltas = deltas;
    this.nextPollUs = nowUs;
  }

  /** Returns the next poll. */
  public ScheduledPoll next() {
    return new ScheduledPoll(nextPollUs, address, needsFull || !deltas ? Scope.FULL : Scope.DELTA);
  }

  /** Records that the poll succeeded, and that the instances received until now are complete. */
  public void onSuccess(final long nowUs, final double random) {
    consecutiveFailures = 0;
    needsFull = false;
    nextPollUs = nowUs + withJitter(periodUs, random);
  }

  /**
   * Records that the view after a delta differs from the registry's, or that the registry has no
   * deltas: a full poll follows immediately.
   */
  public void onMismatch(final long nowUs) {
    consecutiveFailures = 0;
    needsFull = true;
    nextPollUs = nowUs;
  }

  /**
   * Records that the poll failed. The other addresses are tried immediately; after a round in which
   * all of them failed, the schedule backs off exponentially.
   *
   * @return true if this ended a round: the registry is unreachable
   */
  public boolean onFailure(final long nowUs, final double random) {
    // The view at another address may be newer or older, so that a delta would not match.
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
