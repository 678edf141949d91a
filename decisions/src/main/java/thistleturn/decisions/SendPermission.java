package thistleturn.decisions;

import thistleturn.decisions.model.WeightMeaning;

/**
 * Determines when a route may send its next call, as its window, Retry-After, backoff, permitted
 * rate, the trials of an open circuit, the recovery ramp and the directives of other subsystems
 * allow.
 */
final class SendPermission {
  private final ControllerState state;
  private final ConcurrencyPolicy concurrencyPolicy;

  SendPermission(final ControllerState state, final ConcurrencyPolicy concurrencyPolicy) {
    this.state = state;
    this.concurrencyPolicy = concurrencyPolicy;
  }

  /**
   * Returns when the next call may be sent; {@link OverloadController#NEVER} while the window is
   * full.
   */
  long sendAllowedAtUs(final Route route) {
    return sendAllowedAtUs(route, state.nowUs);
  }

  /**
   * Returns the same as of a given time: during a recovery, the interval of calls shrinks with
   * time.
   */
  private long sendAllowedAtUs(final Route route, final long atUs) {
    if (isWindowFull(route)) {
      return OverloadController.NEVER;
    }
    final SendPacing pacing = route.pacing();
    final long directedUs =
        route.destination().directives().earliestCallUs(pacing.lastSendUs(), atUs);
    final long waitedUs = Math.max(pacing.retryAfterUntilUs(), route.effectiveBackoffUntilUs());
    return Math.max(directedUs, Math.max(pacedUntilUs(route, atUs), waitedUs));
  }

  private boolean isWindowFull(final Route route) {
    // Overdue calls to an endpoint that serves others use capacity, but not the window.
    final int isolatedOverdue =
        state.classifiesFaults ? route.overdueCalls() - route.unresponsiveCalls() : 0;
    return route.callsInFlight() - isolatedOverdue >= concurrencyPolicy.limit(route)
        || route.callsInFlight() >= concurrencyPolicy.maxLimit(route);
  }

  private long pacedUntilUs(final Route route, final long atUs) {
    final CircuitBreaker circuit = route.circuit();
    return switch (circuit.state()) {
      case CLOSED -> route.pacing().nextPacedSendUs(ratePerSecond(route.pacing()), atUs);
      case OPEN -> route.callsInFlight() == 0 ? circuit.nextTrialUs() : OverloadController.NEVER;
      case RECOVERING -> recoveryPacedUntilUs(route, atUs);
    };
  }

  private double ratePerSecond(final SendPacing pacing) {
    final boolean limitIsExact =
        state.settings.weightMeaning() == WeightMeaning.NOMINAL && pacing.hasReportedLimit();
    return limitIsExact ? pacing.permittedRateWithinLimit() : pacing.permittedRate();
  }

  private long recoveryPacedUntilUs(final Route route, final long atUs) {
    final CircuitBreaker circuit = route.circuit();
    final double overloadShare =
        state.settings.guarantees().overloadShare(circuit.recoveryAgeUs(atUs));
    return route.pacing().lastSendUs()
        + (long) (circuit.recoveryIntervalUs() * route.pacing().lastCallWeight() / overloadShare);
  }

  /** Returns when the passing of time alone may allow a route to send more than now. */
  long nextChangeUs(final Route route) {
    final long allowedAtUs = sendAllowedAtUs(route);
    return allowedAtUs > state.nowUs
        ? earliestSendUs(route, allowedAtUs)
        : nextEndpointChangeUs(route);
  }

  /**
   * Finds by bisection when the next call may be sent, at the latest at a given time: during a
   * recovery, the interval of calls shrinks as time passes.
   */
  private long earliestSendUs(final Route route, final long allowedAtUs) {
    if (!route.circuit().isRecovering() || allowedAtUs == OverloadController.NEVER) {
      return allowedAtUs;
    }
    long tooEarlyUs = state.nowUs;
    long allowedUs = allowedAtUs;
    while (allowedUs - tooEarlyUs > 1) {
      final long middleUs = (tooEarlyUs + allowedUs) >>> 1;
      if (sendAllowedAtUs(route, middleUs) > middleUs) {
        tooEarlyUs = middleUs;
      } else {
        allowedUs = middleUs;
      }
    }
    return allowedUs;
  }

  private long nextEndpointChangeUs(final Route route) {
    final boolean avoidsClasses = route.circuit().isClosed();
    long nextUs = OverloadController.NEVER;
    for (final EndpointHealth endpoint : route.endpoints()) {
      nextUs = Math.min(nextUs, endpoint.directives().nextExpiryUs(state.nowUs));
      if (avoidsClasses) {
        nextUs = Math.min(nextUs, endpoint.nextClassReturnUs(state.nowUs));
      }
    }
    return nextUs;
  }
}
