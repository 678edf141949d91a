package thistleturn.decisions;

import thistleturn.decisions.model.ResourceLimits;

/**
 * Selects the endpoint of a route for a message: the one with the least load, which counts calls in
 * flight, recent failures and rejections, a handshake and a zone crossing.
 */
final class EndpointSelector {
  /** Load of a handshake, in calls in flight. */
  private static final double HANDSHAKE_LOAD = 0.8;

  /** Load of a call to another zone, in calls in flight. */
  private static final double CROSS_ZONE_LOAD = 0.6;

  private final ControllerState state;

  EndpointSelector(final ControllerState state) {
    this.state = state;
  }

  /** Returns the best endpoint of a route for a message of a group, or null if there is none. */
  EndpointHealth select(
      final Route route, final DeadlineGroup group, final EndpointHealth rejectedBy) {
    EndpointHealth best = null;
    double bestLoad = 0;
    for (final EndpointHealth endpoint : route.endpoints()) {
      if (!isEligible(endpoint, route, group)) {
        continue;
      }
      final double load =
          route.circuit().isOpen()
              ? endpoint.lastSendUs()
              : load(endpoint, route, group.classIndex(), rejectedBy);
      if (best == null || load < bestLoad) {
        best = endpoint;
        bestLoad = load;
      }
    }
    return best;
  }

  private boolean isEligible(
      final EndpointHealth endpoint, final Route route, final DeadlineGroup group) {
    return endpoint.acceptsCalls(state.nowUs)
        && group.allowsZoneOf(endpoint)
        && !(route.circuit().isClosed() && endpoint.isAvoidedBy(group.classIndex(), state.nowUs));
  }

  private double load(
      final EndpointHealth endpoint,
      final Route route,
      final int classIndex,
      final EndpointHealth rejectedBy) {
    final ResourceLimits limits = state.settings.limits();
    final boolean handshake =
        endpoint.needsHandshake(limits.streamsPerConnection(), limits.idleTimeoutUs(), state.nowUs);
    final double load =
        endpoint.callsInFlight()
            + endpoint.failureRun(classIndex)
            + (handshake ? HANDSHAKE_LOAD : 0)
            + endpoint.rejectionLoad(classIndex, rejectedBy)
            + (route.isInLocalZone(endpoint) ? 0 : CROSS_ZONE_LOAD);
    return load / endpoint.directives().weight(state.nowUs);
  }
}
