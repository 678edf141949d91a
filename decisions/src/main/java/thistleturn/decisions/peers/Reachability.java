package thistleturn.decisions.peers;

/** What one courier says of its own hearing of another: the cells of the reach matrix. */
public enum Reachability {
  /** Heard lately. */
  HEARD,
  /** Nothing of it came for the time that the rules name. */
  SILENT,
  /**
   * The system at its address says that it is over: connections end or are refused there at once.
   */
  ENDED
}
