package thistleturn.decisions.peers;

/** An observer's result for a peer that it monitors. */
public enum Reachability {
  /** Packets of the peer were received lately. */
  HEARD,
  /** No packet of the peer was received for the silence timeout. */
  SILENT,
  /**
   * Connections to the peer's address are closed or refused at once, which shows that the process
   * ended.
   */
  ENDED
}
