package thistleturn.decisions.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides at one time which endpoints of one destination are used. Each endpoint is first assessed
 * by what its sources report, then compared with the others, so that stale or flapping endpoints
 * are taken out of use only if the destination has better ones.
 */
final class DestinationReview {
  private final long nowUs;
  private final MergeSettings settings;
  private final List<Candidate> candidates;
  private long reassessUs = EndpointRecord.NEVER;
  private boolean awaitsConfirmation;

  /** The endpoint that is used although it flaps, since all that are up do; null if none is. */
  private EndpointRecord exemptFromHoldDown;

  /** The best freshness among the endpoints that are up and not held down; null if none is. */
  private Freshness bestFreshness;

  /** The first rate that an endpoint's owning entry reports for the destination; 0 if none does. */
  private double destinationRate;

  /** An endpoint with what its sources report of it. */
  private record Candidate(EndpointRecord endpoint, StatusAssessment assessment) {
    boolean isUp() {
      return assessment.isUp();
    }
  }

  /** Creates a review of a destination with about that many endpoints. */
  DestinationReview(final long nowUs, final MergeSettings settings, final int endpoints) {
    this.nowUs = nowUs;
    this.settings = settings;
    this.candidates = new ArrayList<>(endpoints);
  }

  /**
   * Adds an endpoint of the destination.
   *
   * @param contested true if a better-ranked source claims its address for another destination
   */
  void add(final EndpointRecord endpoint, final boolean contested) {
    final StatusAssessment assessment =
        contested
            ? StatusAssessment.gone(StateReason.CONTESTED)
            : StatusAssessor.assess(endpoint, nowUs, settings);
    endpoint.recordReportedUp(nowUs, assessment.isUp());
    candidates.add(new Candidate(endpoint, assessment));
    reassessAt(assessment.reassessUs());
    awaitsConfirmation |= assessment.awaitsConfirmation();
  }

  /** Publishes the decisions on all endpoints; adds what changed for sending to {@code changed}. */
  void publish(final List<MergedEndpoint> changed) {
    exemptFromHoldDown = findExemptFromHoldDown();
    candidates.forEach(this::consider);
    for (final Candidate candidate : candidates) {
      final EndpointRecord endpoint = candidate.endpoint();
      if (endpoint.publish(nowUs, decide(candidate), destinationRate, settings)) {
        changed.add(endpoint.published());
      }
    }
  }

  /** Returns true if a deletion counts until any source responds again. */
  boolean awaitsConfirmation() {
    return awaitsConfirmation;
  }

  /** Returns when the passing of time alone changes a decision. */
  long reassessUs() {
    return reassessUs;
  }

  private void reassessAt(final long atUs) {
    reassessUs = Math.min(reassessUs, atUs);
  }

  /**
   * Returns the endpoint whose hold-down ends first if all endpoints that are up are held down for
   * flapping, since a destination must not be left without any; otherwise null.
   */
  private EndpointRecord findExemptFromHoldDown() {
    EndpointRecord first = null;
    for (final Candidate candidate : candidates) {
      if (candidate.isUp()) {
        final EndpointRecord endpoint = candidate.endpoint();
        if (!endpoint.isHeldDown(nowUs, settings)) {
          return null;
        }
        final boolean endsEarlier =
            first == null || endpoint.heldDownUntilUs(settings) < first.heldDownUntilUs(settings);
        first = endsEarlier ? endpoint : first;
      }
    }
    return first;
  }

  /** Updates the destination's best freshness and its rate by one endpoint. */
  private void consider(final Candidate candidate) {
    if (candidate.isUp() && !isHeldDown(candidate.endpoint())) {
      final Freshness freshness = candidate.assessment().freshness();
      final boolean isBest = bestFreshness == null || freshness.compareTo(bestFreshness) < 0;
      bestFreshness = isBest ? freshness : bestFreshness;
    }
    final SourceEntry owner = candidate.endpoint().owner();
    if (destinationRate <= 0 && owner != null) {
      destinationRate = owner.report().ratePerSecond();
    }
  }

  private EndpointRecord.Decision decide(final Candidate candidate) {
    final StatusAssessment assessment = candidate.assessment();
    MergedEndpoint.State state = assessment.state();
    StateReason reason = assessment.reason();
    if (assessment.isStale()) {
      final boolean isLastResort = bestFreshness == Freshness.STALE;
      state = isLastResort ? MergedEndpoint.State.UP : MergedEndpoint.State.DRAINING;
      reason = isLastResort ? StateReason.LAST_RESORT : StateReason.STALE_SPARED;
    }
    if (state == MergedEndpoint.State.UP && isHeldDown(candidate.endpoint())) {
      state = MergedEndpoint.State.DRAINING;
      reason = StateReason.FLAPPING;
      reassessAt(candidate.endpoint().heldDownUntilUs(settings));
    }
    return new EndpointRecord.Decision(state, reason, assessment.decidedBy(), !assessment.isUp());
  }

  private boolean isHeldDown(final EndpointRecord endpoint) {
    return endpoint != exemptFromHoldDown && endpoint.isHeldDown(nowUs, settings);
  }
}
