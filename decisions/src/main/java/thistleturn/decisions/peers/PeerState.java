package thistleturn.decisions.peers;

/** The state of a peer, as {@link MembershipTable} derives it. */
public enum PeerState {
  /** Known, but not yet a member of the view. */
  JOINING,
  /** Every observer reaches it. */
  ALIVE,
  /** Some observers reach it and others do not: a partial or one-way network partition. */
  PARTLY,
  /** Some observer does not reach it, and no fresh heartbeat of it arrives through any courier. */
  SUSPECT,
  /** Removed from the view by agreement. */
  DEAD,
  /** It announced that it is leaving. */
  LEFT
}
