package thistleturn.decisions;

import thistleturn.decisions.Courier.Effect;
import thistleturn.decisions.fleet.FleetSize;

/**
 * Connections that carry no call: how long they are trusted, and which are closed for others' sake.
 */
final class Idle {
  /** Growth a second of the idle time that connections are trusted to bear: a minute trebles it. */
  private static final double TRUST_GROWTH = 1.02;

  /** Idle for less, us, a connection dies of something else than its idleness. */
  private static final long TRUST_LEAST_US = Control.SECOND_US;

  /**
   * Calls' time within which a connection waits for its next use: a few for each call in flight.
   */
  private static final double REUSE_CALLS = 2;

  private final State state;
  private final Gate gate;

  /** How long an idle connection is trusted, us. */
  double trustUs;

  Idle(final State state, final Gate gate) {
    this.state = state;
    this.gate = gate;
    this.trustUs = state.settings.limits().idleCloseUs();
  }

  /** A second has passed. */
  void step() {
    trustUs = Math.min((double) state.settings.limits().idleCloseUs(), TRUST_GROWTH * trustUs);
  }

  /** A call over a connection that had been idle failed where all was well. */
  void died(final Call call) {
    if (call.idleUs >= TRUST_LEAST_US) {
      final long halfUs = call.idleUs / 2;
      trustUs = Math.max(TRUST_LEAST_US, Math.min(trustUs, (double) halfUs));
    }
  }

  /**
   * An idle connection may be dead without a sign, wherever it died: when a call over one fails
   * where all was well, none idle half as long is used for a while (a quarter, for unsafe ones).
   * Costs handshakes.
   */
  void checkIdle(final Call call, final Node node, final Job job) {
    final long idleUs = state.nowUs - node.lastUseUs;
    if (node.connections > 0 && idleUs >= trustUs / (job.kind.effect() == Effect.UNSAFE ? 2 : 1)) {
      node.connections = 0;
      state.actions.closeIdle(node.entry.id());
    } else {
      call.idleUs = node.connections > 0 ? idleUs : 0;
    }
  }

  /**
   * An idle connection takes the place of another courier's: where they are many, it is closed
   * unless its next use is near or few keep one. Guards against refused connections; costs a
   * handshake a call.
   */
  void shareConnections(final Node node, final Call call) {
    final double usesInReach =
        node.lane.callRate * REUSE_CALLS * call.expectedUs / Control.SECOND_US;
    final boolean next =
        node.lane.vast
            && node.lane.destination.waiting > 0
            && gate.openAtUs(node.lane) <= state.nowUs + call.expectedUs;
    if (FleetSize.isLarge(state.settings.couriers())
        && usesInReach < node.lane.nodes.size()
        && !next
        && !node.lane.keepsConnection(node)) {
      node.connections = Math.min(node.connections, node.inFlight);
      state.actions.closeIdle(node.entry.id());
    }
  }
}
