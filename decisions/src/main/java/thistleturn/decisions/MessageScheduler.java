package thistleturn.decisions;

/**
 * Selects the message to be sent next, over all routes and within one, and the least valuable
 * message when messages must be shed.
 */
final class MessageScheduler {
  /**
   * Probability that a deferred message is still served in a short queue; half of it in a long one.
   */
  private static final double DEFERRED_SERVICE_CHANCE = 0.9;

  private final ControllerState state;
  private final SendPermission sendPermission;
  private final EndpointSelector endpointSelector;
  private final RetryPolicy retryPolicy;
  private final PriorityValue priorityValue;

  /**
   * Creates the scheduler and initializes the rankings of the state.
   *
   * @param rankingBudgetUs the time budget for re-ranking what time alone has changed, us; 0: no
   *     limit
   */
  MessageScheduler(
      final ControllerState state,
      final SendPermission sendPermission,
      final EndpointSelector endpointSelector,
      final RetryPolicy retryPolicy,
      final long rankingBudgetUs) {
    this.state = state;
    this.sendPermission = sendPermission;
    this.endpointSelector = endpointSelector;
    this.retryPolicy = retryPolicy;
    this.priorityValue = new PriorityValue(state.settings);
    state.initializeRankings(this::urgency, this::shedPriority, rankingBudgetUs);
  }

  /**
   * Selects the message that a route would send now and returns its urgency, by which routes are
   * ranked; negative infinity if there is none.
   */
  private double urgency(final ReadyRoute entry) {
    final Route route = entry.route();
    final Destination destination = route.destination();
    if (destination.waitingMessages() == 0) {
      state.routeTimers.remove(route.recheckTimer());
      return Double.NEGATIVE_INFINITY;
    }
    destination.catchUpIdleSteps(state.stepCount);
    state.routeTimers.schedule(route.recheckTimer(), sendPermission.nextChangeUs(route));
    final boolean maySend = sendPermission.sendAllowedAtUs(route) <= state.nowUs;
    final PendingMessage message = maySend ? mostUrgent(destination, route, null) : null;
    entry.select(message == null ? null : earliestExpiringOfEqualValue(message, route, null));
    if (message == null) {
      return Double.NEGATIVE_INFINITY;
    }
    final int classIndex = message.classIndex();
    final double urgency =
        urgency(message, expectedCompletionUs(route, classIndex), destination.lookAheadUs());
    // When not all messages can be served, capacity goes where it gains most per time of a call.
    return entry.ranksByCallTime()
        ? urgency / state.latencies.publishedExpectedUs(route, classIndex)
        : urgency;
  }

  /** Returns the message to send next on a route, or to one endpoint of it if given, or null. */
  PendingMessage selectMessage(
      final Destination destination, final Route route, final EndpointHealth endpoint) {
    final PendingMessage message = mostUrgent(destination, route, endpoint);
    return message == null ? null : earliestExpiringOfEqualValue(message, route, endpoint);
  }

  /**
   * Replaces the most urgent message by the message of equal value that expires first, if the most
   * urgent one is already late and the whole queue can be served in time.
   *
   * <p>The urgency of late messages falls with their age. While the queue is served in time, that
   * order gains nothing, since each of them loses the same by waiting; but the oldest would be
   * served last, and expire without an attempt if messages keep arriving or the courier stalls. A
   * queue that takes longer is served by urgency: some of its messages expire in any order.
   */
  private PendingMessage earliestExpiringOfEqualValue(
      final PendingMessage mostUrgent, final Route route, final EndpointHealth endpoint) {
    final boolean isLate =
        mostUrgent.objectiveUs() <= expectedCompletionUs(route, mostUrgent.classIndex());
    if (!isLate || !route.circuit().isClosed() || !allServedInTime(mostUrgent, route)) {
      return mostUrgent;
    }
    PendingMessage first = mostUrgent;
    for (final DeadlineGroup group : mostUrgent.destination().groups()) {
      if (!group.isBlocked()
          && group.hasSameValueAs(mostUrgent.group())
          && maySend(group, route, endpoint)) {
        final PendingMessage candidate = firstThatOutlastsSharedCall(group, route);
        first = candidate != null && candidate.expiresBefore(first) ? candidate : first;
      }
    }
    return first;
  }

  /**
   * Returns the message of a group that expires first among those that may still share a call, or
   * null: one with less time left would need a call of its own, in place of one shared by several
   * others.
   */
  private PendingMessage firstThatOutlastsSharedCall(final DeadlineGroup group, final Route route) {
    final long neededUs = (long) retryPolicy.minTimeForSharedCallUs(route, group.classIndex());
    return group.firstValidUntil(state.nowUs + neededUs);
  }

