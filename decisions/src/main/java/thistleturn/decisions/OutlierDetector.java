package thistleturn.decisions;

import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.LoadReport;

/**
 * Records the outcomes of attempts in the latency, the capacity and the health of their endpoint
 * and route. Opens the circuit of a route that has failed, and begins its recovery.
 *
 * <p>Statistics that count calls count each message as its fraction of the call: five messages
 * rejected in one call are one rejection.
 */
final class OutlierDetector {
  /**
   * Longest Retry-After that a rate limit sends, us: the windows of rate limits last a second or
   * two.
   */
  private static final long MAX_RATE_LIMIT_WAIT_US = 5 * OverloadController.SECOND_US / 2;

  /** Weight of a rejection in the run of faults, where a failure weighs 1. */
  private static final double REJECTION_WEIGHT = 0.5;

  /** Weight of an error response in the run of faults. */
  private static final double ERROR_WEIGHT = 0.4;

  /** How long an endpoint is avoided after a failure, us. */
  private static final long AVOID_US = OverloadController.SECOND_US;

  private final ControllerState state;
  private final ConcurrencyPolicy concurrencyPolicy;
  private final IdleConnectionPolicy idleConnections;

  OutlierDetector(
      final ControllerState state,
      final ConcurrencyPolicy concurrencyPolicy,
      final IdleConnectionPolicy idleConnections) {
    this.state = state;
    this.concurrencyPolicy = concurrencyPolicy;
    this.idleConnections = idleConnections;
  }

  // ---------------------------------------------------------------- outcomes

  /** Records the outcome of an attempt to deliver a message. */
  void recordOutcome(
      final InFlightCall call, final PendingMessage message, final AttemptOutcome outcome) {
    final Route route = call.route();
    recordLoadReport(route, outcome.loadReport());
    final int classIndex = message.classIndex();
    final boolean firstFault = !route.circuit().isFaulty();
    route.circuit().markFaultySince(state.nowUs);
    // Any answer may carry a Retry-After, even one that delivers some messages of the call.
    route.pacing().holdUntil(state.nowUs + outcome.retryAfterUs());
    if (call.isTimeoutOfHostPause(outcome.result())) {
      unmarkFirstFault(route, firstFault);
      return;
    }
    switch (outcome.result()) {
      case DELIVERED -> recordDelivery(call, classIndex, outcome.durationUs());
      case REFUSED -> recordRejection(call, message, outcome.retryAfterUs(), firstFault);
      case ERROR -> recordError(call);
      case TIMED_OUT, RESET, NO_CONNECTION, CANCELLED, STALE ->
          recordFailure(call, classIndex, outcome.result(), firstFault);
      case NOT_SENT -> unmarkFirstFault(route, firstFault);
    }
  }

  private void recordLoadReport(final Route route, final LoadReport report) {
    if (report != null) {
      route.step().recordLoadReport(report);
      route
          .pacing()
          .setReportedLimit(report.callsPerSecond(), SendPacing.SOURCE_DESTINATION, state.nowUs);
    }
  }

  /** Clears the fault mark of a route if this outcome has set it: it is no sign of a fault. */
  private static void unmarkFirstFault(final Route route, final boolean firstFault) {
    if (firstFault) {
      route.circuit().clearFaulty();
    }
  }

  private void recordError(final InFlightCall call) {
    final Route route = call.route();
    route.step().recordError(call.partPerMessage());
    route.circuit().recordFailure(call.partPerMessage());
    addFault(route, call.partPerMessage() * ERROR_WEIGHT);
  }

  // ---------------------------------------------------------------- deliveries

