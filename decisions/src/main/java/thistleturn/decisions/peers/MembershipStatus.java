package thistleturn.decisions.peers;

/** The status of this courier in its fleet. */
public enum MembershipStatus {
  /** It holds no view yet, or is no member of the one that it holds. */
  FORMING,
  /** It reaches more than half of the members of its view. */
  MAJORITY,
  /** It reaches half of them or fewer: it declares no peer dead. */
  MINORITY,
  /** It reaches none of them. */
  ALONE,
  /** Another process that started later uses its name: it keeps out of the fleet. */
  CONFLICT
}
