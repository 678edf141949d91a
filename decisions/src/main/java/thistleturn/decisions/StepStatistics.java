package thistleturn.decisions;

import thistleturn.decisions.model.LoadReport;

/**
 * The events of one route within the current step of a second: the input of the rule table.
 *
 * <p>A call may carry several messages. Statistics that count calls grow by each message's fraction
 * of its call.
 */
final class StepStatistics {
  private int peakCallsInFlight;
  private int rejections;
  private int deliveries;
  private double calls;
  private double failures;
  private double errors;
  private double latencyRatioSum;
  private LoadReport loadReport;

  /** Begins a new step with a given number of calls in flight. */
  void begin(final int callsInFlight) {
    peakCallsInFlight = callsInFlight;
    latencyRatioSum = 0;
    rejections = 0;
    deliveries = 0;
    calls = 0;
    failures = 0;
    errors = 0;
    loadReport = null;
  }

  /** Records the number of calls in flight now. */
  void recordCallsInFlight(final int callsInFlight) {
    peakCallsInFlight = Math.max(peakCallsInFlight, callsInFlight);
  }

  /** Resets the peak to the calls in flight now, after idle steps. */
  void resetPeak(final int callsInFlight) {
    peakCallsInFlight = callsInFlight;
  }

  /**
   * Records a delivered message.
   *
   * @param part the message's fraction of its call
   * @param latencyRatio its latency as a multiple of the usual latency
   */
  void recordDelivery(final double part, final double latencyRatio) {
    latencyRatioSum += latencyRatio;
    deliveries++;
    calls += part;
  }

  void recordRejection(final double part) {
    failures += part;
    rejections++;
  }

  void recordFailure(final double part) {
    failures += part;
  }

  void recordError(final double part) {
    errors += part;
  }

  void recordLoadReport(final LoadReport report) {
    loadReport = report;
  }

  int peakCallsInFlight() {
    return peakCallsInFlight;
  }

  int rejections() {
    return rejections;
  }

  int deliveries() {
    return deliveries;
  }

  double calls() {
    return calls;
  }

  double failures() {
    return failures;
  }

  double errors() {
    return errors;
  }

  /** Returns the mean latency ratio; only meaningful if there were deliveries. */
  double meanLatencyRatio() {
    return latencyRatioSum / deliveries;
  }

  /** Returns the last report that limits the rate of calls, or null. */
  LoadReport limitingReport() {
    return loadReport != null && loadReport.callsPerSecond() > 0 ? loadReport : null;
  }
}
