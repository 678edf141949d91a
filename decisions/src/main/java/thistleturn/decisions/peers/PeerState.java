package thistleturn.decisions.peers;

/** The state of a peer, as {@link MembershipTable} derives it. */
public enum PeerState {
  /** Known, and not yet a member of the view. */
  JOINING,
  /** Every observer reaches it. */
  ALIVE,
  /**
   * Some observers reach it and others do not: a partial partition, or one in a single direction.
   */
  PARTLY,
  /** Some observer does not reach it, and no fresh heartbeat arrives from anybody. */
  SUSPECT,
  /** Removed from the view by agreement. */
  DEAD,
  /** It announced that it leaves. */
  LEFT
}
