package thistleturn.decisions.peers;

/** What is known of a courier. The rules are those of {@link MembershipProtocol}. */
public enum PeerState {
  /** Known, and not yet in the agreed view. */
  JOINING,
  /** Nobody says that it is not heard. */
  ALIVE,
  /** Some do not hear it and others do, now: a cut of some ways, or of one direction. */
  PARTLY,
  /** Somebody does not hear it, and no fresh sign of it comes from anybody. */
  SUSPECT,
  /** Taken out of the view by agreement. */
  DEAD,
  /** It said that it goes. */
  LEFT
}
