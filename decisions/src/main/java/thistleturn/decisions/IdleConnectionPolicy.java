package thistleturn.decisions;

import thistleturn.decisions.fleet.FleetSize;
import thistleturn.decisions.model.Idempotence;

/** Decides which idle connections are closed: for lack of trust, or for the sake of others. */
final class IdleConnectionPolicy {
  /**
   * Growth a second of the idle time that connections are trusted to survive: threefold a minute.
   */
  private static final double TRUST_GROWTH = 1.02;

  /** A connection that was idle for less, us, has died of something else. */
  private static final long MIN_TRUST_US = OverloadController.SECOND_US;

  /** Durations of a call within which a kept connection waits for its next use. */
  private static final double REUSE_CALLS = 2;

  private final ControllerState state;
  private final SendPermission sendPermission;
  private double trustedIdleUs;

  IdleConnectionPolicy(final ControllerState state, final SendPermission sendPermission) {
    this.state = state;
    this.sendPermission = sendPermission;
    this.trustedIdleUs = state.settings.limits().idleTimeoutUs();
  }

  /** Returns for how long idle connections are trusted. */
  double trustedIdleUs() {
    return trustedIdleUs;
  }

  void restoreTrust(final double restoredTrustUs) {
    trustedIdleUs = restoredTrustUs;
  }

  /** Extends the trust: a second has passed. */
  void extendTrust() {
    trustedIdleUs =
        Math.min((double) state.settings.limits().idleTimeoutUs(), TRUST_GROWTH * trustedIdleUs);
  }

  /** Reduces the trust: a call over an idle connection has failed where all was well. */
  void recordStaleConnection(final InFlightCall call) {
    if (call.connectionIdleUs() >= MIN_TRUST_US) {
      final long halfUs = call.connectionIdleUs() / 2;
      trustedIdleUs = Math.max(MIN_TRUST_US, Math.min(trustedIdleUs, (double) halfUs));
    }
  }

  /**
   * Closes the idle connections of an endpoint before a call, if they have been idle for longer
   * than they are trusted. An idle connection may be stale without a sign; a non-idempotent message
   * trusts it half as long.
   */
  void closeIfUntrusted(final InFlightCall call, final PendingMessage message) {
    final EndpointHealth endpoint = call.endpoint();
    if (endpoint.connections() == 0) {
      call.useIdleConnection(0);
      return;
    }
    final long idleUs = state.nowUs - endpoint.lastUseUs();
    final int caution = message.idempotence() == Idempotence.NON_IDEMPOTENT ? 2 : 1;
    if (idleUs >= trustedIdleUs / caution) {
      endpoint.dropConnections();
      state.actions.closeIdleConnections(endpoint.id());
    } else {
      call.useIdleConnection(idleUs);
    }
  }

  /**
   * Closes the idle connections of an endpoint after a call in a large fleet, where they take the
   * place of other couriers', unless they are used again soon or few couriers keep one.
   */
  void closeIfNotReused(final EndpointHealth endpoint, final InFlightCall call) {
    if (!FleetSize.isLarge(state.settings.courierCount())) {
      return;
    }
    final Route route = endpoint.route();
    final double usesSoon =
        route.serviceRate().averageCallsPerSecond()
            * REUSE_CALLS
            * call.expectedUs()
            / OverloadController.SECOND_US;
    if (usesSoon < route.endpoints().size()
        && !isNextUseNear(route, call.expectedUs())
        && !route.mayKeepIdleConnection(endpoint)) {
      endpoint.dropIdleConnections();
      state.actions.closeIdleConnections(endpoint.id());
    }
  }

  private boolean isNextUseNear(final Route route, final long withinUs) {
    return route.isInVastFleet()
        && route.destination().waitingMessages() > 0
        && sendPermission.sendAllowedAtUs(route) <= state.nowUs + withinUs;
  }
}
