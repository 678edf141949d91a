package thistleturn.courier;

/**
 * The lifecycle of one courier process as a state machine.
 *
 * <p>All transitions happen on the courier's first event loop, except the last one: {@link
 * #onTerminated()} is called once the event loops have ended.
 */
final class Lifecycle {
  private volatile LifecycleState state = LifecycleState.STARTING;

  /** Returns whether all shards decide, so that the courier can be queried and shut down. */
  boolean hasStarted() {
    return state != LifecycleState.STARTING;
  }

  /** Returns whether this process accepts clients. */
  boolean isServing() {
    return state == LifecycleState.SERVING;
  }

  /** Returns whether a shutdown was requested. */
  boolean isShuttingDown() {
    return state == LifecycleState.SHUTTING_DOWN;
  }

  /** All shards decide; the listeners are opened next. */
  void onShardsStarted() {
    moveTo(LifecycleState.OPENING_LISTENERS);
  }

  /**
   * Every listener accepts clients. A process that is shutting down stays in that state, and one
   * that resumes deciding before its successor accepted clients never stopped serving.
   */
  void onListening() {
    if (!isShuttingDown() && !isServing()) {
      moveTo(LifecycleState.SERVING);
    }
  }

  /**
   * A newer process accepts clients; that can be reported more than once, and during a shutdown.
   */
  void onSuccessorListening() {
    if (isServing()) {
      moveTo(LifecycleState.HANDED_OVER);
    }
  }

  /** A graceful shutdown begins. */
  void onShutdownStarted() {
    moveTo(LifecycleState.SHUTTING_DOWN);
  }

  /** All resources are released; a second call, possibly on another thread, changes nothing. */
  synchronized void onTerminated() {
    if (state != LifecycleState.TERMINATED) {
      moveTo(LifecycleState.TERMINATED);
    }
  }

  private void moveTo(final LifecycleState next) {
    if (!state.allows(next)) {
      throw new IllegalStateException(
          "courier lifecycle: cannot move from " + state + " to " + next);
    }
    state = next;
  }
}
