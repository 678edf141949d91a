package thistleturn.courier;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import thistleturn.decisions.RouteStatus;
import thistleturn.decisions.health.LocalHealth;

/** The status of routes and of the courier itself, as the JSON that operators read. */
final class StatusJson {
  private static final double US_PER_S = 1_000_000;

  private StatusJson() {}

  /** Returns the status of each route, with the names of endpoints in place of their ids. */
  static ArrayNode routes(
      final List<RouteStatus> routes, final EndpointTable endpoints, final long nowUs) {
    final ArrayNode array = JsonNodeFactory.instance.arrayNode();
    routes.forEach(route -> addRoute(array.addObject(), route, endpoints, nowUs));
    return array;
  }

  private static void addRoute(
      final ObjectNode node,
      final RouteStatus route,
      final EndpointTable endpoints,
      final long nowUs) {
    node.put("destination", route.destinationId())
        .put("phase", route.circuitState())
        .put("window", route.window())
        .put("in_flight", route.callsInFlight())
        .put("silent", route.overdueCalls())
        .put("waiting", route.waitingMessages())
        .put("served_per_s", route.callsPerSecond())
        .put("cause", route.rejectionCause())
        .put("evidence", route.noiseEvidence())
        .put("refused_share", route.rejectedShare())
        .put("further_calls", route.retryBudget())
        .put("growing", route.inInitialGrowth())
        .put("why", route.blockedReason());
    if (Double.isFinite(route.permittedPerSecond())) {
      node.put("spacing_per_s", route.permittedPerSecond());
    }
    final ArrayNode constraints = node.putArray("said");
    route
        .constraints()
        .forEach(
            constraint -> addConstraint(constraints.addObject(), constraint, endpoints, nowUs));
    final ArrayNode names = node.putArray("endpoints");
    route.endpoints().forEach(id -> names.add(endpoints.nameOf(id)));
  }

  private static void addConstraint(
      final ObjectNode node,
      final RouteStatus.Constraint constraint,
      final EndpointTable endpoints,
      final long nowUs) {
    node.put("what", constraint.type().toLowerCase(Locale.ROOT))
        .put("value", constraint.value())
        .put("by", constraint.source());
    if (constraint.endpointId() >= 0) {
      node.put("endpoint", endpoints.nameOf(constraint.endpointId()));
    }
    if (constraint.untilUs() != Long.MAX_VALUE) {
      node.put("for_s", (constraint.untilUs() - nowUs) / US_PER_S);
    }
  }

  /** Returns the courier's own health, with the evidence for it. */
  static ObjectNode health(
      final LocalHealth health,
      final int pendingMessages,
      final int maxPendingMessages,
      final long nowUs) {
    final LocalHealth.Report report = health.report(nowUs);
    return JsonNodeFactory.instance
        .objectNode()
        .put("state", report.state().name().toLowerCase(Locale.ROOT))
        .put("for_s", (nowUs - report.sinceUs()) / US_PER_S)
        .put("evidence", report.evidence())
        .put("away_share", report.pausedShare())
        .put("last_away_s", report.lastPauseUs() / US_PER_S)
        .put("holds", pendingMessages)
        .put("may_hold", maxPendingMessages)
        .put("ended", health.completedMessages());
  }
}
