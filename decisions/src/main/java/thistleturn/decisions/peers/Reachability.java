package thistleturn.decisions.peers;

/** An observer's finding about a peer that it monitors. */
public enum Reachability {
  /** Packets of it were received lately. */
  HEARD,
  /** No packet of it was received for the silence timeout. */
  SILENT,
  /**
   * Connections to its address end or are refused at once: the operating system there shows that
   * the process ended.
   */
  ENDED
}
