package thistleturn.decisions;

import thistleturn.decisions.fleet.FleetSize;
import thistleturn.decisions.model.Idempotence;

/**
 * Connections that carry no call: how long they are trusted, and which are closed for others' sake.
 */
final class IdleConnectionPolicy {
  /** Growth a second of the idle time that connections are trusted to bear: a minute trebles it. */
  private static final double TRUST_GROWTH = 1.02;

  /** Idle for less, us, a connection dies of something else than its idleness. */
  private static final long MIN_TRUST_US = OverloadController.SECOND_US;

  /**
   * Calls' time within which a connection waits for its next use: a few for each call in flight.
   */
  private static final double REUSE_CALLS = 2;

  private final ControllerState state;
  private final SendPermission sendPermission;

  /** How long an idle connection is trusted, us. */
  double trustedIdleUs;

  IdleConnectionPolicy(final ControllerState state, final SendPermission gate) {
    this.state = state;
    this.sendPermission = gate;
    this.trustedIdleUs = state.settings.limits().idleTimeoutUs();
  }

  /** A second has passed. */
  void extendTrust() {
    trustedIdleUs =
        Math.min((double) state.settings.limits().idleTimeoutUs(), TRUST_GROWTH * trustedIdleUs);
  }

  /** A call over a connection that had been idle failed where all was well. */
  void recordStaleConnection(final InFlightCall call) {
    if (call.connectionIdleUs >= MIN_TRUST_US) {
      final long halfUs = call.connectionIdleUs / 2;
      trustedIdleUs = Math.max(MIN_TRUST_US, Math.min(trustedIdleUs, (double) halfUs));
    }
  }

  /**
   * An idle connection may be dead without a sign, wherever it died: when a call over one fails
   * where all was well, none idle half as long is used for a while (a quarter, for unsafe ones).
   * Costs handshakes.
   */
  void closeIfUntrusted(
      final InFlightCall call, final EndpointHealth node, final PendingMessage job) {
    final long idleUs = state.nowUs - node.lastUseUs;
    if (node.connections > 0
        && idleUs
            >= trustedIdleUs
                / (job.messageClass.idempotence() == Idempotence.NON_IDEMPOTENT ? 2 : 1)) {
      node.connections = 0;
      state.actions.closeIdleConnections(node.descriptor.id());
    } else {
      call.connectionIdleUs = node.connections > 0 ? idleUs : 0;
    }
  }

  /**
   * An idle connection takes the place of another courier's: where they are many, it is closed
   * unless its next use is near or few keep one. Guards against refused connections; costs a
   * handshake a call.
   */
  void closeIfNotReused(final EndpointHealth node, final InFlightCall call) {
    final double usesInReach =
        node.route.callRate * REUSE_CALLS * call.expectedUs / OverloadController.SECOND_US;
    final boolean next =
        node.route.inVastFleet
            && node.route.destination.waitingMessages > 0
            && sendPermission.sendAllowedAtUs(node.route) <= state.nowUs + call.expectedUs;
    if (FleetSize.isLarge(state.settings.courierCount())
        && usesInReach < node.route.endpoints.size()
        && !next
        && !node.route.mayKeepIdleConnection(node)) {
      node.connections = Math.min(node.connections, node.callsInFlight);
      state.actions.closeIdleConnections(node.descriptor.id());
    }
  }
}