  /**
   * Returns whether a message that is served after all others would still have half of its time
   * left.
   */
  private boolean allServedInTime(final PendingMessage message, final Route route) {
    final Destination destination = message.destination();
    final double drainUs =
        destination
            .backlogDrain()
            .drainUs(
                destination.waitingMessages(),
                state.nowUs,
                state.latencies.publishedExpectedUs(route, message.classIndex()));
    return 2 * drainUs <= message.retryDeadlineUs() - state.nowUs;
  }

  /**
   * Returns the most urgent message for a route, or for one endpoint of it if given, or null.
   * Trials of an open circuit first use the messages that lose least by a failure.
   */
  private PendingMessage mostUrgent(
      final Destination destination, final Route route, final EndpointHealth endpoint) {
    PendingMessage best = null;
    int bestRisk = 0;
    double bestUrgency = 0;
    final long lookAheadUs = destination.lookAheadUs();
    for (final DeadlineGroup group : destination.groups()) {
      final int risk = trialRisk(route, group);
      if (group.isBlocked()
          || (best != null && risk > bestRisk)
          || !maySend(group, route, endpoint)) {
        continue;
      }
      final long doneUs = expectedCompletionUs(route, group.classIndex());
      final PendingMessage message =
          group.greatest(
              priorityValue.urgencyBreakpoints(group, doneUs, lookAheadUs),
              candidate -> urgency(candidate, doneUs, lookAheadUs));
      final double urgency = urgency(message, doneUs, lookAheadUs);
      if (best == null
          || risk < bestRisk
          || urgency > bestUrgency
          || (urgency == bestUrgency && message.queuePosition() < best.queuePosition())) {
        best = message;
        bestRisk = risk;
        bestUrgency = urgency;
      }
    }
    return best;
  }

  /** Returns the risk rank of a message of a group in a trial; 0 while the circuit is not open. */
  private static int trialRisk(final Route route, final DeadlineGroup group) {
    return !route.circuit().isOpen() || group.mayHaveExecuted()
        ? 0
        : 1 + group.idempotence().ordinal();
  }

  private boolean maySend(
      final DeadlineGroup group, final Route route, final EndpointHealth endpoint) {
    if (!retryPolicy.fitsBeforeStop(route, group)) {
      return false;
    }
    return endpoint == null
        ? endpointSelector.select(route, group, null) != null
        : group.allowsZoneOf(endpoint) && group.mayShareCall();
  }

  /**
   * Returns the value that a message is expected to lose if it waits for as long as its queue
   * takes.
   */
  private double urgency(final PendingMessage message, final long doneUs, final long lookAheadUs) {
    final double servedChance =
        DEFERRED_SERVICE_CHANCE / (1 + (double) lookAheadUs / Destination.MAX_LOOK_AHEAD_US);
    return priorityValue.valueAt(message, doneUs)
        - servedChance * priorityValue.valueAt(message, doneUs + lookAheadUs);
  }

  /**
   * Returns when a message would complete if it were sent now, by the published mean latency of its
   * class.
   */
  private long expectedCompletionUs(final Route route, final int classIndex) {
    return state.nowUs + (long) state.latencies.publishedExpectedUs(route, classIndex);
  }

  /** Finds the message of a destination to be shed first; returns its negated value. */
  private double shedPriority(final Destination destination) {
    destination.catchUpIdleSteps(state.stepCount);
    PendingMessage least = null;
    double leastValue = Double.POSITIVE_INFINITY;
    final long servedUs = state.nowUs + destination.queueDrainUs();
    for (final DeadlineGroup group : destination.groups()) {
      if (!group.mayShed()) {
        continue;
      }
      final PendingMessage message =
          group.greatest(
              priorityValue.valueBreakpoints(group, servedUs),
              candidate -> -valueWhenServed(candidate, servedUs));
      final double value = valueWhenServed(message, servedUs);
      if (value < leastValue
          || (value == leastValue && message.queuePosition() < least.queuePosition())) {
        leastValue = value;
        least = message;
      }
    }
    destination.setLeastValuable(least);
    return -leastValue;
  }

  private double valueWhenServed(final PendingMessage message, final long servedUs) {
    return priorityValue.valueAt(message, Math.min(servedUs, message.retryDeadlineUs() - 1));
  }
}