  private void recordDelivery(
      final InFlightCall call, final int classIndex, final long durationUs) {
    final Route route = call.route();
    final CircuitBreaker circuit = route.circuit();
    final double part = call.partPerMessage();
    final double latencyRatio = state.latencies.recordLatency(route, classIndex, durationUs);
    route.step().recordDelivery(part, latencyRatio);
    route.destination().backlogDrain().recordDelivery(state.nowUs);
    call.endpoint().recordSuccess(classIndex, state.nowUs, durationUs);
    if (state.classifiesFaults) {
      recordAvailableCapacity(call, latencyRatio);
    }
    circuit.endFaultRun();
    route.latency().narrowTimeouts();
    circuit.recordSuccess(part);
    if (circuit.isOpen()) {
      beginRecovery(route, state.nowUs);
    }
    circuit.clearFaulty();
  }

  /** Records that a call was served: there was capacity for it, and there may be more. */
  private void recordAvailableCapacity(final InFlightCall call, final double latencyRatio) {
    final Route route = call.route();
    if (route.rejections().initialGrowth().recordServed(latencyRatio)) {
      concurrencyPolicy.growOnSuccess(route, call.partPerMessage());
    }
    if (call.isComplete()) {
      route.recordCompletedCall(call, state.nowUs);
    }
  }

  // ---------------------------------------------------------------- rejections

  private void recordRejection(
      final InFlightCall call,
      final PendingMessage message,
      final long retryAfterUs,
      final boolean firstFault) {
    if (state.classifiesFaults && retryAfterUs == 0 && isStrayRejection(call, message)) {
      unmarkFirstFault(call.route(), firstFault);
    } else {
      backOff(call, retryAfterUs);
    }
  }

  /**
   * Backs off after a rejection that is not stray, and adds it to the run of faults of the route.
   */
  private void backOff(final InFlightCall call, final long retryAfterUs) {
    final Route route = call.route();
    route.step().recordRejection(call.partPerMessage());
    route.pacing().rateShare().recordRejected(state.nowUs);
    final long fromUs = Math.max(state.nowUs, route.pacing().retryAfterUntilUs());
    final long backoffUs = state.recoveryPacer.backoffUs(route, fromUs);
    final long randomizedUs =
        retryAfterUs > 0
            ? (long) (state.random.nextDouble() * backoffUs)
            : state.recoveryPacer.jitter(backoffUs);
    route.pacing().backOffUntil(fromUs + randomizedUs);
    addFault(route, rejectionWeight(call, retryAfterUs));
  }

  /**
   * Returns what a rejection adds to the run of faults. A Retry-After too long for a rate limit is
   * an outage by itself; of several rejections that are one signal, only the first counts.
   */
  private double rejectionWeight(final InFlightCall call, final long retryAfterUs) {
    final boolean sameSignal =
        state.classifiesFaults
            && call.route().rejections().isSameSignal(call.sentUs(), state.nowUs);
    if (retryAfterUs > MAX_RATE_LIMIT_WAIT_US) {
      return CircuitBreaker.OUTAGE_FAULT_RUN;
    }
    return sameSignal ? 0 : call.partPerMessage() * REJECTION_WEIGHT;
  }

  /**
   * Returns whether a rejection is stray: not caused by the load on the route, so that its message
   * may be retried at once. An endpoint that alone rejects a class is avoided for that class; noise
   * is retried within the retry budget.
   */
  private boolean isStrayRejection(final InFlightCall call, final PendingMessage message) {
    message.recordRejection(call.endpoint());
    if (!call.isRejectionClassified() && call.route().circuit().isClosed()) {
      call.classifyRejection(isStrayRejection(call, message.classIndex()));
    }
    return call.isRejectionUnrelatedToLoad();
  }

  private boolean isStrayRejection(final InFlightCall call, final int classIndex) {
    final Route route = call.route();
    final RejectionHistory rejections = route.rejections();
    if (avoidIfRejectedAlone(call.endpoint(), classIndex)) {
      return true;
    }
    rejections.classifier().recordRejected(call.sentUs(), state.nowUs);
    if (rejections.isNoise(state.nowUs)) {
      if (rejections.retryBudget().tryAcquire()) {
        return true;
      }
      route.treatRejectionsAsLoad(state.nowUs);
    }
    if (rejections.initialGrowth().recordRejected()) {
      route.window().halve();
    }
    if (call.isProbe()) {
      rejections.classifier().recordProbe(false, state.nowUs);
    }
    rejections.allowProbe();
    return false;
  }

