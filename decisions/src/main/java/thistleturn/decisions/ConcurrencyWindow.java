package thistleturn.decisions;

/**
 * The window of one route: how many calls it may have in flight, as learned from latency and
 * rejections (section V of the paper).
 */
final class ConcurrencyWindow {
  /** The smallest window, calls: a route must always be able to learn. */
  static final double MIN = 1;

  /** The window of a new route, calls: one slow answer must not block it. */
  static final double INITIAL = 2;

  /** The window of a new route in a large fleet, calls, where arrivals come in clumps. */
  private static final double INITIAL_IN_LARGE_FLEET = 4;

  private double calls;
  private double callsBeforeNoise;

  ConcurrencyWindow(final boolean largeFleet) {
    calls = largeFleet ? INITIAL_IN_LARGE_FLEET : INITIAL;
  }

  double calls() {
    return calls;
  }

  /** Returns the calls that may be in flight under two further bounds; at least one. */
  int limit(final double ceiling, final int maxLimit) {
    return (int) Math.max(1, Math.min(Math.floor(Math.min(calls, ceiling)), maxLimit));
  }

  /** Returns whether so many calls in flight use enough of the window to let it grow. */
  boolean isUsed(final int callsInFlight, final double minUtilization) {
    return callsInFlight >= minUtilization * Math.floor(calls);
  }

  /** Returns whether so many calls in flight leave no room for another one after the next. */
  boolean isNearlyFull(final int callsInFlight) {
    return callsInFlight + 1 >= Math.floor(calls);
  }

  /** Moves the window by a share of itself, within its bounds. */
  void scale(final double change, final double max) {
    calls = PriorityValue.clamp(calls * (1 + change), MIN, max);
  }

  /** Grows the window by so many calls, up to a bound. */
  void grow(final double by, final double max) {
    calls = Math.min(calls + by, max);
  }

  /** Takes back half of what the window has grown to. */
  void halve() {
    calls = Math.max(Math.min(calls, INITIAL), calls / 2);
  }

  /** Shrinks the window as far as it goes: the circuit has opened. */
  void collapse() {
    calls = MIN;
  }

  /** Raises the window to that of a new route, if it is smaller. */
  void raiseToInitial() {
    calls = Math.max(calls, INITIAL);
  }

  /** Remembers the window: from now on rejections are taken for noise. */
  void markBeforeNoise() {
    callsBeforeNoise = calls;
  }

  /** Returns to the window before rejections were taken for noise, if it has grown since. */
  void revertToBeforeNoise() {
    calls = Math.min(calls, callsBeforeNoise);
  }

  /** Restores the window that another process of this courier had learned. */
  void restore(final double restoredCalls) {
    calls = restoredCalls;
  }
}
