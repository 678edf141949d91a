package thistleturn.decisions;

import thistleturn.decisions.fleet.FleetSize;
import thistleturn.decisions.model.Idempotence;

/**
 * Decides which idle connections are closed: those that may be stale, and those that take capacity
 * from other couriers.
 */
final class IdleConnectionPolicy {
  /**
   * Growth per second of the idle time that connections are trusted to survive: threefold in a
   * minute.
   */
  private static final double TRUST_GROWTH = 1.02;

  /**
   * The shortest trusted idle time, us: a connection that was idle for less was lost for another
   * reason.
   */
  private static final long MIN_TRUST_US = OverloadController.SECOND_US;

  /** Time within which a kept connection should be used again, in call durations. */
  private static final double REUSE_CALLS = 2;

  private final ControllerState state;
  private final SendPermission sendPermission;
  private double trustedIdleUs;

  IdleConnectionPolicy(final ControllerState state, final SendPermission sendPermission) {
    this.state = state;
    this.sendPermission = sendPermission;
    this.trustedIdleUs = state.settings.limits().idleTimeoutUs();
  }

  /** Returns the idle time that connections are trusted to survive. */
  double trustedIdleUs() {
    return trustedIdleUs;
  }

  void restoreTrust(final double restoredTrustUs) {
    trustedIdleUs = restoredTrustUs;
  }

  /** Extends the trusted idle time; called once a second. */
  void extendTrust() {
    trustedIdleUs =
        Math.min((double) state.settings.limits().idleTimeoutUs(), TRUST_GROWTH * trustedIdleUs);
  }

  /**
   * Reduces the trusted idle time after a call over an idle connection to a healthy endpoint
   * failed.
   */
  void recordStaleConnection(final InFlightCall call) {
    if (call.connectionIdleUs() >= MIN_TRUST_US) {
      final long halfUs = call.connectionIdleUs() / 2;
      trustedIdleUs = Math.max(MIN_TRUST_US, Math.min(trustedIdleUs, (double) halfUs));
    }
  }

  /**
   * Closes the idle connections of an endpoint before a call, if they have been idle for longer
   * than the trusted time. A stale connection cannot be recognized before it is used; for a
   * non-idempotent message the trusted time is half as long.
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
   * Closes the idle connections of an endpoint after a call in a large fleet, where they occupy the
   * endpoint's capacity for other couriers' connections. They are kept if the next use is near or
   * this courier is one of the few that keep one.
   */
  void closeIfNotReused(final EndpointHealth endpoint, final InFlightCall call) {
    if (!FleetSize.isLarge(state.settings.courierCount())) {
      return;
    }
    final Route route = endpoint.route();
    final double expectedUses =
        route.serviceRate().averageCallsPerSecond()
            * REUSE_CALLS
            * call.expectedUs()
            / OverloadController.SECOND_US;
    if (expectedUses < route.endpoints().size()
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
