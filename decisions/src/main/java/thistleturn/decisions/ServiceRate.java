package thistleturn.decisions;

/** Slow averages of how many messages and calls a route serves a second. */
final class ServiceRate {
  /** Least weight of a step in the averages: a memory of about ten steps. */
  private static final double STEP_WEIGHT = 0.1;

  private int steps;
  private double messagesPerSecond;
  private double averageCallsPerSecond;

  /** Calls served before the first step: until then, all that is known of the rate. */
  private int callsBeforeFirstStep;

  /** Takes in a step of a second. */
  void recordStep(final int deliveries, final double calls) {
    final double weight = Math.max(STEP_WEIGHT, 1.0 / ++steps);
    messagesPerSecond += weight * (deliveries - messagesPerSecond);
    averageCallsPerSecond += weight * (calls - averageCallsPerSecond);
  }

  /** Takes in a step in which nothing was served. */
  void recordIdleStep() {
    recordStep(0, 0);
  }

  /** Takes in so many idle steps at once that nothing is left of the averages. */
  void recordLongIdleness(final long idleSteps) {
    steps = (int) (steps + idleSteps);
    messagesPerSecond = 0;
    averageCallsPerSecond = 0;
  }

  /** Counts a served call that the first step will be the first to average. */
  void recordCallBeforeFirstStep() {
    if (steps == 0) {
      callsBeforeFirstStep++;
    }
  }

  double messagesPerSecond() {
    return messagesPerSecond;
  }

  double averageCallsPerSecond() {
    return averageCallsPerSecond;
  }

  /**
   * Returns the calls served a second as far as they are known for certain.
   *
   * @param callsThisStep what the current step has served so far
   */
  double knownCallsPerSecond(final double callsThisStep) {
    return Math.max(
        averageCallsPerSecond, Math.max(callsThisStep, steps == 0 ? callsBeforeFirstStep : 0));
  }

  int steps() {
    return steps;
  }

  /** Restores what another process of this courier had learned. */
  void restore(final int restoredSteps, final double messageRate, final double callRate) {
    steps = restoredSteps;
    messagesPerSecond = messageRate;
    averageCallsPerSecond = callRate;
  }
}
