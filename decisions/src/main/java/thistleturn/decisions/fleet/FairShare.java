package thistleturn.decisions.fleet;

/**
 * One courier's part of the rate that a destination takes from all couriers together, as a bucket
 * of calls.
 *
 * <p>Many couriers that each stay under the whole rate exceed it together; and where refused calls
 * use the rate up too, a fleet that calls at just that rate is refused for as long as it goes on.
 * So the bucket fills at this courier's even part, a little less than all of it. It is deep enough
 * for the chance of single arrivals, which differs from courier to courier, and so evens out. What
 * the even part does not say is learnt: a refusal lowers the rate by a share, quiet seconds raise
 * it, quickly up to the even part and from there on slowly, only while messages wait for it, and
 * slowest near the rate that was refused last.
 *
 * <p>In a vast fleet a part can be so thin that chance alone decides what a courier has to send in
 * a second, and what it is handed may be several times the mean for as long as it runs. Kept to
 * strictly, such a part makes messages wait for ten seconds while the sum stays far under the rate.
 * So a thin part is deep, grows by a share of itself where messages wait, and a refusal leaves a
 * share of what there is. The sum is then kept by refusals, of which each courier sees its part.
 */
public final class FairShare {
  private static final double SECOND_US = 1_000_000;

  /** Share of the even part that is used: the sum stays off the edge. */
  private static final double USED = 0.9;

  /** Seconds of the rate, and calls at least, that may go at once. */
  private static final double DEPTH_S = 1;

  private static final double LEAST_DEPTH = 2;

  /**
   * Calls that may go at once at first: many couriers may begin in the same moment, with lines that
   * wait.
   */
  private static final double AT_FIRST = 1;

  /**
   * What a refusal leaves of the rate, at most once in so long, us: those on their way say the
   * same.
   */
  private static final double LEFT = 0.7;

  private static final long ONCE_US = 500_000;

  /** Least rate, as a share of the even part. */
  private static final double LEAST = 0.1;

  /**
   * Growth a second: below the even part, as a share of it; above, of what there is, in a short and
   * a long line.
   */
  private static final double BACK = 0.2;

  private static final double ABOVE = 1.03;
  private static final double ABOVE_LONG = 1.1;
  private static final int LONG_LINE = 10;

  /** A part of so many calls a second is not thin any more; one of none is altogether. */
  private static final double THICK = 2;

  /**
   * For a part that is altogether thin: growth a second while messages wait, as a share of it;
   * further calls at once.
   */
  private static final double THIN_GROWTH = 1;

  private static final double THIN_DEPTH = 6;

  /**
   * So near the rate that was refused last, as a share of it, growth is this; and that rate is
   * trusted less by as much.
   */
  private static final double NEAR = 0.9;

  private static final double CAREFUL = 1.01;

  /** So long without a refusal, us, and the rate grows. */
  private static final long QUIET_US = 1_000_000;

  /** Steps that are made up for: a rate is back at the even part after fewer. */
  private static final long MOST_STEPS = 20;

  private final boolean vast;

  /** Calls a second: what is kept to without refusals (0: nothing is), and what may be sent now. */
  private double even, rate;

  /** The rate that was refused last. */
  private double ceiling = Double.POSITIVE_INFINITY;

  /** Calls that may go at once, as of the moment when that was last reckoned. */
  private double calls;

  private long filledUs, steppedUs;
  private long refusedUs = Long.MIN_VALUE / 2;

  /** A part of what a fleet shares; {@code vast}: one so large that parts may be thin. */
  public FairShare(final boolean vast) {
    this.vast = vast;
  }

  /**
   * This courier's even part of what the destination takes, calls a second; 0: none is told, and
   * none kept to.
   */
  public void setEvenRate(final double ratePerSecond, final long nowUs) {
    final double next = USED * ratePerSecond;
    if (next != even) {
      fill(nowUs);
      rate = even == 0 ? next : rate * next / even;
      ceiling = even == 0 ? Double.POSITIVE_INFINITY : ceiling * next / even;
      calls = even == 0 ? AT_FIRST : calls;
      even = next;
    }
  }

  /** True where there is a part to keep to. */
  public boolean isLimited() {
    return even > 0;
  }

  /** When the next call may go: that moment, or one to come. */
  public long earliestCallUs(final long atUs) {
    final double there = Math.min(depth(rate), calls + rate * (atUs - filledUs) / SECOND_US);
    return there >= 1 ? atUs : atUs + (long) Math.ceil((1 - there) / rate * SECOND_US);
  }

  /** A call goes, whatever allowed it. */
  public void recordCall(final long nowUs) {
    fill(nowUs);
    calls -= 1;
  }

  /** A call was refused. */
  public void recordRejected(final long nowUs) {
    if (nowUs - refusedUs >= ONCE_US) {
      fill(nowUs);
      ceiling = rate;
      rate = Math.max(LEAST * even, LEFT * (thinness() > 0 ? rate : Math.min(rate, even / USED)));
      calls = Math.min(calls, 0);
      refusedUs = nowUs;
    }
  }

  /**
   * Some time has passed since the last step, a second or more, with so many messages waiting now.
   */
  public void advance(final int waiting, final long nowUs) {
    final long seconds = Math.min(MOST_STEPS, Math.round((nowUs - steppedUs) / SECOND_US));
    fill(nowUs);
    steppedUs = nowUs;
    for (long second = 0; second < seconds && nowUs - refusedUs >= QUIET_US; second++) {
      grow(second + 1 == seconds ? waiting : 0);
    }
  }

  private void grow(final int waiting) {
    ceiling *= CAREFUL;
    if (rate < even) {
      rate = Math.min(even, rate + BACK * even);
    } else if (waiting > 0) {
      final double next =
          rate * (waiting >= LONG_LINE ? ABOVE_LONG : ABOVE) + THIN_GROWTH * thinness() * even;
      rate = next < NEAR * ceiling ? next : rate * CAREFUL;
    } else {
      rate = Math.max(even, rate / ABOVE);
    }
  }

  /** Calls a second that may be made now, in the long run. */
  public double ratePerSecond() {
    return rate;
  }

  private void fill(final long nowUs) {
    calls = Math.min(depth(rate), calls + rate * Math.max(0, nowUs - filledUs) / SECOND_US);
    filledUs = Math.max(filledUs, nowUs);
  }

  /**
   * How much of it chance decides: 1 for a part of next to nothing, 0 where a second holds several
   * calls.
   */
  private double thinness() {
    return vast ? Math.max(0, 1 - even / THICK) : 0;
  }

  private double depth(final double ratePerSecond) {
    return Math.max(LEAST_DEPTH, DEPTH_S * ratePerSecond) + THIN_DEPTH * thinness();
  }
}
