package thistleturn.decisions;

import java.util.Random;
import thistleturn.decisions.model.DeliverySettings;

/**
 * How far apart the calls to a failing route are, and when a route whose circuit is open is tried
 * again. Both follow from its messages, or this courier's even part of its limit, and from how long
 * it has failed; they are drawn at random so that couriers do not keep step.
 */
final class RecoveryPacer {
  /** The least backoff after a rejection, us: limits are counted over windows of about a second. */
  static final long MIN_BACKOFF_US = OverloadController.SECOND_US / 2;

  /** The limit of a destination where none was reported, calls a second. */
  private static final double DEFAULT_LIMIT = 1;

  /** The least interval of trials, us, however many messages there are. */
  private static final long MIN_TRIAL_INTERVAL_US = OverloadController.SECOND_US / 10;

  /** Share by which intervals are drawn longer or shorter. */
  private static final double JITTER = 0.2;

  private final DeliverySettings settings;
  private final Random random;
  private final long minTrialIntervalUs;

  /**
   * Creates the pacer of a courier.
   *
   * @param random the courier's only source of randomness
   * @param classifiesFaults whether trials have a least interval
   */
  RecoveryPacer(
      final DeliverySettings settings, final Random random, final boolean classifiesFaults) {
    this.settings = settings;
    this.random = random;
    this.minTrialIntervalUs = classifiesFaults ? MIN_TRIAL_INTERVAL_US : 0;
  }

  /**
   * Returns the backoff of a failing route: as long as it has failed, but no longer than the
   * interval of its calls. So all couriers together come no more often than messages do, however
   * many they are; it costs a message whose wait outlasts the fault.
   */
  long backoffUs(final Route route, final long atUs) {
    final long failingUs = atUs - route.circuit().faultSinceUs();
    return (long) Math.min((double) Math.max(MIN_BACKOFF_US, failingUs), callIntervalUs(route));
  }

  /** Returns the interval of this courier's calls, or of calls at its even part of the limit. */
  private double callIntervalUs(final Route route) {
    final SendPacing pacing = route.pacing();
    final double limit = pacing.hasReportedLimit() ? pacing.reportedLimit() : DEFAULT_LIMIT;
    final double callsPerSecond = route.serviceRate().averageCallsPerSecond();
    return OverloadController.SECOND_US / Math.max(callsPerSecond, limit / settings.courierCount());
  }

  /**
   * Returns when a route whose circuit is open is tried again. At any moment that is as likely as
   * the share of load that overloads a cold destination, over the age of the outage: so the trials
   * of all couriers stay near that share of the messages, however many couriers there are.
   */
  long nextTrialUs(final Route route, final long nowUs) {
    final long fromUs = Math.max(nowUs, route.pacing().retryAfterUntilUs());
    final double ageUs = Math.max(MIN_BACKOFF_US, fromUs - route.circuit().faultSinceUs());
    final double overloadShare = settings.guarantees().overloadShare(0);
    final double drawnUs = ageUs * (Math.pow(1 - random.nextDouble(), -1 / overloadShare) - 1);
    final long maxIntervalUs =
        (long) Math.max((double) minTrialIntervalUs, callIntervalUs(route) / overloadShare);
    return fromUs + (long) Math.min(drawnUs, (double) jitter(maxIntervalUs));
  }

  /** Returns an interval that is a little longer or shorter by chance. */
  long jitter(final long intervalUs) {
    return (long) (intervalUs * (1 - JITTER + 2 * JITTER * random.nextDouble()));
  }
}
