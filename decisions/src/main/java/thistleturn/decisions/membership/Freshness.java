package thistleturn.decisions.membership;

/** How current the report is on which an endpoint's state UP is based, best first. */
enum Freshness {
  /** The source is reachable and lists the endpoint. */
  CONFIRMED,
  /** The source is unreachable, or lacks the endpoint implausibly, but not for long. */
  UNCONFIRMED,
  /** Unconfirmed for so long that the endpoint is used only as a last resort. */
  STALE
}
