package thistleturn.decisions.retries;

/** What the time and the limits that are left for a message allow. */
public enum TimeLeft {
  /** Another attempt: the message is valid, and its key, if it is in use, is still recognized. */
  FOR_CALL,
  /** Only the report of its outcome. */
  FOR_NOTICE
}