  /** Avoids an endpoint for a class that only this endpoint rejects; returns whether it does. */
  private boolean avoidIfRejectedAlone(final EndpointHealth endpoint, final int classIndex) {
    final RejectionHistory rejections = endpoint.route().rejections();
    final long avoidUs =
        endpoint
            .classStatistics(classIndex)
            .recordRejected(rejections.completedCalls(), rejections.countRejectedCall());
    if (avoidUs > 0) {
      endpoint.avoidClassUntil(classIndex, state.nowUs + state.recoveryPacer.jitter(avoidUs));
    }
    return avoidUs > 0;
  }

  // ---------------------------------------------------------------- failures

  /**
   * Records an attempt that got no answer, and attributes its failure to a stale connection, to the
   * single call or to the endpoint.
   */
  private void recordFailure(
      final InFlightCall call,
      final int classIndex,
      final AttemptResult result,
      final boolean firstFault) {
    if (call.failedOnStaleConnection(result, call.endpoint().failureRun(classIndex))) {
      recordStaleConnection(call, classIndex, result, firstFault);
    } else if (state.classifiesFaults && call.isIsolatedFailure(classIndex, result)) {
      recordIsolatedFailure(call, classIndex, firstFault);
    } else {
      recordEndpointFailure(call, classIndex, result, firstFault);
    }
  }

  /**
   * Records a failure on a stale connection. It does not indicate a fault of the endpoint, but the
   * other idle connections to it may be stale too and are closed.
   */
  private void recordStaleConnection(
      final InFlightCall call,
      final int classIndex,
      final AttemptResult result,
      final boolean firstFault) {
    final EndpointHealth endpoint = call.endpoint();
    unmarkFirstFault(call.route(), firstFault);
    if (result != AttemptResult.STALE) {
      endpoint.recordFailure(classIndex, call.partPerMessage());
    }
    endpoint.dropConnections();
    state.actions.closeIdleConnections(endpoint.id());
  }

  private void recordIsolatedFailure(
      final InFlightCall call, final int classIndex, final boolean firstFault) {
    unmarkFirstFault(call.route(), firstFault);
    call.endpoint().recordFailure(classIndex, call.partPerMessage());
    dropConnectionOf(call);
    call.route().circuit().recordFailure(call.partPerMessage());
    addFault(call.route(), call.partPerMessage());
  }

  private void recordEndpointFailure(
      final InFlightCall call,
      final int classIndex,
      final AttemptResult result,
      final boolean firstFault) {
    final Route route = call.route();
    final EndpointHealth endpoint = call.endpoint();
    route.step().recordFailure(call.partPerMessage());
    if (result == AttemptResult.TIMED_OUT || result == AttemptResult.CANCELLED) {
      route.latency().widenTimeouts();
    }
    if (firstFault && !call.isCancelled() && result != AttemptResult.NO_CONNECTION) {
      idleConnections.recordStaleConnection(call);
    }
    endpoint.recordFailure(classIndex, call.partPerMessage());
    avoid(endpoint, classIndex, call.sentUs());
    dropConnectionOf(call);
    if (result != AttemptResult.NO_CONNECTION || endpoint.lastSuccessUs() <= call.sentUs()) {
      recordRouteFailure(route, call.partPerMessage());
    }
  }

  private void recordRouteFailure(final Route route, final double part) {
    route.circuit().recordFailure(part);
    if (InFlightCall.isCommonFailure(route.circuit().failureRatio())) {
      route.rejections().initialGrowth().stop();
    }
    addFault(route, part);
  }

