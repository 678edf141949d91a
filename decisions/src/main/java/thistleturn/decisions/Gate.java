package thistleturn.decisions;

import thistleturn.decisions.Courier.Weights;

/**
 * When a lane may send: its window, its waits and pauses, the rate it is held to, single trials
 * while it is out, and the pace of its return. What other subsystems say of it ({@link
 * thistleturn.decisions.directives.Directives}) enters here.
 */
final class Gate {
  private final State state;
  private final Window window;

  Gate(final State state, final Window window) {
    this.state = state;
    this.window = window;
  }

  /** When a lane's waits and guards let a call go; never, while its window is full. */
  long openAtUs(final Lane lane) {
    return openAtUs(lane, state.nowUs);
  }

  /** The same, as it is reckoned at that moment: a ramp gets steeper with time. */
  long openAtUs(final Lane lane, final long atUs) {
    // Single calls that are silent while others are served hold slots, but not the lane's window.
    final int stray = state.learns ? lane.fallen - lane.silent : 0;
    if (lane.calls - stray >= window.cap(lane) || lane.calls >= window.most(lane)) {
      return Control.NEVER;
    }
    final boolean exact = state.settings.weights() == Weights.NOMINAL && lane.told > 0;
    final double rate = exact ? Math.min(lane.told, lane.spacing) : lane.spacing;
    final long guardUs =
        switch (lane.phase) {
          case WELL -> lane.spacedUntilUs(rate, atUs);
          case OUT -> lane.calls == 0 ? lane.nextTrialUs : Control.NEVER;
          case RAMP ->
              lane.lastSendUs
                  + (long)
                      (lane.rampSpanUs
                          * lane.lastWeight
                          / state.settings.guarantees().tippingShare(atUs - lane.rampFromUs));
        };
    return Math.max(
        lane.destination.words.earliestCallUs(lane.lastSendUs, atUs),
        Math.max(guardUs, Math.max(lane.waitUntilUs, lane.pausedUntilUs())));
  }

  /** When a lane may be able to send more than now by the passing of time alone. */
  long lookUs(final Lane lane) {
    long highUs = openAtUs(lane);
    if (highUs > state.nowUs) {
      // On a ramp the moment comes nearer while it is waited for.
      long lowUs = lane.phase == Phase.RAMP && highUs != Control.NEVER ? state.nowUs : highUs;
      while (highUs - lowUs > 1) {
        final long middleUs = (lowUs + highUs) >>> 1;
        lowUs = openAtUs(lane, middleUs) > middleUs ? middleUs : lowUs;
        highUs = lowUs == middleUs ? highUs : middleUs;
      }
      return highUs;
    }
    long next = Control.NEVER;
    for (final Node node : lane.nodes) {
      next = Math.min(next, node.words.nextExpiryUs(state.nowUs));
      for (int kind = 0; kind < node.avoidUntilUs.length && lane.phase == Phase.WELL; kind++) {
        next =
            node.avoidUntilUs[kind] > state.nowUs ? Math.min(next, node.avoidUntilUs[kind]) : next;
      }
    }
    return next;
  }
}
