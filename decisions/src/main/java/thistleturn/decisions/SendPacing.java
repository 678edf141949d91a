package thistleturn.decisions;

import thistleturn.decisions.fleet.FairShare;

/**
 * What holds back the calls of one route in time: the rate it may be sent at, the limit that was
 * reported for it, the Retry-After it has asked for, and the backoff after a rejection.
 */
final class SendPacing {
  /** After rejections, calls go at this many times the rate served, so that capacity is found. */
  static final double RATE_GROWTH = 1.2;

  /** What the permitted rate is raised by besides, calls a second: a rate of nothing must grow. */
  private static final double RATE_INCREMENT = 0.5;

  /** Growth of the permitted rate where a long queue waits after a step without a rejection. */
  private static final double REGAIN_FACTOR = 2;

  /** Who reported a limit: the endpoint list, the destination itself, or the learned state. */
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

  /** Until when the rate known before the last outage grows slowly only. */
  private long cautiousUntilUs;

  private long lastSendUs;

  /** What the last call weighs on a cold destination, in calls. */
  private double lastCallWeight = 1;

  SendPacing(final FairShare rateShare, final int rateSharers) {
    this.rateShare = rateShare;
    this.rateSharers = rateSharers;
  }

  // ---------------------------------------------------------------- limits and rates

  /** Takes over the rate that the destination accepts from all couriers; the last report counts. */
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

  /** Returns the permitted rate, kept under the reported limit. */
  double permittedRateWithinLimit() {
    return Math.min(reportedLimit, permittedRate);
  }

  /** Returns what is shown to operators as the rate of calls allowed a second. */
  double effectiveRate() {
    return rateShare.isLimited() ? rateShare.ratePerSecond() : permittedRate;
  }

  /** Restricts the rate to a little more than was served: the last step saw rejections. */
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

  /** Raises the permitted rate faster: a long queue waits and nothing was rejected. */
  void regainRate() {
    permittedRate = REGAIN_FACTOR * permittedRate;
  }

  /** Lifts the permitted rate: the route has long been idle. */
  void liftRate() {
    permittedRate = Double.POSITIVE_INFINITY;
  }

  // ---------------------------------------------------------------- waits

  long retryAfterUntilUs() {
    return retryAfterUntilUs;
  }

  /** Heeds a Retry-After; the latest one counts. */
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

  /** Lifts what rejections have brought: they are taken for noise from now on. */
  void beginNoise(final long nowUs) {
    permittedRateBeforeNoise = permittedRate;
    backoffUntilUs = nowUs;
    permittedRate = isCautious(nowUs) ? permittedRate : Double.POSITIVE_INFINITY;
  }

  /** Returns to the rate that was permitted before rejections were taken for noise. */
  void revertToBeforeNoise() {
    permittedRate = Math.min(permittedRate, permittedRateBeforeNoise);
  }

  /** Grows the rate known before an outage slowly until a time. */
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

  /** Notes a call that has gone out whole, with its weight on a cold destination. */
  void recordCall(final double weight, final long nowUs) {
    lastCallWeight = weight;
    rateShare.recordCall(nowUs);
  }

  /** Returns when a rate a second, and this courier's share of the limit, let the next call go. */
  long nextPacedSendUs(final double ratePerSecond, final long atUs) {
    return rateShare.isLimited()
        ? rateShare.earliestCallUs(atUs)
        : lastSendUs + (long) (OverloadController.SECOND_US / ratePerSecond);
  }

  /** Returns whether the permitted rate still holds back the next call. */
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

  /** Restores the times that another process of this courier had noted. */
  void restoreTimes(
      final long restoredRetryAfterUntilUs,
      final long restoredBackoffUntilUs,
      final long restoredLastSendUs) {
    retryAfterUntilUs = restoredRetryAfterUntilUs;
    backoffUntilUs = restoredBackoffUntilUs;
    lastSendUs = restoredLastSendUs;
  }
}
