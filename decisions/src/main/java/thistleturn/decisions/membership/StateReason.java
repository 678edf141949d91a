package thistleturn.decisions.membership;

/** Why an endpoint is in its state. The names are part of the operators' JSON. */
public enum StateReason {
  /** A reachable source reports it, and none reports otherwise. */
  SAID,
  /** Sources disagree: the more cautious status counts. */
  CAUTION,
  /** A source warned and became unreachable; another, reachable one reports that it is up. */
  WARNING_EXPIRED,
  /** A source deleted it a short while ago; another still lists it. */
  DELETED,
  /** It is up again, but went down too often of late. */
  FLAPPING,
  /** No source that reports it up has been reachable for a while; it is used all the same. */
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
