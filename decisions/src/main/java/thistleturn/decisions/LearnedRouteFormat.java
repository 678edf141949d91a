package thistleturn.decisions;

import java.util.Arrays;

/**
 * The positions of the figures and moments (times) of a route in {@link LearnedState}; part of its
 * format.
 */
final class LearnedRouteFormat {
  // Positions of the figures.
  static final int WINDOW = 0;
  private static final int STEPS = 1;
  private static final int LATENCY_SAMPLES = 2;
  private static final int MESSAGE_RATE = 3;
  static final int CALL_RATE = 4;
  private static final int BASELINE_LATENCY_RATIO = 5;
  private static final int LATENCY_FACTOR = 6;
  private static final int TIMEOUT_MULTIPLIER = 7;
  private static final int LAST_CALL_WEIGHT = 8;
  private static final int REPORTED_LIMIT = 9;
  static final int PERMITTED_RATE = 10;
  private static final int DEGRADED = 11;
  static final int CIRCUIT_STATE = 12;
  static final int FAULT_RUN = 13;
  private static final int FAILURE_RATIO = 14;
  static final int RECOVERY_INTERVAL = 15;
  static final int STEP_REJECTIONS = 16;
  private static final int REJECTION_CLASSIFIER = 17;

  // Positions of the moments.
  private static final int FAULT_SINCE = 0;
  private static final int RETRY_AFTER_UNTIL = 1;
  static final int BACKOFF_UNTIL = 2;
  private static final int NEXT_TRIAL = 3;
  static final int RECOVERY_SINCE = 4;
  private static final int LAST_SEND = 5;
  static final int LAST_STEP = 6;

  /** Number of moments. */
  private static final int MOMENTS = 7;

  private LearnedRouteFormat() {}

  /** Returns the figures of a route; those of its rejection classifier come last. */
  static double[] figures(final Route route) {
    final double[] classifier = route.rejections().classifier().learnedValues();
    final double[] figures = new double[REJECTION_CLASSIFIER + classifier.length];
    figures[WINDOW] = route.window().calls();
    figures[STEPS] = route.serviceRate().steps();
    figures[LATENCY_SAMPLES] = route.latency().factorSamples();
    figures[MESSAGE_RATE] = route.serviceRate().messagesPerSecond();
    figures[CALL_RATE] = route.callsPerSecond();
    figures[BASELINE_LATENCY_RATIO] = route.latency().baselineRatio();
    figures[LATENCY_FACTOR] = route.latency().factor();
    figures[TIMEOUT_MULTIPLIER] = route.latency().timeoutMultiplier();
    figures[LAST_CALL_WEIGHT] = route.pacing().lastCallWeight();
    figures[REPORTED_LIMIT] = route.pacing().reportedLimit();
    figures[PERMITTED_RATE] = route.pacing().permittedRate();
    figures[DEGRADED] = route.isDegraded() ? 1 : 0;
    figures[CIRCUIT_STATE] = route.circuit().state().ordinal();
    figures[FAULT_RUN] = route.circuit().faultRun();
    figures[FAILURE_RATIO] = route.circuit().failureRatio();
    figures[RECOVERY_INTERVAL] = route.circuit().recoveryIntervalUs();
    figures[STEP_REJECTIONS] = route.step().rejections();
    System.arraycopy(classifier, 0, figures, REJECTION_CLASSIFIER, classifier.length);
    return figures;
  }

  static long[] moments(final Route route, final long lastStepUs) {
    final long[] moments = new long[MOMENTS];
    moments[FAULT_SINCE] = route.circuit().faultSinceUs();
    moments[RETRY_AFTER_UNTIL] = route.pacing().retryAfterUntilUs();
    moments[BACKOFF_UNTIL] = route.pacing().backoffUntilUs();
    moments[NEXT_TRIAL] = route.circuit().nextTrialUs();
    moments[RECOVERY_SINCE] = route.circuit().recoverySinceUs();
    moments[LAST_SEND] = route.pacing().lastSendUs();
    moments[LAST_STEP] = lastStepUs;
    return moments;
  }

  /** Restores the learned figures and moments of a route. */
  static void restore(
      final Route route, final double[] figures, final long[] moments, final long nowUs) {
    route.window().restore(figures[WINDOW]);
    route.serviceRate().restore(restoredSteps(figures), figures[MESSAGE_RATE], figures[CALL_RATE]);
    route
        .latency()
        .restore(
            (int) figures[LATENCY_SAMPLES],
            figures[BASELINE_LATENCY_RATIO],
            figures[LATENCY_FACTOR],
            figures[TIMEOUT_MULTIPLIER]);
    route
        .pacing()
        .restoreRates(figures[LAST_CALL_WEIGHT], figures[REPORTED_LIMIT], figures[PERMITTED_RATE]);
    route.setDegraded(figures[DEGRADED] > 0);
    route
        .circuit()
        .restore(
            CircuitState.ofOrdinal((int) figures[CIRCUIT_STATE]),
            figures[FAULT_RUN],
            figures[FAILURE_RATIO],
            figures[RECOVERY_INTERVAL]);
    final double[] classifier = Arrays.copyOfRange(figures, REJECTION_CLASSIFIER, figures.length);
    route.rejections().classifier().restore(classifier, nowUs);
    route
        .circuit()
        .restoreTimes(moments[FAULT_SINCE], moments[NEXT_TRIAL], moments[RECOVERY_SINCE]);
    route
        .pacing()
        .restoreTimes(moments[RETRY_AFTER_UNTIL], moments[BACKOFF_UNTIL], moments[LAST_SEND]);
  }

  /** Returns the number of steps behind the rates; a known rate rests on at least one step. */
  private static int restoredSteps(final double[] figures) {
    final int steps = (int) figures[STEPS];
    return figures[CALL_RATE] > 0 ? Math.max(1, steps) : steps;
  }
}
