package thistleturn.decisions.membership;

/** Why an endpoint is in its state. The names are part of the operators' JSON. */
public enum StateReason {
  /** A reachable source reports this state, and no source contradicts it. */
  SAID,
  /** Sources disagree, and the more cautious status counts. */
  CAUTION,
  /** A source warned and became unreachable; another, reachable one reports that it is up. */
  WARNING_EXPIRED,
  /** A source deleted it recently; another still lists it. */
  DELETED,
  /** It is up again, but recently went down too often. */
  FLAPPING,
  /** The sources that report it up are unreachable, but not yet for too long; it is still used. */
  STALE,
  /** Its report is stale, and its destination has endpoints with a more current one. */
  STALE_SPARED,
  /** Its report is stale, but its destination has nothing better. */
  LAST_RESORT,
  /** A snapshot that is not plausible lacks it. */
  DOUBTED,
  /** A better-ranked source claims its address for another destination. */
  CONTESTED,
  /** No source lists it any more. */
  UNLISTED
}
