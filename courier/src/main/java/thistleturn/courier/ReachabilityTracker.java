package thistleturn.courier;

import thistleturn.courier.port.Dispatcher;
import thistleturn.decisions.health.LocalHealth;
import thistleturn.decisions.model.AttemptResult;

/** Derives from answers and failed calls whether this courier itself is connected. */
final class ReachabilityTracker {
  private final LocalHealth health;
  private final Listener listener;

  /** Is told when this courier is connected again. */
  interface Listener {
    /**
     * Somebody answered after nobody had since {@code cutOffSinceUs}: destinations that failed
     * meanwhile may be healthy.
     */
    void onConnectivityRestored(long nowUs, long cutOffSinceUs);
  }

  ReachabilityTracker(final LocalHealth health, final Listener listener) {
    this.health = health;
    this.listener = listener;
  }

  /** A destination or the platform answered. */
  void recordResponse(final long nowUs) {
    if (health.isCutOff()) {
      listener.onConnectivityRestored(nowUs, health.cutOffSinceUs());
    }
    health.recordResponse(nowUs);
  }

  /** The platform did not answer. */
  void recordPlatformFailure(final long nowUs) {
    health.recordPlatformFailure(nowUs);
  }

  /** A call to a destination had this result. */
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
        // A call that this courier gave up, or that met a dead connection, says nothing.
      }
    }
  }
}
