package thistleturn.decisions;

import java.util.Random;
import thistleturn.decisions.model.DeliverySettings;

/**
 * Determines how far apart the calls to a failing route are, and when a route whose circuit is open
 * is tried again. Both depend on the rate of its calls, or on this courier's even share of its
 * limit, and on how long it has been failing. Trial times and backoffs are randomized so that
 * couriers do not act in lockstep.
 */
final class RecoveryPacer {
  /** Minimum backoff after a rejection, us: limits are counted over windows of about a second. */
  static final long MIN_BACKOFF_US = OverloadController.SECOND_US / 2;

  /** Limit that is assumed where a destination has reported none, calls a second. */
  private static final double DEFAULT_LIMIT = 1;

  /** Lower bound of the longest interval between trials, us, however high the rate of calls. */
  private static final long MIN_TRIAL_INTERVAL_CAP_US = OverloadController.SECOND_US / 10;

  /** Largest ratio by which an interval is randomly lengthened or shortened. */
  private static final double JITTER = 0.2;

  private final DeliverySettings settings;
  private final Random random;
  private final long minTrialIntervalCapUs;

  /**
   * Creates the pacer of a courier.
   *
   * @param random the courier's only source of randomness
   * @param classifiesFaults whether the longest interval between trials has a lower bound
   */
  RecoveryPacer(
      final DeliverySettings settings, final Random random, final boolean classifiesFaults) {
    this.settings = settings;
    this.random = random;
    this.minTrialIntervalCapUs = classifiesFaults ? MIN_TRIAL_INTERVAL_CAP_US : 0;
  }

  /**
   * Returns the backoff of a failing route: as long as it has been failing, but no longer than the
   * interval of its calls. All couriers together thus send no more calls than messages arrive,
   * however many couriers there are. The price is a message whose wait outlasts the fault.
   */
  long backoffUs(final Route route, final long atUs) {
    final long failingUs = atUs - route.circuit().faultSinceUs();
    return (long) Math.min((double) Math.max(MIN_BACKOFF_US, failingUs), callIntervalUs(route));
  }

  /**
   * Returns the average interval of this courier's calls, but no more than the interval at its even
   * share of the limit.
   */
  private double callIntervalUs(final Route route) {
    final SendPacing pacing = route.pacing();
    final double limit = pacing.hasReportedLimit() ? pacing.reportedLimit() : DEFAULT_LIMIT;
    final double callsPerSecond = route.serviceRate().averageCallsPerSecond();
    return OverloadController.SECOND_US / Math.max(callsPerSecond, limit / settings.courierCount());
  }

  /**
   * Returns when a route whose circuit is open is tried again. The time is drawn at random: at any
   * moment, the rate of trials is the share of load that overloads a cold destination, divided by
   * the age of the outage. The trials of all couriers together thus stay near that share of the
   * messages, however many couriers there are.
   */
  long nextTrialUs(final Route route, final long nowUs) {
    final long fromUs = Math.max(nowUs, route.pacing().retryAfterUntilUs());
    final double ageUs = Math.max(MIN_BACKOFF_US, fromUs - route.circuit().faultSinceUs());
    final double overloadShare = settings.guarantees().overloadShare(0);
    final double drawnUs = ageUs * (Math.pow(1 - random.nextDouble(), -1 / overloadShare) - 1);
    final long maxIntervalUs =
        (long) Math.max((double) minTrialIntervalCapUs, callIntervalUs(route) / overloadShare);
    return fromUs + (long) Math.min(drawnUs, (double) jitter(maxIntervalUs));
  }

  /** Returns an interval that is randomly a little longer or shorter than the given one. */
  long jitter(final long intervalUs) {
    return (long) (intervalUs * (1 - JITTER + 2 * JITTER * random.nextDouble()));
  }
}
