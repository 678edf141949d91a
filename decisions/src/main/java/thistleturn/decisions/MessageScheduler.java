package thistleturn.decisions;

import thistleturn.decisions.model.Idempotence;

/**
 * Which message goes next, over all lanes and within one; and which is worth least when room must
 * be made.
 */
final class MessageScheduler {
  /**
   * Chance that a message put off is served after all, in a short line; half of it in a long one.
   */
  private static final double DEFERRED_SERVICE_CHANCE = 0.9;

  private final ControllerState state;
  private final SendPermission sendPermission;
  private final EndpointSelector endpointSelector;
  private final RetryPolicy retryPolicy;
  private final PriorityValue priorityValue;

  /**
   * {@code lookUs}: the time that is given to a look at what time alone has changed, us; 0: all,
   * always.
   */
  MessageScheduler(
      final ControllerState state,
      final SendPermission gate,
      final EndpointSelector choice,
      final RetryPolicy attempts,
      final long lookUs) {
    this.state = state;
    this.sendPermission = gate;
    this.endpointSelector = choice;
    this.retryPolicy = attempts;
    this.priorityValue = new PriorityValue(state.settings);
    state.initializeRankings(this::urgency, this::shedPriority, lookUs);
  }

  /** Of a lane that may send, how urgent the message to go is among those of other lanes. */
  private double urgency(final ReadyRoute entry) {
    final Route lane = entry.route;
    if (lane.destination.waitingMessages == 0) {
      state.routeTimers.remove(lane.recheckTimer);
      return Double.NEGATIVE_INFINITY;
    }
    lane.destination.catchUpIdleSteps(state.stepCount);
    state.routeTimers.schedule(lane.recheckTimer, sendPermission.nextChangeUs(lane));
    entry.selected =
        sendPermission.sendAllowedAtUs(lane) <= state.nowUs
            ? selectMessage(lane.destination, lane, null)
            : null;
    if (entry.selected == null) {
      return Double.NEGATIVE_INFINITY;
    }
    final int kind = entry.selected.message.classIndex();
    final double urgency =
        urgency(entry.selected, expectedCompletionUs(lane, kind), lane.destination.lookAheadUs());
    // Where not all can be served, slots go where they serve most.
    return entry.rankingMode == 0
        ? urgency
        : urgency / state.latencies.publishedExpectedUs(lane, kind);
  }

  /**
   * The most urgent message for a lane (a node, if given); trials risk first what is lost anyway.
   */
  PendingMessage selectMessage(
      final Destination destination, final Route lane, final EndpointHealth node) {
    PendingMessage best = null;
    int bestRisk = 0;
    double bestUrgency = 0;
    final long horizonUs = destination.lookAheadUs();
    for (final DeadlineGroup group : destination.groups) {
      final int risk =
          lane.circuitState != CircuitState.OUT || group.mayHaveExecuted
              ? 0
              : 1 + group.idempotence().ordinal();
      if (group.blocked
          || (best != null && risk > bestRisk)
          || !retryPolicy.fitsBeforeStop(lane, group)
          || (node == null && endpointSelector.select(lane, group, null) == null)
          || (node != null
              && (!group.allowsZoneOf(node)
                  || group.idempotence() == Idempotence.NON_IDEMPOTENT))) {
        continue;
      }
      final long doneUs = expectedCompletionUs(lane, group.classIndex);
      final PendingMessage job =
          group.greatest(
              priorityValue.urgencyBreakpoints(group, doneUs, horizonUs),
              one -> urgency(one, doneUs, horizonUs));
      final double urgency = urgency(job, doneUs, horizonUs);
      if (best == null
          || risk < bestRisk
          || urgency > bestUrgency
          || (urgency == bestUrgency && job.queuePosition < best.queuePosition)) {
        best = job;
        bestRisk = risk;
        bestUrgency = urgency;
      }
    }
    return best;
  }

  /** What a message loses by waiting for as long as its destination's line takes. */
  private double urgency(final PendingMessage job, final long doneUs, final long horizonUs) {
    final double kept =
        DEFERRED_SERVICE_CHANCE / (1 + (double) horizonUs / Destination.MAX_LOOK_AHEAD_US);
    return priorityValue.valueAt(job, doneUs)
        - kept * priorityValue.valueAt(job, doneUs + horizonUs);
  }

  /** When a message would be done if it went now, with the class's time as it was last noted. */
  private long expectedCompletionUs(final Route lane, final int kind) {
    return state.nowUs + (long) state.latencies.publishedExpectedUs(lane, kind);
  }

  /**
   * Of a line, the worth (below nothing) of the message that is worth least when its turn comes.
   */
  private double shedPriority(final Destination destination) {
    destination.catchUpIdleSteps(state.stepCount);
    destination.leastValuable = null;
    double least = Double.POSITIVE_INFINITY;
    final long atUs = state.nowUs + destination.queueDrainUs();
    for (final DeadlineGroup group : destination.groups) {
      if (!group.mayShed()) {
        continue;
      }
      final PendingMessage job =
          group.greatest(
              priorityValue.valueBreakpoints(group, atUs),
              one -> -priorityValue.valueAt(one, Math.min(atUs, one.retryDeadlineUs() - 1)));
      final double its = priorityValue.valueAt(job, Math.min(atUs, job.retryDeadlineUs() - 1));
      if (its < least
          || (its == least && job.queuePosition < destination.leastValuable.queuePosition)) {
        least = its;
        destination.leastValuable = job;
      }
    }
    return -least;
  }
}
