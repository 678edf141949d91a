package thistleturn.decisions;

/**
 * The states of a route's {@link CircuitBreaker}.
 *
 * <p>The order of the constants is part of the format of {@link LearnedState}, which stores their
 * ordinals.
 */
enum CircuitState {
  /** Calls are sent as the route's window and pacing allow. */
  CLOSED("WELL"),
  /** The route fails: only single trial calls are sent. */
  OPEN("OUT"),
  /** The route answers again; its calls are paced until the warm-up time has passed. */
  RECOVERING("RAMP");

  private final String reportedName;

  CircuitState(final String reportedName) {
    this.reportedName = reportedName;
  }

  /** Returns the name of this state in the status output. */
  String reportedName() {
    return reportedName;
  }

  /** Returns the state for a stored ordinal. */
  static CircuitState ofOrdinal(final int ordinal) {
    return values()[ordinal];
  }
}
