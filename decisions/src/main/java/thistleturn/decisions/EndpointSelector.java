package thistleturn.decisions;

/**
 * Which endpoint of a lane a message goes to: the one with least in flight, recent trouble,
 * handshakes and zones to cross.
 */
final class EndpointSelector {
  /**
   * What a handshake and a crossing of zones weigh in the choice of an endpoint, in calls in
   * flight.
   */
  private static final double HANDSHAKE_LOAD = 0.8;

  private static final double CROSS_ZONE_LOAD = 0.6;

  private final ControllerState state;

  EndpointSelector(final ControllerState state) {
    this.state = state;
  }

  /** The best endpoint of a lane for a message now, or null. */
  EndpointHealth select(
      final Route lane, final DeadlineGroup group, final EndpointHealth refusedBy) {
    EndpointHealth best = null;
    double bestLoad = 0;
    final int kind = group.classIndex;
    for (final EndpointHealth node : lane.endpoints) {
      if (!node.acceptsCalls(state.nowUs)
          || !group.allowsZoneOf(node)
          || (lane.circuitState == CircuitState.WELL
              && (node.unresponsiveCalls > 0 || state.nowUs < node.avoidUntilUs[kind]))) {
        continue;
      }
      final boolean handshake =
          node.callsInFlight >= node.connections * state.settings.limits().streamsPerConnection()
              || (node.callsInFlight == 0
                  && state.nowUs - node.lastUseUs >= state.settings.limits().idleTimeoutUs());
      final double load =
          lane.circuitState == CircuitState.OUT
              ? node.lastSendUs
              : node.callsInFlight
                  + node.failureRuns[kind]
                  + (handshake ? HANDSHAKE_LOAD : 0)
                  + node.rejectionLoad(kind, refusedBy)
                  + (lane.isInLocalZone(node) ? 0 : CROSS_ZONE_LOAD);
      final double weighed =
          lane.circuitState == CircuitState.OUT ? load : load / node.directives.weight(state.nowUs);
      if (best == null || weighed < bestLoad) {
        best = node;
        bestLoad = weighed;
      }
    }
    return best;
  }
}
