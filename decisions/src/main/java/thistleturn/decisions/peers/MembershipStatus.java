package thistleturn.decisions.peers;

/** The status of this courier in its fleet. */
public enum MembershipStatus {
  /** It holds no view, or is not a member of the view that it holds. */
  FORMING,
  /** It reaches more than half of the members of its view. */
  MAJORITY,
  /** It reaches half of them or fewer, and declares no peer dead. */
  MINORITY,
  /** It reaches no other member. */
  ALONE,
  /** Another process that started later uses its name, so it stays out of the fleet. */
  CONFLICT
}
