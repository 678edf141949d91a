package thistleturn.decisions;

import java.util.ArrayList;
import java.util.List;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.directives.Directives;

/**
 * The status of one route of a destination, as shown to operators.
 *
 * @param destinationId the id of its destination
 * @param endpoints the ids of its endpoints
 * @param circuitState the state of its circuit: {@code WELL}, {@code OUT} or {@code RAMP}
 * @param window the number of calls that its window allows in flight
 * @param callsInFlight the number of its calls in flight
 * @param overdueCalls the number of these calls that are overdue
 * @param waitingMessages the number of waiting messages of the destination
 * @param callsPerSecond the calls served a second, a slow average
 * @param permittedPerSecond the calls permitted a second, after rejections or as this courier's
 *     share of a reported rate; infinite if unlimited
 * @param rejectionCause the cause that its rejections are attributed to: {@code UNSURE}, {@code
 *     LOAD} or {@code NOISE}
 * @param noiseEvidence the evidence for noise (above 0) or load (below), nats; 3 decide
 * @param rejectedShare the share of recent calls that were rejected
 * @param retryBudget the retries that may be made at once
 * @param inInitialGrowth whether its window is in its initial growth, until the first sign of
 *     overload
 * @param blockedReason why its next message is not sent, in a sentence
 * @param constraints the constraints from outside: the reported limit, this courier's share of it,
 *     and the directives of other subsystems
 */
public record RouteStatus(
    long destinationId,
    List<Long> endpoints,
    String circuitState,
    double window,
    int callsInFlight,
    int overdueCalls,
    int waitingMessages,
    double callsPerSecond,
    double permittedPerSecond,
    String rejectionCause,
    double noiseEvidence,
    double rejectedShare,
    double retryBudget,
    boolean inInitialGrowth,
    String blockedReason,
    List<Constraint> constraints) {

  /** The type of the constraint that is the reported limit of all couriers together. */
  private static final String LIMIT_CONSTRAINT = "LIMIT";

  /** The source of the constraint that is this courier's share of a reported rate. */
  private static final String RATE_SHARE_SOURCE = "even part";

  /** The endpoint of a constraint that applies to the whole destination. */
  private static final long WHOLE_DESTINATION = -1;

  /**
   * A constraint from outside the route.
   *
   * @param endpointId the endpoint that it applies to; below 0: the whole destination
   * @param type the type of the constraint
   * @param value its value
   * @param source who set it
   * @param untilUs until when it applies, us; {@link Long#MAX_VALUE}: until it is revoked
   */
  public record Constraint(
      long endpointId, String type, double value, String source, long untilUs) {
    private static Constraint of(final long endpointId, final Directive directive) {
      return new Constraint(
          endpointId,
          directive.kind().name(),
          directive.value(),
          directive.source(),
          directive.expiresUs());
    }

    private static Constraint onDestination(
        final String type, final double value, final String source, final long untilUs) {
      return new Constraint(WHOLE_DESTINATION, type, value, source, untilUs);
    }
  }

  /**
   * Describes a route.
   *
   * @param sendAllowedAtUs when its next call may be sent
   * @param limit the number of calls that it may have in flight now
   */
  static RouteStatus of(
      final Route route, final long nowUs, final long sendAllowedAtUs, final int limit) {
    final RejectionHistory rejections = route.rejections();
    return new RouteStatus(
        route.destination().id(),
        route.endpoints().stream().map(EndpointHealth::id).toList(),
        route.circuit().state().reportedName(),
        route.window().calls(),
        route.callsInFlight(),
        route.overdueCalls(),
        route.destination().waitingMessages(),
        route.serviceRate().averageCallsPerSecond(),
        route.pacing().effectiveRate(),
        rejections.classifier().cause(nowUs).name(),
        rejections.classifier().evidence(nowUs),
        rejections.classifier().rejectedShare(),
        rejections.retryBudget().available(),
        rejections.initialGrowth().isGrowing(),
        new BlockedReason(route, nowUs, sendAllowedAtUs, limit).describe(),
        constraintsOn(route, nowUs));
  }

  private static List<Constraint> constraintsOn(final Route route, final long nowUs) {
    final List<Constraint> constraints = new ArrayList<>();
    final SendPacing pacing = route.pacing();
    if (pacing.hasReportedLimit()) {
      constraints.add(
          Constraint.onDestination(
              LIMIT_CONSTRAINT,
              pacing.reportedLimit(),
              pacing.limitSource(),
              OverloadController.NEVER));
    }
    if (pacing.rateShare().isLimited()) {
      constraints.add(
          Constraint.onDestination(
              Directive.Kind.RATE.name(),
              pacing.rateShare().ratePerSecond(),
              RATE_SHARE_SOURCE,
              OverloadController.NEVER));
    }
    if (nowUs < pacing.retryAfterUntilUs()) {
      constraints.add(
          Constraint.onDestination(
              Directive.Kind.WAIT.name(),
              0,
              SendPacing.SOURCE_DESTINATION,
              pacing.retryAfterUntilUs()));
    }
    addActive(constraints, WHOLE_DESTINATION, route.destination().directives(), nowUs);
    for (final EndpointHealth endpoint : route.endpoints()) {
      addActive(constraints, endpoint.id(), endpoint.directives(), nowUs);
    }
    return constraints;
  }

  private static void addActive(
      final List<Constraint> to,
      final long endpointId,
      final Directives directives,
      final long nowUs) {
    directives.active(nowUs).forEach(directive -> to.add(Constraint.of(endpointId, directive)));
  }
}