  /**
   * Avoids an endpoint for the class of a failed call, and for all classes if no call to it has
   * succeeded since that one was sent.
   */
  private void avoid(final EndpointHealth endpoint, final int classIndex, final long sentUs) {
    if (!endpoint.hasSucceededSince(sentUs)) {
      endpoint.avoidAllUntil(state.nowUs + state.recoveryPacer.jitter(AVOID_US));
    }
    endpoint.avoidClassUntil(classIndex, state.nowUs + state.recoveryPacer.jitter(AVOID_US));
  }

  private static void dropConnectionOf(final InFlightCall call) {
    if (call.isComplete()) {
      call.endpoint().dropOneConnection();
    }
  }

  // ---------------------------------------------------------------- circuit

  /**
   * Checks a route for what time alone brings about: unresponsive calls, or the end of its
   * recovery.
   */
  void checkCircuit(final Route route) {
    openCircuitIfFailed(route);
    final long warmUpUs = state.settings.guarantees().warmUpUs();
    final CircuitBreaker circuit = route.circuit();
    if (circuit.isRecovering() && circuit.recoveryAgeUs(state.nowUs) > warmUpUs) {
      circuit.completeRecovery();
      if (state.classifiesFaults) {
        route.resumeAfterRecovery(state.nowUs + warmUpUs);
      }
    }
  }

  /** Adds to the run of faults of a route, and opens its circuit if they amount to an outage. */
  private void addFault(final Route route, final double weight) {
    route.circuit().addFault(weight);
    openCircuitIfFailed(route);
  }

  private void openCircuitIfFailed(final Route route) {
    route.recordFaultCheck(state.tick, state.nowUs);
    final CircuitBreaker circuit = route.circuit();
    if (!circuit.isOpen() && circuit.isOutage(route.unresponsiveCalls())) {
      openCircuit(route, state.nowUs);
    }
  }

  private void openCircuit(final Route route, final long faultSinceUs) {
    state.circuitTransitions++;
    route.circuit().markFaultySince(faultSinceUs);
    route.circuit().open();
    route.window().collapse();
    route.circuit().scheduleTrial(state.recoveryPacer.nextTrialUs(route, state.nowUs));
  }

  /**
   * Begins the recovery of a route: its calls are paced from now on.
   *
   * @param sinceUs when the destination began to warm up
   */
  void beginRecovery(final Route route, final long sinceUs) {
    state.circuitTransitions++;
    final double intervalUs = state.recoveryPacer.backoffUs(route, state.nowUs);
    route.circuit().beginRecovery(sinceUs, intervalUs);
    state.scheduleRecoveryEnd(route);
  }

  // ---------------------------------------------------------------- directives

  /**
   * Applies a directive of another subsystem to a route. An outage, or its end, is ignored if later
   * outcomes of this courier's own calls contradict it.
   */
  void applyDirective(final Route route, final Directive directive) {
    switch (directive.kind()) {
      case LIMIT ->
          route.pacing().setReportedLimit(directive.value(), directive.source(), state.nowUs);
      case OUTAGE -> applyOutage(route, (long) directive.value());
      case RETURN -> applyReturn(route, (long) directive.value());
      default -> {
        // All other directives are evaluated where they apply, for as long as they are active.
      }
    }
  }

  private void applyOutage(final Route route, final long sinceUs) {
    final boolean succeededSince =
        route.endpoints().stream().anyMatch(endpoint -> endpoint.hasSucceededSince(sinceUs));
    if (route.circuit().isClosed() && !succeededSince) {
      openCircuit(route, sinceUs);
    }
  }

  /**
   * Begins the recovery at the time that the directive gives to all couriers, so that their
   * recovery ramps coincide.
   */
  private void applyReturn(final Route route, final long sinceUs) {
    final CircuitBreaker circuit = route.circuit();
    if (circuit.isOpen() && circuit.faultSinceUs() < sinceUs) {
      beginRecovery(route, Math.min(state.nowUs, sinceUs));
      circuit.clearFaulty();
      circuit.endFaultRun();
    }
  }
}
