package thistleturn.decisions;

import java.util.TreeSet;

/** Asks the host for the next decision round, unless it has been asked for one as early. */
final class WakeUpScheduler {
  private final ControllerState state;
  private final TreeSet<Long> scheduledUs = new TreeSet<>();

  WakeUpScheduler(final ControllerState state) {
    this.state = state;
  }

  /** Asks for a round at a time, or right after this one if that time has come. */
  void wakeAt(final long atUs) {
    scheduledUs.headSet(state.nowUs + 1).clear();
    if (scheduledUs.isEmpty() || scheduledUs.first() > atUs) {
      scheduledUs.add(Math.max(state.nowUs + 1, atUs));
      state.actions.scheduleDecision(scheduledUs.first() - state.nowUs);
    }
  }
}
