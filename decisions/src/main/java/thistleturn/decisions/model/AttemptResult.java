package thistleturn.decisions.model;

/**
 * How an attempt ended. {@code REFUSED}: rejected by the endpoint. {@code STALE}: reset over a
 * reused connection that was dead before the call; it may have executed all the same.
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

  /** Returns whether the message certainly had no effect, so that another attempt is harmless. */
  public boolean neverExecuted() {
    return this == REFUSED || this == NO_CONNECTION || this == NOT_SENT;
  }

  /** Returns whether the destination has answered, so that the attempt no longer runs. */
  public boolean hasAnswer() {
    return this == DELIVERED || this == ERROR;
  }
}
