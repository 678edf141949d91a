package thistleturn.decisions.fleet;

/**
 * One courier's share of the rate that a destination takes from all couriers, as a token bucket.
 *
 * <p>Many couriers that each stay under the whole rate exceed it together; and where rejected calls
 * count against the rate too, a fleet that calls at just that rate is rejected for as long as it
 * goes on. So the bucket fills at this courier's even share, a little less than all of it. It is
 * deep enough for the chance of single arrivals, which differs from courier to courier, and so
 * evens out. What the even share does not say is learned: a rejection lowers the rate by a factor,
 * quiet seconds raise it, quickly up to the even share and from there on slowly, only while
 * messages wait for it, and slowest near the rate that was rejected last.
 *
 * <p>In a vast fleet a share can be so thin that chance alone decides what a courier has to send in
 * a second, and what it accepts may be several times the mean for as long as it runs. Enforced
 * strictly, such a share makes messages wait for ten seconds while the sum stays far under the
 * rate. So a thin share has a deep bucket and grows by a share of itself where messages wait, and a
 * rejection leaves a share of the current rate. The sum is then limited by rejections, of which
 * each courier sees its part.
 */
public final class FairShare {
  private static final double SECOND_US = 1_000_000;

  /** Share of the even share that is used, so that the sum stays off the limit. */
  private static final double UTILIZATION = 0.9;

  /** The depth of the bucket in seconds of the rate, and in calls at least. */
  private static final double DEPTH_S = 1;

  private static final double MIN_DEPTH = 2;

  /** Tokens at first: many couriers may start at the same time with messages that wait. */
  private static final double INITIAL_TOKENS = 1;

  /** What a rejection leaves of the rate. */
  private static final double REJECTION_FACTOR = 0.7;

  /** Rejections within this time of one that lowered the rate say the same, us. */
  private static final long REJECTION_WINDOW_US = 500_000;

  /** The lowest rate, as a share of the even one. */
  private static final double MIN_SHARE = 0.1;

  /** Growth a second below the even rate, as a share of that. */
  private static final double RECOVERY_GROWTH = 0.2;

  /** Growth a second above the even rate while messages wait, as a factor; and while many do. */
  private static final double GROWTH_FACTOR = 1.03;

  private static final double LONG_QUEUE_GROWTH_FACTOR = 1.1;
  private static final int LONG_QUEUE = 10;

  /** A share of so many calls a second is not thin at all; one of none is entirely. */
  private static final double THICK_RATE = 2;

  /** Additional growth a second of an entirely thin share while messages wait. */
  private static final double THIN_GROWTH = 1;

  /** Additional depth of an entirely thin share's bucket. */
  private static final double THIN_DEPTH = 6;

  /** From this share of the rate that was rejected last on, the rate grows carefully. */
  private static final double NEAR_CEILING = 0.9;

  /** Careful growth a second, by which the ceiling is forgotten too. */
  private static final double CAREFUL_GROWTH_FACTOR = 1.01;

  /** The rate grows only after so long without a rejection, us. */
  private static final long QUIET_US = 1_000_000;

  /** The most seconds that are made up for at once: fewer bring a rate back to the even one. */
  private static final long MAX_CATCH_UP_S = 20;

  private final boolean vastFleet;

  /** Calls a second without anything learned; 0 if there is no limit. */
  private double evenRate;

  /** Calls a second that may be made now. */
  private double rate;

  /** The rate at which the last rejection came. */
  private double rejectedRate = Double.POSITIVE_INFINITY;

  /** Calls that may be made at once, as of {@link #filledUs}. */
  private double tokens;

  private long filledUs;
  private long advancedUs;
  private long rejectedUs = Long.MIN_VALUE / 2;

  /** A share that is not limited yet; {@code vastFleet}: one of so many that it may be thin. */
  public FairShare(final boolean vastFleet) {
    this.vastFleet = vastFleet;
  }

