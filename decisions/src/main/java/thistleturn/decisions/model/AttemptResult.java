package thistleturn.decisions.model;

/**
 * How an attempt ended. {@code STALE}: reset, over a kept connection that was dead before; it may
 * have run all the same.
 */
public enum AttemptResult {
  DELIVERED,
  ERROR,
  REFUSED,
  TIMED_OUT,
  NO_CONNECTION,
  RESET,
  CANCELLED,
  NOT_SENT,
  STALE;

  /** True if the message certainly had no effect, so that another attempt is harmless. */
  public boolean neverExecuted() {
    return this == REFUSED || this == NO_CONNECTION || this == NOT_SENT;
  }

  /** True if the destination answered, so that the attempt no longer runs. */
  public boolean hasAnswer() {
    return this == DELIVERED || this == ERROR;
  }
}
