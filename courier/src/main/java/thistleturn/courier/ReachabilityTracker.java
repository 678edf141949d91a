package thistleturn.courier;

import thistleturn.courier.port.Dispatcher;
import thistleturn.decisions.health.LocalHealth;
import thistleturn.decisions.model.AttemptResult;

/** Derives from answers and failed calls whether this courier itself is connected. */
final class ReachabilityTracker {
  private final LocalHealth health;
  private final Listener listener;

  /** Is notified when this courier is connected again. */
  interface Listener {
    /**
     * A destination or the platform answered, for the first time since {@code cutOffSinceUs}:
     * destinations that failed meanwhile may be healthy.
     */
    void onConnectivityRestored(long nowUs, long cutOffSinceUs);
  }

  ReachabilityTracker(final LocalHealth health, final Listener listener) {
    this.health = health;
    this.listener = listener;
  }

  /** Records that a destination or the platform answered. */
  void recordResponse(final long nowUs) {
    if (health.isCutOff()) {
      listener.onConnectivityRestored(nowUs, health.cutOffSinceUs());
    }
    health.recordResponse(nowUs);
  }

  /** Records that the platform did not answer. */
  void recordPlatformFailure(final long nowUs) {
    health.recordPlatformFailure(nowUs);
  }

  /** Records the result of a call to a destination. */
  void recordResult(
      final long destination,
      final Dispatcher.Call call,
      final AttemptResult result,
      final long nowUs) {
    switch (result) {
      case DELIVERED, ERROR, REFUSED -> recordResponse(nowUs);
      case NO_CONNECTION, TIMED_OUT ->
          health.recordNoResponse(destination, call.preparedUs(), nowUs);
      default -> {
        // A call that this courier abandoned, or whose connection was lost, shows nothing.
      }
    }
  }
}
