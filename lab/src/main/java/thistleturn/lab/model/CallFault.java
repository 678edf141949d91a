package thistleturn.lab.model;

/** What happens to a call on its way or at its endpoint, whatever the load is. */
public enum CallFault {
  /** It is served, if there is room. */
  SERVE,
  /** It is answered that there is no room. */
  REFUSE,
  /** It runs, and its connection is reset. */
  RESET,
  /** It runs, and is answered that it failed. */
  ERROR,
  /** It runs, and is never answered. */
  SILENT,
  /** No connection is made. */
  UNREACHABLE
}
