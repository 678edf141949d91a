package thistleturn.decisions;

/**
 * The states of a route's {@link CircuitBreaker}.
 *
 * <p>The order of the constants is part of the format of {@link LearnedState}, which stores their
 * ordinals.
 */
enum CircuitState {
  /** Calls go as the route's window and pacing allow. */
  CLOSED("WELL"),
  /** The route fails: only single trial calls go. */
  OPEN("OUT"),
  /** The route has answered again and is paced until it has surely warmed up. */
  RECOVERING("RAMP");

  private final String reportedName;

  CircuitState(final String reportedName) {
    this.reportedName = reportedName;
  }

  /** Returns the name under which operators see this state; it is part of the status output. */
  String reportedName() {
    return reportedName;
  }

  /** Returns the state that a stored ordinal stands for. */
  static CircuitState ofOrdinal(final int ordinal) {
    return values()[ordinal];
  }
}
