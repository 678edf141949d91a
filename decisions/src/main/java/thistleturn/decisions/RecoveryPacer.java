package thistleturn.decisions;

import java.util.Random;
import thistleturn.decisions.model.DeliverySettings;

/**
 * How far apart calls are to a lane in trouble, and when one that is out is tried again: by its
 * messages, or this courier's even part of its limit, and by how long the trouble has lasted, drawn
 * so that couriers do not keep step.
 */
final class RecoveryPacer {
  /** Least pause of a lane after a refusal, us: limits are counted over spans of about a second. */
  static final long MIN_BACKOFF_US = OverloadController.SECOND_US / 2;

  /** Messages a second: a limit where none is told. A default. */
  private static final double DEFAULT_LIMIT = 1;

  /** Trials of a lane that is out are so far apart, us, however many messages there are. */
  private static final long MIN_TRIAL_INTERVAL_US = OverloadController.SECOND_US / 10;

  /** Share by which gaps are drawn longer or shorter. */
  private static final double JITTER = 0.2;

  private final DeliverySettings settings;
  private final Random random;

  /** {@code random} is the courier's only source of chance, which it shares with all that draws. */
  RecoveryPacer(final DeliverySettings settings, final Random random) {
    this.settings = settings;
    this.random = random;
  }

  /**
   * A lane in trouble looks again after as long as its trouble has lasted, but no longer than its
   * messages (or this courier's even part of the limit) are apart. So all couriers, however many,
   * come no more often than messages do; it hurts a message whose wait outlasts the trouble.
   */
  long backoffUs(final Route lane, final long atUs) {
    return (long)
        Math.min((double) Math.max(MIN_BACKOFF_US, atUs - lane.faultSinceUs), callIntervalUs(lane));
  }

  /** How far apart this courier's calls to a lane are, or calls at its even part of the limit. */
  double callIntervalUs(final Route lane) {
    final double limit = lane.reportedLimit > 0 ? lane.reportedLimit : DEFAULT_LIMIT;
    return OverloadController.SECOND_US / Math.max(lane.callRate, limit / settings.courierCount());
  }

  /**
   * When a lane that is out is tried again: at any moment as likely as the share that tips a cold
   * one, over the outage's age. So the trials of all couriers stay near that share of the messages,
   * however many.
   */
  long nextTrialUs(final Route lane, final long nowUs, final boolean learns) {
    final long fromUs = Math.max(nowUs, lane.retryAfterUntilUs);
    final double ageUs = Math.max(MIN_BACKOFF_US, fromUs - lane.faultSinceUs);
    final double tips = settings.guarantees().overloadShare(0);
    final double gapUs = ageUs * (Math.pow(1 - random.nextDouble(), -1 / tips) - 1);
    return fromUs
        + (long)
            Math.min(
                gapUs,
                (double)
                    jitter(
                        (long)
                            Math.max(
                                learns ? (double) MIN_TRIAL_INTERVAL_US : 0,
                                callIntervalUs(lane) / tips)));
  }

  /** A gap, a little longer or shorter by chance. */
  long jitter(final long us) {
    return (long) (us * (1 - JITTER + 2 * JITTER * random.nextDouble()));
  }
}
