package thistleturn.decisions;

import thistleturn.decisions.model.WeightMeaning;

/**
 * When a lane may send: its window, its waits and pauses, the rate it is held to, single trials
 * while it is out, and the pace of its return. What other subsystems say of it ({@link
 * thistleturn.decisions.directives.Directives}) enters here.
 */
final class SendPermission {
  private final ControllerState state;
  private final ConcurrencyWindow concurrencyWindow;

  SendPermission(final ControllerState state, final ConcurrencyWindow window) {
    this.state = state;
    this.concurrencyWindow = window;
  }

  /** When a lane's waits and guards let a call go; never, while its window is full. */
  long sendAllowedAtUs(final Route lane) {
    return sendAllowedAtUs(lane, state.nowUs);
  }

  /** The same, as it is reckoned at that moment: a ramp gets steeper with time. */
  long sendAllowedAtUs(final Route lane, final long atUs) {
    // Single calls that are silent while others are served hold slots, but not the lane's window.
    final int stray = state.classifiesFaults ? lane.overdueCalls - lane.unresponsiveCalls : 0;
    if (lane.callsInFlight - stray >= concurrencyWindow.limit(lane)
        || lane.callsInFlight >= concurrencyWindow.maxLimit(lane)) {
      return OverloadController.NEVER;
    }
    final boolean exact =
        state.settings.weightMeaning() == WeightMeaning.NOMINAL && lane.reportedLimit > 0;
    final double rate =
        exact ? Math.min(lane.reportedLimit, lane.permittedRate) : lane.permittedRate;
    final long guardUs =
        switch (lane.circuitState) {
          case WELL -> lane.nextPacedSendUs(rate, atUs);
          case OUT -> lane.callsInFlight == 0 ? lane.nextTrialUs : OverloadController.NEVER;
          case RAMP ->
              lane.lastSendUs
                  + (long)
                      (lane.recoveryIntervalUs
                          * lane.lastCallWeight
                          / state.settings.guarantees().overloadShare(atUs - lane.recoverySinceUs));
        };
    return Math.max(
        lane.destination.directives.earliestCallUs(lane.lastSendUs, atUs),
        Math.max(guardUs, Math.max(lane.retryAfterUntilUs, lane.effectiveBackoffUntilUs())));
  }

  /** When a lane may be able to send more than now by the passing of time alone. */
  long nextChangeUs(final Route lane) {
    long highUs = sendAllowedAtUs(lane);
    if (highUs > state.nowUs) {
      // On a ramp the moment comes nearer while it is waited for.
      long lowUs =
          lane.circuitState == CircuitState.RAMP && highUs != OverloadController.NEVER
              ? state.nowUs
              : highUs;
      while (highUs - lowUs > 1) {
        final long middleUs = (lowUs + highUs) >>> 1;
        lowUs = sendAllowedAtUs(lane, middleUs) > middleUs ? middleUs : lowUs;
        highUs = lowUs == middleUs ? highUs : middleUs;
      }
      return highUs;
    }
    long next = OverloadController.NEVER;
    for (final EndpointHealth node : lane.endpoints) {
      next = Math.min(next, node.directives.nextExpiryUs(state.nowUs));
      for (int kind = 0;
          kind < node.avoidUntilUs.length && lane.circuitState == CircuitState.WELL;
          kind++) {
        next =
            node.avoidUntilUs[kind] > state.nowUs ? Math.min(next, node.avoidUntilUs[kind]) : next;
      }
    }
    return next;
  }
}
