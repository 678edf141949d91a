package thistleturn.decisions;

import thistleturn.decisions.fleet.FairShare;

/**
 * What delays the calls of one route: its permitted rate, the limit that was reported for it, the
 * Retry-After that it sent, and the backoff after a rejection.
 */
final class SendPacing {
  /**
   * After rejections, the permitted rate is this multiple of the rate served, so that further
   * capacity is found.
   */
  static final double RATE_GROWTH = 1.2;

  /** Added to that rate, calls a second: a rate of zero must be able to grow. */
  private static final double RATE_INCREMENT = 0.5;

  /** Growth of the permitted rate while a long queue waits, after a step without a rejection. */
  private static final double REGAIN_FACTOR = 2;

  /**
   * Sources of a reported limit: the endpoint list, the destination itself, or the learned state.
   */
  static final String SOURCE_ENDPOINT_LIST = "list";

  static final String SOURCE_DESTINATION = "partner";
  static final String SOURCE_LEARNED_STATE = "memory";

  private final FairShare rateShare;

  /** Couriers that share a reported limit evenly; 0 if limits are not shared. */
  private final int rateSharers;

  private double permittedRate = Double.POSITIVE_INFINITY;
  private double permittedRateBeforeNoise;
  private double reportedLimit;
  private String limitSource = "";
  private long retryAfterUntilUs;
  private long backoffUntilUs;

  /** Until when the rate known before the last outage grows only slowly. */
  private long cautiousUntilUs;

  private long lastSendUs;

  /** The weight of the last call on a cold destination, in calls. */
  private double lastCallWeight = 1;

  SendPacing(final FairShare rateShare, final int rateSharers) {
    this.rateShare = rateShare;
    this.rateSharers = rateSharers;
  }

  // ---------------------------------------------------------------- limits and rates

  /**
   * Sets the rate that the destination accepts from all couriers together; the last report applies.
   */
  void setReportedLimit(final double ratePerSecond, final String source, final long nowUs) {
    reportedLimit = ratePerSecond;
    limitSource = source;
    rateShare.setEvenRate(rateSharers == 0 ? 0 : reportedLimit / rateSharers, nowUs);
  }

  boolean hasReportedLimit() {
    return reportedLimit > 0;
  }

  double reportedLimit() {
    return reportedLimit;
  }

  String limitSource() {
    return limitSource;
  }

  FairShare rateShare() {
    return rateShare;
  }

  double permittedRate() {
    return permittedRate;
  }

  /** Returns the permitted rate, at most the reported limit. */
  double permittedRateWithinLimit() {
    return Math.min(reportedLimit, permittedRate);
  }

  /** Returns the permitted rate of calls a second that is shown to operators. */
  double effectiveRate() {
    return rateShare.isLimited() ? rateShare.ratePerSecond() : permittedRate;
  }

  /** Restricts the rate to a little more than was served, after a step with rejections. */
  void restrictRate(final double servedCalls) {
    permittedRate = RATE_INCREMENT + RATE_GROWTH * servedCalls;
  }

  /** Restricts the rate to a little more than was served before an outage. */
  void restrictRateAfterOutage(final double callsPerSecond) {
    permittedRate = RATE_GROWTH * Math.max(1, callsPerSecond);
  }

  /** Raises the permitted rate by the usual growth of a step. */
  void growRate() {
    permittedRate = RATE_GROWTH * permittedRate;
  }

  /** Raises the permitted rate faster: a long queue waits and the step had no rejection. */
  void regainRate() {
    permittedRate = REGAIN_FACTOR * permittedRate;
  }

  /** Removes the bound of the permitted rate, after the route has long been idle. */
  void liftRate() {
    permittedRate = Double.POSITIVE_INFINITY;
  }

  // ---------------------------------------------------------------- waits

  long retryAfterUntilUs() {
    return retryAfterUntilUs;
  }

  /** Applies a Retry-After; of several, the one that ends last applies. */
  void holdUntil(final long untilUs) {
    retryAfterUntilUs = Math.max(retryAfterUntilUs, untilUs);
  }

  long backoffUntilUs() {
    return backoffUntilUs;
  }

  void backOffUntil(final long untilUs) {
    backoffUntilUs = untilUs;
  }

  void endBackoff(final long nowUs) {
    backoffUntilUs = nowUs;
  }

  // ---------------------------------------------------------------- noise and outages

  /** Lifts the restrictions that rejections have caused: they are treated as noise from now on. */
  void beginNoise(final long nowUs) {
    permittedRateBeforeNoise = permittedRate;
    backoffUntilUs = nowUs;
    permittedRate = isCautious(nowUs) ? permittedRate : Double.POSITIVE_INFINITY;
  }

  /** Returns to the rate that was permitted before rejections were treated as noise. */
  void revertToBeforeNoise() {
    permittedRate = Math.min(permittedRate, permittedRateBeforeNoise);
  }

  /** Lets the rate known before an outage grow only slowly until a given time. */
  void stayCautiousUntil(final long untilUs) {
    cautiousUntilUs = untilUs;
  }

  boolean isCautious(final long nowUs) {
    return nowUs < cautiousUntilUs;
  }

  // ---------------------------------------------------------------- calls sent

  long lastSendUs() {
    return lastSendUs;
  }

  void recordSend(final long nowUs) {
    lastSendUs = nowUs;
  }

  double lastCallWeight() {
    return lastCallWeight;
  }

  /**
   * Records a call that was sent with all of its messages, and its weight on a cold destination.
   */
  void recordCall(final double weight, final long nowUs) {
    lastCallWeight = weight;
    rateShare.recordCall(nowUs);
  }

  /**
   * Returns when the next call may be sent by this courier's rate share or, if it has none, by a
   * given rate.
   */
  long nextPacedSendUs(final double ratePerSecond, final long atUs) {
    return rateShare.isLimited()
        ? rateShare.earliestCallUs(atUs)
        : lastSendUs + (long) (OverloadController.SECOND_US / ratePerSecond);
  }

  /** Returns whether the permitted rate still delays the next call. */
  boolean isSpaced(final long nowUs) {
    return lastSendUs + (long) (OverloadController.SECOND_US / permittedRate) > nowUs;
  }

  // ---------------------------------------------------------------- learned state

  /** Restores the rates that another process of this courier had learned. */
  void restoreRates(
      final double callWeight, final double restoredLimit, final double restoredPermittedRate) {
    lastCallWeight = callWeight;
    reportedLimit = restoredLimit;
    limitSource = SOURCE_LEARNED_STATE;
    permittedRate = restoredPermittedRate;
  }

  /** Restores the times that another process of this courier had recorded. */
  void restoreTimes(
      final long restoredRetryAfterUntilUs,
      final long restoredBackoffUntilUs,
      final long restoredLastSendUs) {
    retryAfterUntilUs = restoredRetryAfterUntilUs;
    backoffUntilUs = restoredBackoffUntilUs;
    lastSendUs = restoredLastSendUs;
  }
}
