package thistleturn.decisions;

import java.util.TreeSet;

/** Schedules the next decision round at the host, unless one is already scheduled as early. */
final class WakeUpScheduler {
  private final ControllerState state;
  private final TreeSet<Long> scheduledUs = new TreeSet<>();

  WakeUpScheduler(final ControllerState state) {
    this.state = state;
  }

  /** Schedules a round at a given time, or right after this one if that time has passed. */
  void wakeAt(final long atUs) {
    scheduledUs.headSet(state.nowUs + 1).clear();
    if (scheduledUs.isEmpty() || scheduledUs.first() > atUs) {
      scheduledUs.add(Math.max(state.nowUs + 1, atUs));
      state.actions.scheduleDecision(scheduledUs.first() - state.nowUs);
    }
  }
}
