package thistleturn.decisions;

import java.util.List;

/** Takes a step once a second for each route that was active since the last one. */
final class RouteStepper {
  static final long STEP_US = OverloadController.SECOND_US;

  /** Relative change from which the mean latency of a class is published again. */
  private static final double LATENCY_PUBLISH_THRESHOLD = 0.25;

  private final ControllerState state;
  private final ConcurrencyPolicy concurrencyPolicy;

  /** When the next step is due; 0 before the first round. */
  private long nextStepUs;

  RouteStepper(final ControllerState state, final ConcurrencyPolicy concurrencyPolicy) {
    this.state = state;
    this.concurrencyPolicy = concurrencyPolicy;
  }

  long nextStepUs() {
    return nextStepUs;
  }

  long lastStepUs() {
    return nextStepUs - STEP_US;
  }

  /** Returns whether a step is due; the first is due a second after the first round. */
  boolean isDue() {
    nextStepUs = nextStepUs == 0 ? state.nowUs + STEP_US : nextStepUs;
    return state.nowUs >= nextStepUs;
  }

  /** Takes the step; inactive routes catch up when they are used again. */
  void takeStep() {
    final List<Route> stepping = state.beginStep();
    for (final Route route : stepping) {
      route.beginStep(state.stepCount);
      concurrencyPolicy.step(route);
    }
    for (final Route route : stepping) {
      if (route.callsInFlight() > 0 || changesByTime(route)) {
        state.markChanged(route.destination());
      } else {
        state.rerank(route.destination());
      }
    }
    publishLatencies(LATENCY_PUBLISH_THRESHOLD);
    nextStepUs += STEP_US * ((state.nowUs - nextStepUs) / STEP_US + 1);
  }

  /** Returns whether the rate of a route, or the spacing of its calls, still changes with time. */
  private boolean changesByTime(final Route route) {
    final Destination destination = route.destination();
    if (destination.waitingMessages() == 0) {
      return false;
    }
    final double queueRate = route.serviceRate().messagesPerSecond() * destination.routes().size();
    return queueRate >= Destination.MIN_RATE || route.pacing().isSpaced(state.nowUs);
  }

  /**
   * Publishes the mean latencies that have changed by more than a ratio, and re-ranks all routes if
   * there are any.
   */
  void publishLatencies(final double threshold) {
    if (state.latencies.publishMeans(threshold)) {
      state.rerankAll();
    }
  }
}
