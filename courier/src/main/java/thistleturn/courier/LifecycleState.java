package thistleturn.courier;

import java.util.EnumSet;
import java.util.Set;

/** The states of a courier process and the transitions between them. */
enum LifecycleState {
  /** The start is in progress, or the process waits for a handover. */
  STARTING,
  /** All shards decide; not every listener accepts clients yet. */
  OPENING_LISTENERS,
  /** Clients are accepted. */
  SERVING,
  /** A newer process accepts clients; this one completes its calls in flight. */
  HANDED_OVER,
  /** A shutdown was requested. */
  SHUTTING_DOWN,
  /** The event loops have ended, and all resources are released. */
  TERMINATED;

  /** Returns whether a process in this state may move to {@code next}. */
  boolean allows(final LifecycleState next) {
    return successors().contains(next);
  }

  private Set<LifecycleState> successors() {
    return switch (this) {
      case STARTING -> EnumSet.of(OPENING_LISTENERS, TERMINATED);
      case OPENING_LISTENERS -> EnumSet.of(SERVING, SHUTTING_DOWN, TERMINATED);
      case SERVING -> EnumSet.of(HANDED_OVER, SHUTTING_DOWN, TERMINATED);
      case HANDED_OVER -> EnumSet.of(SERVING, SHUTTING_DOWN, TERMINATED);
      case SHUTTING_DOWN -> EnumSet.of(TERMINATED);
      case TERMINATED -> EnumSet.noneOf(LifecycleState.class);
    };
  }
}
