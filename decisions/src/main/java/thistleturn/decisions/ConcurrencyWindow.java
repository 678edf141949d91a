package thistleturn.decisions;

/**
 * The concurrency window of one route: the number of calls that it may have in flight, learned from
 * latency and rejections (section V of the paper).
 */
final class ConcurrencyWindow {
  /** The smallest window, in calls: without a call in flight a route cannot learn. */
  static final double MIN = 1;

  /** The window of a new route, in calls: one slow response must not block it. */
  static final double INITIAL = 2;

  /** The window of a new route in a large fleet, in calls: messages arrive there in bursts. */
  private static final double INITIAL_IN_LARGE_FLEET = 4;

  private double calls;

  /** The window before rejections were classified as noise. */
  private double callsBeforeNoise;

  ConcurrencyWindow(final boolean largeFleet) {
    calls = largeFleet ? INITIAL_IN_LARGE_FLEET : INITIAL;
  }

  double calls() {
    return calls;
  }

  /**
   * Returns the calls that may be in flight: the window, bounded by both arguments; at least one.
   */
  int limit(final double ceiling, final int maxLimit) {
    return (int) Math.max(1, Math.min(Math.floor(Math.min(calls, ceiling)), maxLimit));
  }

  /** Returns whether a number of calls in flight uses enough of the window to let it grow. */
  boolean isUsed(final int callsInFlight, final double minUtilization) {
    return callsInFlight >= minUtilization * Math.floor(calls);
  }

  /** Returns whether at most one more call fits into the window. */
  boolean isNearlyFull(final int callsInFlight) {
    return callsInFlight + 1 >= Math.floor(calls);
  }

  /** Changes the window by a fraction of itself, within its bounds. */
  void scale(final double change, final double max) {
    calls = PriorityValue.clamp(calls * (1 + change), MIN, max);
  }

  /** Grows the window by a number of calls, up to a bound. */
  void grow(final double by, final double max) {
    calls = Math.min(calls + by, max);
  }

  /** Halves the window, but not below that of a new route; a smaller window stays. */
  void halve() {
    calls = Math.max(Math.min(calls, INITIAL), calls / 2);
  }

  /** Shrinks the window to its minimum when the circuit opens. */
  void collapse() {
    calls = MIN;
  }

  /** Raises the window to that of a new route, if it is smaller. */
  void raiseToInitial() {
    calls = Math.max(calls, INITIAL);
  }

  /** Saves the window when rejections begin to be classified as noise. */
  void markBeforeNoise() {
    callsBeforeNoise = calls;
  }

  /**
   * Restores the window saved before rejections were classified as noise, if it has grown since.
   */
  void revertToBeforeNoise() {
    calls = Math.min(calls, callsBeforeNoise);
  }

  /** Restores the window learned by another process of this courier. */
  void restore(final double restoredCalls) {
    calls = restoredCalls;
  }
}
