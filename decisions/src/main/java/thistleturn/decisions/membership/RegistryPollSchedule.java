package thistleturn.decisions.membership;

/**
 * When a registry is asked next, at which of its addresses, and for what. One call is out at a
 * time. It has no clock and no randomness of its own: times come in, and a number drawn evenly from
 * [0, 1) spreads the calls of many couriers.
 */
public final class RegistryPollSchedule {
  private static final double JITTER = 0.15;

  private final int addresses;
  private final long periodUs;
  private final long mostBackOffUs;
  private final boolean deltas;
  private int address;
  private int failedInRow;
  private boolean wantsFull = true;
  private long atUs;

  /** What a call asks for. */
  public enum Scope {
    FULL,
    DELTA
  }

  /** The next call. */
  public record ScheduledPoll(long atUs, int address, Scope scope) {}

  /**
   * The first call is due at once.
   *
   * @param addresses how many addresses the registry has; they are asked in turn when one fails
   * @param periodUs between two calls that went well, us
   * @param mostBackOffUs the longest pause after a round in which all addresses failed; the first
   *     is a tenth of the period
   * @param deltas false where only whole answers are asked for
   */
  public RegistryPollSchedule(
      final long nowUs,
      final int addresses,
      final long periodUs,
      final long mostBackOffUs,
      final boolean deltas) {
    if (addresses < 1 || periodUs < 1 || mostBackOffUs < 1) {
      throw new IllegalArgumentException("a registry has an address, a period and a back-off");
    }
    this.addresses = addresses;
    this.periodUs = periodUs;
    this.mostBackOffUs = mostBackOffUs;
    this.deltas = deltas;
    this.atUs = nowUs;
  }

  /** The call that is due next. */
  public ScheduledPoll next() {
    return new ScheduledPoll(atUs, address, wantsFull || !deltas ? Scope.FULL : Scope.DELTA);
  }

  /** The call was answered, and what it told is known to be whole. */
  public void onSuccess(final long nowUs, final double random) {
    failedInRow = 0;
    wantsFull = false;
    atUs = nowUs + jittered(periodUs, random);
  }

  /**
   * A delta was answered that does not lead to what the registry has, or none are to be had: all is
   * asked for.
   */
  public void onMismatch(final long nowUs) {
    failedInRow = 0;
    wantsFull = true;
    atUs = nowUs;
  }

  /**
   * The call failed. The other addresses are tried at once, and after a round in which all failed
   * there is a pause, twice as long each time.
   *
   * @return true if this ended a round: the registry cannot be heard
   */
  public boolean onFailure(final long nowUs, final double random) {
    // What another address has may be older or newer: a delta would not fit.
    wantsFull = true;
    address = (address + 1) % addresses;
    failedInRow++;
    if (failedInRow % addresses != 0) {
      atUs = nowUs;
      return false;
    }
    final int rounds = Math.min(failedInRow / addresses, 30);
    final long pauseUs = Math.min(mostBackOffUs, Math.max(1, periodUs / 10) << (rounds - 1));
    atUs = nowUs + jittered(pauseUs, random);
    return true;
  }

  private static long jittered(final long us, final double random) {
    return Math.max(1, Math.round(us * (1 + JITTER * (2 * random - 1))));
  }
}
