package thistleturn.decisions.membership;

/**
 * The state of one endpoint by its sources' reports, before the other endpoints of its destination
 * are considered.
 *
 * @param state the state by these reports alone
 * @param reason why the endpoint is in that state
 * @param decidedBy the source whose report decided; null if none did
 * @param freshness for an endpoint that is up, how current the deciding report is; else null
 * @param reassessUs when the passing of time alone changes the assessment
 */
record StatusAssessment(
    MergedEndpoint.State state,
    StateReason reason,
    EndpointSource decidedBy,
    Freshness freshness,
    long reassessUs) {

  /** Returns the assessment of an endpoint that is up by a source's report. */
  static StatusAssessment up(
      final StateReason reason,
      final EndpointSource decidedBy,
      final Freshness freshness,
      final long reassessUs) {
    return new StatusAssessment(MergedEndpoint.State.UP, reason, decidedBy, freshness, reassessUs);
  }

  /** Returns the assessment of an endpoint to which nothing new may be sent. */
  static StatusAssessment draining(
      final StateReason reason, final EndpointSource decidedBy, final long reassessUs) {
    return new StatusAssessment(MergedEndpoint.State.DRAINING, reason, decidedBy, null, reassessUs);
  }

  /** Returns the assessment of an endpoint that is not used until there is a new report. */
  static StatusAssessment gone(final StateReason reason) {
    return new StatusAssessment(
        MergedEndpoint.State.GONE, reason, null, null, EndpointRecord.NEVER);
  }

  boolean isUp() {
    return state == MergedEndpoint.State.UP;
  }

  /** Returns true if the endpoint is up only by a report that was unconfirmed for too long. */
  boolean isStale() {
    return isUp() && freshness == Freshness.STALE;
  }

  /** Returns true if a deletion counts until another source confirms the endpoint. */
  boolean awaitsConfirmation() {
    return reason == StateReason.DELETED && reassessUs == EndpointRecord.NEVER;
  }
}
