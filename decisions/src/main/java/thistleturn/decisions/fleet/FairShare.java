package thistleturn.decisions.fleet;

/**
 * One courier's share of the rate that a destination accepts from all couriers, as a token bucket.
 *
 * <p>Many couriers that each stay below the total rate exceed it together; and where rejected calls
 * count against the rate too, a fleet that keeps calling at just that rate is rejected permanently.
 * The bucket therefore fills at slightly less than this courier's even share. It is deep enough for
 * random variation of arrivals, which is independent between couriers and so averages out. The rate
 * adapts from there: a rejection lowers it by a factor, and seconds without a rejection raise it,
 * quickly up to the even share, above that slowly and only while messages wait, and slowest near
 * the last rejected rate.
 *
 * <p>In a very large fleet a share can be so small that the number of messages a courier has to
 * send in a second is mostly random, and a courier may accept several times the mean for as long as
 * it runs. Strict enforcement of such a share makes messages wait for ten seconds while the sum of
 * all couriers stays far below the rate. A small share therefore has a deep bucket and grows by a
 * part of itself while messages wait, and a rejection reduces the current rate by a factor. The sum
 * is then limited by rejections, which are distributed over the couriers.
 */
public final class FairShare {
  private static final double SECOND_US = 1_000_000;

  /** Part of the even share that is used, so that the sum stays below the limit. */
  private static final double UTILIZATION = 0.9;

  /** Depth of the bucket in seconds of the rate, and its minimum in calls. */
  private static final double DEPTH_S = 1;

  private static final double MIN_DEPTH = 2;

  /** Initial tokens: many couriers may start at the same time with waiting messages. */
  private static final double INITIAL_TOKENS = 1;

  /** Factor that a rejection applies to the rate. */
  private static final double REJECTION_FACTOR = 0.7;

  /** Rejections within this time after one that lowered the rate are not counted again, us. */
  private static final long REJECTION_WINDOW_US = 500_000;

  /** Lowest rate, as a part of the even rate. */
  private static final double MIN_SHARE = 0.1;

  /** Growth a second below the even rate, as a part of it. */
  private static final double RECOVERY_GROWTH = 0.2;

  /** Factors of growth a second above the even rate while messages wait, and while many do. */
  private static final double GROWTH_FACTOR = 1.03;

  private static final double LONG_QUEUE_GROWTH_FACTOR = 1.1;
  private static final int LONG_QUEUE = 10;

  /** Calls a second from which a share is not small; adjustments grow as it falls below this. */
  private static final double SMALL_SHARE_RATE = 2;

  /** Additional growth a second of a share near zero while messages wait. */
  private static final double SMALL_SHARE_GROWTH = 1;

  /** Additional depth of the bucket of a share near zero. */
  private static final double SMALL_SHARE_DEPTH = 6;

  /** Part of the last rejected rate from which the rate grows carefully. */
  private static final double NEAR_CEILING = 0.9;

  /** Factor of careful growth a second, which also raises the last rejected rate over time. */
  private static final double CAREFUL_GROWTH_FACTOR = 1.01;

  /** Time without a rejection after which the rate may grow, us. */
  private static final long QUIET_US = 1_000_000;

  /** Most seconds applied at once; fewer suffice to bring a rate back to the even one. */
  private static final long MAX_CATCH_UP_S = 20;

  private final boolean vastFleet;

  /** Calls a second before any adaptation; 0 if there is no limit. */
  private double evenRate;

  /** Calls a second that may be made now. */
  private double rate;

  /** The rate at the last rejection. */
  private double rejectedRate = Double.POSITIVE_INFINITY;

  /** Calls that may be made at once, as of {@link #filledUs}. */
  private double tokens;

  private long filledUs;
  private long advancedUs;
  private long rejectedUs = Long.MIN_VALUE / 2;

  /**
   * Creates a share without a limit.
   *
   * @param vastFleet true if there are so many couriers that the share may be small
   */
  public FairShare(final boolean vastFleet) {
    this.vastFleet = vastFleet;
  }

  /**
   * Sets this courier's even share of the rate of the destination, calls a second; 0 if the rate is
   * unknown and calls are not limited.
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

  /** Returns whether there is a rate to share. */
  public boolean isLimited() {
    return evenRate > 0;
  }

  /** Returns the earliest time from {@code atUs} on at which the next call may be made. */
  public long earliestCallUs(final long atUs) {
    final double available = Math.min(depth(rate), tokens + rate * (atUs - filledUs) / SECOND_US);
    return available >= 1 ? atUs : atUs + (long) Math.ceil((1 - available) / rate * SECOND_US);
  }

  /** Records a call, whether the share allowed it or not. */
  public void recordCall(final long nowUs) {
    fill(nowUs);
    tokens -= 1;
  }

  /** Records a rejected call. */
  public void recordRejected(final long nowUs) {
    if (nowUs - rejectedUs < REJECTION_WINDOW_US) {
      return;
    }
    fill(nowUs);
    rejectedRate = rate;
    // A share that is not small also gives up everything above the full even share.
    final double current = smallness() > 0 ? rate : Math.min(rate, evenRate / UTILIZATION);
    rate = Math.max(MIN_SHARE * evenRate, REJECTION_FACTOR * current);
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
      // The number of waiting messages is known for the last second only.
      grow(second == seconds ? waiting : 0);
    }
  }

  private void grow(final int waiting) {
    rejectedRate *= CAREFUL_GROWTH_FACTOR;
    if (rate < evenRate) {
      rate = Math.min(evenRate, rate + RECOVERY_GROWTH * evenRate);
    } else if (waiting > 0) {
      final double factor = waiting >= LONG_QUEUE ? LONG_QUEUE_GROWTH_FACTOR : GROWTH_FACTOR;
      final double next = rate * factor + SMALL_SHARE_GROWTH * smallness() * evenRate;
      rate = next < NEAR_CEILING * rejectedRate ? next : rate * CAREFUL_GROWTH_FACTOR;
    } else {
      rate = Math.max(evenRate, rate / GROWTH_FACTOR);
    }
  }

  /** Returns the sustained rate allowed now, calls a second. */
  public double ratePerSecond() {
    return rate;
  }

  private void fill(final long nowUs) {
    final long elapsedUs = Math.max(0, nowUs - filledUs);
    tokens = Math.min(depth(rate), tokens + rate * elapsedUs / SECOND_US);
    filledUs = Math.max(filledUs, nowUs);
  }

  /**
   * Returns how small the share is: near 1 for a share near zero, 0 from {@link #SMALL_SHARE_RATE}
   * on or in a smaller fleet.
   */
  private double smallness() {
    return vastFleet ? Math.max(0, 1 - evenRate / SMALL_SHARE_RATE) : 0;
  }

  private double depth(final double ratePerSecond) {
    return Math.max(MIN_DEPTH, DEPTH_S * ratePerSecond) + SMALL_SHARE_DEPTH * smallness();
  }
}
