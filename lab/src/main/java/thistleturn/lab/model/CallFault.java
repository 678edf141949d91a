package thistleturn.lab.model;

/** What happens to a call on its way or at its endpoint, independent of load. */
public enum CallFault {
  /** The call is served, if the limit admits it. */
  SERVE,
  /** The endpoint rejects the call. */
  REFUSE,
  /** The call runs, and its connection is reset. */
  RESET,
  /** The call runs, and the endpoint answers with an error. */
  ERROR,
  /** The call runs, and is never answered. */
  UNRESPONSIVE,
  /** No connection can be established. */
  UNREACHABLE
}
