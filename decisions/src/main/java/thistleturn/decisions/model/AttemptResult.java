package thistleturn.decisions.model;

/**
 * The result of an attempt. {@code REFUSED}: rejected by the endpoint. {@code STALE}: reset on a
 * reused connection that was already closed before the call; it may still have been executed.
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

  /** Returns whether the message certainly had no effect, so that a retry is safe. */
  public boolean neverExecuted() {
    return this == REFUSED || this == NO_CONNECTION || this == NOT_SENT;
  }

  /** Returns whether the destination has answered, so that the attempt no longer runs. */
  public boolean hasAnswer() {
    return this == DELIVERED || this == ERROR;
  }
}
