package thistleturn.decisions;

import thistleturn.decisions.rejections.RejectionClassifier.Cause;

/**
 * The paper's window on a lane's calls in flight (section V): once a second Table I moves it from
 * latency and refusals, within the design's shares of the slots. Pure; it owns no state but each
 * lane's own.
 */
final class ConcurrencyWindow {
  /** Floor of a window, calls: a lane must always be able to learn. */
  static final double MIN_WINDOW = 1;

  /** A new lane's window, calls: one slow answer may not block it. */
  static final double INITIAL_WINDOW = 2;

  /**
   * After refusals, sends go at so many times the rate served and so many a second more: room may
   * come.
   */
  static final double RATE_GROWTH = 1.2;

  private static final double RATE_INCREMENT = 0.5;

  /** Least weight of a new sample, or of a step, in a slow average: about ten of memory. */
  static final double SAMPLE_WEIGHT = 0.1;

  /** Shares of the slots that one lane may hold, healthy and sick: the design's. */
  private static final double HEALTHY_CAPACITY_SHARE = 0.75;

  private static final double DEGRADED_CAPACITY_SHARE = 0.5;

  /** A share, nearer High than Medium: an input above it makes a lane sick for a step. */
  private static final double DEGRADED_INPUT = 0.75;

  /** Samples at the average, mixed into a step's mean latency: two or three answers say little. */
  private static final double LATENCY_PRIOR_SAMPLES = 2;

  /** Share of a window that must be used for it to grow: unused room has proved nothing. */
  private static final double MIN_UTILIZATION_TO_GROW = 0.5;

  /**
   * Where a long line waits after a second without a refusal, sends may go at so many times the
   * rate.
   */
  private static final double REGAIN_FACTOR = 2;

  /** Refusals under this share of a step's calls would be as many with that spacing. */
  private static final double TOLERATED_REJECTION_RATIO = 0.05;

  private final ControllerState state;

  ConcurrencyWindow(final ControllerState state) {
    this.state = state;
  }

  /**
   * Calls that a lane may have in flight now: its window, within its share of the slots and what
   * others say.
   */
  int limit(final Route lane) {
    final double window =
        Math.min(lane.window, lane.destination.directives.concurrencyLimit(state.nowUs));
    return (int) Math.max(1, Math.min(Math.floor(window), maxLimit(lane)));
  }

  /** Calls that a lane may have in flight at all: its share of the slots. */
  int maxLimit(final Route lane) {
    final double share =
        lane.circuitState == CircuitState.WELL && !lane.degraded
            ? HEALTHY_CAPACITY_SHARE
            : DEGRADED_CAPACITY_SHARE;
    return (int) Math.max(1, Math.floor(share * state.concurrencyLimit));
  }

  /** What a window can grow to, calls. */
  private double maxLimit() {
    return Math.max(1, Math.floor(HEALTHY_CAPACITY_SHARE * state.concurrencyLimit));
  }

  /** A call served proves room: a window that held up a line grows by it (RFC 7661). */
  void growOnSuccess(final Route lane, final double calls) {
    if (lane.circuitState == CircuitState.WELL
        && lane.destination.waitingMessages > 0
        && lane.callsInFlight + 1 >= Math.floor(lane.window)) {
      lane.window = Math.min(lane.window + calls, maxLimit());
    }
  }

  /** Load that shows in a lane's first seconds takes half of what it grew to. */
  void halve(final Route lane) {
    lane.window = Math.max(Math.min(lane.window, INITIAL_WINDOW), lane.window / 2);
  }

  /** Moves a lane's window by Table I. */
  void step(final Route lane) {
    lane.rateShare.advance(lane.destination.waitingMessages, state.nowUs);
    final double bad = lane.stepFailures + lane.unresponsiveCalls;
    final double read = lane.stepCalls + lane.stepErrors + bad;
    if (lane.circuitState == CircuitState.WELL) {
      final double weight = Math.max(SAMPLE_WEIGHT, 1.0 / ++lane.stepCount);
      lane.messageRate += weight * (lane.stepDeliveries - lane.messageRate);
      lane.callRate += weight * (lane.stepCalls - lane.callRate);
    }
    if (read > 0) {
      double latency = 0;
      if (lane.stepDeliveries > 0) {
        final double mean = lane.stepLatencyRatioSum / lane.stepDeliveries;
        final double trust = lane.stepDeliveries / (lane.stepDeliveries + LATENCY_PRIOR_SAMPLES);
        latency = PriorityValue.clamp(trust * (mean / lane.baselineLatencyRatio - 1), 0, 1);
        lane.baselineLatencyRatio += SAMPLE_WEIGHT * trust * (mean - lane.baselineLatencyRatio);
      }
      double refusal = bad / read;
      if (lane.stepLoadReport != null && lane.stepLoadReport.callsPerSecond() > 0) {
        refusal = Math.max(refusal, 1 - lane.stepLoadReport.remainingShare());
      }
      final double change =
          Math.max(bad == 0 ? 0 : -1, FuzzyRuleTable.windowChange(latency, refusal));
      if (change < 0 || lane.stepPeakCalls >= MIN_UTILIZATION_TO_GROW * Math.floor(lane.window)) {
        lane.window = PriorityValue.clamp(lane.window * (1 + change), MIN_WINDOW, maxLimit());
      }
      lane.degraded = latency > DEGRADED_INPUT || refusal > DEGRADED_INPUT;
    }
    final double refusing = RATE_INCREMENT + RATE_GROWTH * Math.max(lane.stepCalls, lane.callRate);
    final boolean heeded =
        lane.stepRejections > (state.classifiesFaults ? TOLERATED_REJECTION_RATIO * read : 0)
            && lane.rejectionClassifier.cause(state.nowUs) != Cause.NOISE;
    final boolean regains = state.classifiesFaults && lane.mayRegainRate(state.nowUs);
    lane.permittedRate =
        heeded ? refusing : (regains ? REGAIN_FACTOR : RATE_GROWTH) * lane.permittedRate;
    lane.beginStep();
  }
}
