package thistleturn.decisions.membership;

/** Why an endpoint is in its state. */
public enum StateReason {
  /** A source that is heard says so, and none says otherwise. */
  SAID,
  /** Sources disagree: the more cautious word counts. */
  CAUTION,
  /** A source warned and fell silent; another, which is heard, says that it is up. */
  WARNING_EXPIRED,
  /** A source deleted it a short while ago; another still lists it. */
  DELETED,
  /** It is up again, but fell too often of late. */
  FLAPPING,
  /** Nobody who says that it is up was heard for a while; it is used all the same. */
  STALE,
  /** Nobody who says that it is up was heard for long, and its destination has fresher ones. */
  STALE_SPARED,
  /** It is stale or absent for long, but its destination has nothing better. */
  LAST_RESORT,
  /** It is absent from an answer that is not plausible. */
  DOUBTED,
  /** A source of higher rank says that its address belongs to another destination. */
  CONTESTED,
  /** No source lists it any more. */
  UNLISTED
}
