package thistleturn.decisions;

import thistleturn.decisions.model.LoadReport;

/**
 * Limits the calls in flight of each route. Once a second it adjusts the route's window to latency
 * and rejections by the rule table of the paper (section V).
 */
final class ConcurrencyPolicy {
  /** Share of the concurrency limit that a healthy route may use. */
  private static final double HEALTHY_CAPACITY_SHARE = 0.75;

  /** Share of the concurrency limit that a degraded route may use. */
  private static final double DEGRADED_CAPACITY_SHARE = 0.5;

  /**
   * A route is degraded if an input of the rule table exceeds this value, which is closer to High
   * than to Medium.
   */
  private static final double DEGRADED_INPUT = 0.75;

  /**
   * Share of a window that must be in use for it to grow: unused calls give no evidence of
   * capacity.
   */
  private static final double MIN_UTILIZATION_TO_GROW = 0.5;

  /**
   * Ratio of a step's calls up to which rejections do not restrict the rate: a restricted rate
   * would not reduce them.
   */
  private static final double TOLERATED_REJECTION_RATIO = 0.05;

  private final ControllerState state;

  ConcurrencyPolicy(final ControllerState state) {
    this.state = state;
  }

  /**
   * Returns the concurrency limit of a route now: its window, or less if a directive or its share
   * of the capacity requires it.
   */
  int limit(final Route route) {
    final double ceiling = route.destination().directives().concurrencyLimit(state.nowUs);
    return route.window().limit(ceiling, maxLimit(route));
  }

  /** Returns the upper bound of a route's concurrency limit: its share of the capacity. */
  int maxLimit(final Route route) {
    final boolean healthy = route.circuit().isClosed() && !route.isDegraded();
    final double share = healthy ? HEALTHY_CAPACITY_SHARE : DEGRADED_CAPACITY_SHARE;
    return (int) Math.max(1, Math.floor(share * state.concurrencyLimit));
  }

  /** Returns the largest size of a window, in calls. */
  private double maxWindow() {
    return Math.max(1, Math.floor(HEALTHY_CAPACITY_SHARE * state.concurrencyLimit));
  }

  /** Grows a window that limits a queue: a served call is evidence of capacity (RFC 7661). */
  void growOnSuccess(final Route route, final double calls) {
    if (route.circuit().isClosed()
        && route.destination().waitingMessages() > 0
        && route.window().isNearlyFull(route.callsInFlight())) {
      route.window().grow(calls, maxWindow());
    }
  }

  /** Ends the step of a route: updates its averages, its window and its permitted rate. */
  void step(final Route route) {
    final StepStatistics step = route.step();
    route.pacing().rateShare().advance(route.destination().waitingMessages(), state.nowUs);
    final double failures = step.failures() + route.unresponsiveCalls();
    final double observedCalls = step.calls() + step.errors() + failures;
    if (route.circuit().isClosed()) {
      route.serviceRate().recordStep(step.deliveries(), step.calls());
    }
    if (observedCalls > 0) {
      moveWindow(route, failures, observedCalls);
    }
    movePermittedRate(route, observedCalls);
    step.begin(route.callsInFlight());
  }

  private void moveWindow(final Route route, final double failures, final double observedCalls) {
    final double latency = latencyInput(route);
    final double rejection = rejectionInput(route.step(), failures / observedCalls);
    final double change =
        Math.max(failures == 0 ? 0 : -1, FuzzyRuleTable.windowChange(latency, rejection));
    final ConcurrencyWindow window = route.window();
    if (change < 0 || window.isUsed(route.step().peakCallsInFlight(), MIN_UTILIZATION_TO_GROW)) {
      window.scale(change, maxWindow());
    }
    route.setDegraded(latency > DEGRADED_INPUT || rejection > DEGRADED_INPUT);
  }

  /** Returns how far latency lies above the baseline of the route, from 0 to 1. */
  private static double latencyInput(final Route route) {
    final StepStatistics step = route.step();
    return step.deliveries() == 0
        ? 0
        : route.latency().recordStep(step.meanLatencyRatio(), step.deliveries());
  }

  /** Returns the ratio of failures or, if larger, the used share of a reported limit. */
  private static double rejectionInput(final StepStatistics step, final double failureRatio) {
    final LoadReport report = step.limitingReport();
    return report == null ? failureRatio : Math.max(failureRatio, 1 - report.remainingShare());
  }

  private void movePermittedRate(final Route route, final double observedCalls) {
    final StepStatistics step = route.step();
    final double tolerated = state.classifiesFaults ? TOLERATED_REJECTION_RATIO * observedCalls : 0;
    if (step.rejections() > tolerated && !route.rejections().isNoise(state.nowUs)) {
      final double served = Math.max(step.calls(), route.serviceRate().averageCallsPerSecond());
      route.pacing().restrictRate(served);
    } else if (state.classifiesFaults && route.mayRegainRate(state.nowUs)) {
      route.pacing().regainRate();
    } else {
      route.pacing().growRate();
    }
  }
}
