package thistleturn.decisions.peers;

/** Where a courier stands in its fleet. */
public enum MembershipStatus {
  /** It holds no view yet, or its view does not hold it. */
  FORMING,
  /** It hears more than half of the members of its view. */
  MAJORITY,
  /** It hears half of them or fewer: nobody is declared dead here. */
  MINORITY,
  /** It hears nobody of them. */
  ALONE,
  /** Another process uses its name, and began later: it keeps out. */
  CONFLICT
}