  /**
   * Sets this courier's even share of what the destination takes, calls a second; 0 if the rate is
   * not known, and nothing limited.
   */
  public void setEvenRate(final double ratePerSecond, final long nowUs) {
    final double next = UTILIZATION * ratePerSecond;
    if (next == evenRate) {
      return;
    }
    fill(nowUs);
    if (evenRate == 0) {
      rate = next;
      rejectedRate = Double.POSITIVE_INFINITY;
      tokens = INITIAL_TOKENS;
    } else {
      rate = rate * next / evenRate;
      rejectedRate = rejectedRate * next / evenRate;
    }
    evenRate = next;
  }

  /** True where there is a rate to share. */
  public boolean isLimited() {
    return evenRate > 0;
  }

  /** When the next call may be made: at that time, or later. */
  public long earliestCallUs(final long atUs) {
    final double available = Math.min(depth(rate), tokens + rate * (atUs - filledUs) / SECOND_US);
    return available >= 1 ? atUs : atUs + (long) Math.ceil((1 - available) / rate * SECOND_US);
  }

  /** A call is made, whether the share allowed it or not. */
  public void recordCall(final long nowUs) {
    fill(nowUs);
    tokens -= 1;
  }

  /** A call was rejected. */
  public void recordRejected(final long nowUs) {
    if (nowUs - rejectedUs < REJECTION_WINDOW_US) {
      return;
    }
    fill(nowUs);
    rejectedRate = rate;
    // A share that is not thin gives up all that it has above the full even share as well.
    final double kept = thinness() > 0 ? rate : Math.min(rate, evenRate / UTILIZATION);
    rate = Math.max(MIN_SHARE * evenRate, REJECTION_FACTOR * kept);
    tokens = Math.min(tokens, 0);
    rejectedUs = nowUs;
  }

  /**
   * Adapts the rate to the time that has passed since the last call of this method, a second or
   * more.
   *
   * @param waiting how many messages wait for the destination now
   */
  public void advance(final int waiting, final long nowUs) {
    final long seconds = Math.min(MAX_CATCH_UP_S, Math.round((nowUs - advancedUs) / SECOND_US));
    fill(nowUs);
    advancedUs = nowUs;
    if (nowUs - rejectedUs < QUIET_US) {
      return;
    }
    for (long second = 1; second <= seconds; second++) {
      // How many messages waited is known of the last second only.
      grow(second == seconds ? waiting : 0);
    }
  }

  private void grow(final int waiting) {
    rejectedRate *= CAREFUL_GROWTH_FACTOR;
    if (rate < evenRate) {
      rate = Math.min(evenRate, rate + RECOVERY_GROWTH * evenRate);
    } else if (waiting > 0) {
      final double factor = waiting >= LONG_QUEUE ? LONG_QUEUE_GROWTH_FACTOR : GROWTH_FACTOR;
      final double next = rate * factor + THIN_GROWTH * thinness() * evenRate;
      rate = next < NEAR_CEILING * rejectedRate ? next : rate * CAREFUL_GROWTH_FACTOR;
    } else {
      rate = Math.max(evenRate, rate / GROWTH_FACTOR);
    }
  }

  /** Calls a second that may be made now, in the long run. */
  public double ratePerSecond() {
    return rate;
  }

  private void fill(final long nowUs) {
    final long elapsedUs = Math.max(0, nowUs - filledUs);
    tokens = Math.min(depth(rate), tokens + rate * elapsedUs / SECOND_US);
    filledUs = Math.max(filledUs, nowUs);
  }

  /**
   * How much of the share chance decides: 1 for a share of next to nothing, 0 where a second holds
   * several calls.
   */
  private double thinness() {
    return vastFleet ? Math.max(0, 1 - evenRate / THICK_RATE) : 0;
  }

  private double depth(final double ratePerSecond) {
    return Math.max(MIN_DEPTH, DEPTH_S * ratePerSecond) + THIN_DEPTH * thinness();
  }
}
