package thistleturn.decisions;

/**
 * Which endpoint of a lane a message goes to: the one with least in flight, recent trouble,
 * handshakes and zones to cross.
 */
final class Choice {
  /**
   * What a handshake and a crossing of zones weigh in the choice of an endpoint, in calls in
   * flight.
   */
  private static final double HANDSHAKE_LOAD = 0.8;

  private static final double CROSS_LOAD = 0.6;

  private final State state;

  Choice(final State state) {
    this.state = state;
  }

  /** The best endpoint of a lane for a message now, or null. */
  Node choose(final Lane lane, final Group group, final Node refusedBy) {
    Node best = null;
    double bestLoad = 0;
    final int kind = group.kind;
    for (final Node node : lane.nodes) {
      if (!node.isOpen(state.nowUs)
          || !group.zoneAllows(node)
          || (lane.phase == Phase.WELL
              && (node.silent > 0 || state.nowUs < node.avoidUntilUs[kind]))) {
        continue;
      }
      final boolean handshake =
          node.inFlight >= node.connections * state.settings.limits().multiplex()
              || (node.inFlight == 0
                  && state.nowUs - node.lastUseUs >= state.settings.limits().idleCloseUs());
      final double load =
          lane.phase == Phase.OUT
              ? node.lastSendUs
              : node.inFlight
                  + node.badRun[kind]
                  + (handshake ? HANDSHAKE_LOAD : 0)
                  + node.refusalLoad(kind, refusedBy)
                  + (lane.isNear(node) ? 0 : CROSS_LOAD);
      final double weighed = lane.phase == Phase.OUT ? load : load / node.words.weight(state.nowUs);
      if (best == null || weighed < bestLoad) {
        best = node;
        bestLoad = weighed;
      }
    }
    return best;
  }
}
