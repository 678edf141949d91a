package thistleturn.decisions;

/** Slow averages of the number of messages and calls that a route serves a second. */
final class ServiceRate {
  /** Minimum weight of a step in the averages: a memory of about ten steps. */
  private static final double STEP_WEIGHT = 0.1;

  private int steps;
  private double messagesPerSecond;
  private double averageCallsPerSecond;

  /** Calls served before the first step: until then, the only evidence of the rate. */
  private int callsBeforeFirstStep;

  /** Records a step of one second. */
  void recordStep(final int deliveries, final double calls) {
    final double weight = Math.max(STEP_WEIGHT, 1.0 / ++steps);
    messagesPerSecond += weight * (deliveries - messagesPerSecond);
    averageCallsPerSecond += weight * (calls - averageCallsPerSecond);
  }

  /** Records a step in which nothing was served. */
  void recordIdleStep() {
    recordStep(0, 0);
  }

  /** Records so many idle steps at once that the averages drop to zero. */
  void recordLongIdleness(final long idleSteps) {
    steps = (int) (steps + idleSteps);
    messagesPerSecond = 0;
    averageCallsPerSecond = 0;
  }

  /** Counts a served call if no step has been taken yet. */
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
   * Returns the number of calls served a second that is known for certain.
   *
   * @param callsThisStep the calls served in the current step so far
   */
  double knownCallsPerSecond(final double callsThisStep) {
    return Math.max(
        averageCallsPerSecond, Math.max(callsThisStep, steps == 0 ? callsBeforeFirstStep : 0));
  }

  int steps() {
    return steps;
  }

  /** Restores the averages that another process of this courier had learned. */
  void restore(final int restoredSteps, final double messageRate, final double callRate) {
    steps = restoredSteps;
    messagesPerSecond = messageRate;
    averageCallsPerSecond = callRate;
  }
}
