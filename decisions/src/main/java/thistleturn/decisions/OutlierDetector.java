package thistleturn.decisions;

import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.LoadReport;

/**
 * Reads the outcomes of attempts: what they say of the latency, the capacity and the health of
 * their endpoint and route. Opens the circuit of a route that has failed, and begins its recovery.
 *
 * <p>What is counted in calls gets a message's part of its call: five messages rejected together
 * are one rejection.
 */
final class OutlierDetector {
  /** A Retry-After above this, us, is no rate limit's, whose windows last a second or two. */
  private static final long MAX_RATE_LIMIT_WAIT_US = 5 * OverloadController.SECOND_US / 2;

  /** Weights in the run of faults, where a failure weighs 1. */
  private static final double REJECTION_WEIGHT = 0.5;

  private static final double ERROR_WEIGHT = 0.4;

  /** An endpoint that has failed is avoided this long, us. */
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
    // A Retry-After may stand in any answer, also one that delivers some of a call's messages.
    route.pacing().holdUntil(state.nowUs + outcome.retryAfterUs());
    if (call.isTimeoutOfHostPause(outcome.result())) {
      withdrawFault(route, firstFault);
      return;
    }
    switch (outcome.result()) {
      case DELIVERED -> recordDelivery(call, classIndex, outcome.durationUs());
      case REFUSED -> recordRejection(call, message, outcome.retryAfterUs(), firstFault);
      case ERROR -> recordError(call);
      case TIMED_OUT, RESET, NO_CONNECTION, CANCELLED, STALE ->
          recordFailure(call, classIndex, outcome.result(), firstFault);
      case NOT_SENT -> withdrawFault(route, firstFault);
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

  /** The outcome was no sign of a fault, nor was there one before if this was the first. */
  private static void withdrawFault(final Route route, final boolean firstFault) {
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

  /** A call served says that there was capacity, and that there may be more. */
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
      withdrawFault(call.route(), firstFault);
    } else {
      backOff(call, retryAfterUs);
    }
  }

  /** Heeds a rejection: the route backs off, and may be a step nearer to an outage. */
  private void backOff(final InFlightCall call, final long retryAfterUs) {
    final Route route = call.route();
    route.step().recordRejection(call.partPerMessage());
    route.pacing().rateShare().recordRejected(state.nowUs);
    final long fromUs = Math.max(state.nowUs, route.pacing().retryAfterUntilUs());
    final long backoffUs = state.recoveryPacer.backoffUs(route, fromUs);
    final long drawnUs =
        retryAfterUs > 0
            ? (long) (state.random.nextDouble() * backoffUs)
            : state.recoveryPacer.jitter(backoffUs);
    route.pacing().backOffUntil(fromUs + drawnUs);
    addFault(route, rejectionWeight(call, retryAfterUs));
  }

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
   * Returns whether a rejection does not answer to what the route is sent, so that its message may
   * be retried at once. If one endpoint or class alone is rejected, only that one is avoided; noise
   * is borne within a budget.
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

  /** Avoids an endpoint for a class that it alone rejects; returns whether it does. */
  private boolean avoidIfRejectedAlone(final EndpointHealth endpoint, final int classIndex) {
    final RejectionHistory rejections = endpoint.route().rejections();
    final long restUs =
        endpoint
            .classStatistics(classIndex)
            .recordRejected(rejections.completedCalls(), rejections.countRejectedCall());
    if (restUs > 0) {
      endpoint.avoidClassUntil(classIndex, state.nowUs + state.recoveryPacer.jitter(restUs));
    }
    return restUs > 0;
  }

  // ---------------------------------------------------------------- failures

  /** Nobody answered, or a connection broke: finds out what that is the fault of. */
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

  /** A stale connection says nothing of its endpoint, but of other idle connections to it. */
  private void recordStaleConnection(
      final InFlightCall call,
      final int classIndex,
      final AttemptResult result,
      final boolean firstFault) {
    final EndpointHealth endpoint = call.endpoint();
    withdrawFault(call.route(), firstFault);
    if (result != AttemptResult.STALE) {
      endpoint.recordFailure(classIndex, call.partPerMessage());
    }
    endpoint.dropConnections();
    state.actions.closeIdleConnections(endpoint.id());
  }

  private void recordIsolatedFailure(
      final InFlightCall call, final int classIndex, final boolean firstFault) {
    withdrawFault(call.route(), firstFault);
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

  /** Avoids an endpoint for the class that has failed; for all, if nothing has succeeded since. */
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

  /** Checks what time alone may have brought: unresponsive calls, or the end of a recovery. */
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

  /** Adds to the run of faults of a route, and opens its circuit if that amounts to an outage. */
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

  /** Paces a route from now on as one that began to warm up at a time. */
  void beginRecovery(final Route route, final long sinceUs) {
    state.circuitTransitions++;
    final double intervalUs = state.recoveryPacer.backoffUs(route, state.nowUs);
    route.circuit().beginRecovery(sinceUs, intervalUs);
    state.scheduleRecoveryEnd(route);
  }

  // ---------------------------------------------------------------- directives

  /** Applies what another subsystem knows of a route, unless own calls have shown more since. */
  void applyDirective(final Route route, final Directive directive) {
    switch (directive.kind()) {
      case LIMIT ->
          route.pacing().setReportedLimit(directive.value(), directive.source(), state.nowUs);
      case OUTAGE -> applyOutage(route, (long) directive.value());
      case RETURN -> applyReturn(route, (long) directive.value());
      default -> {
        // All other directives bind by themselves, as long as they are active.
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

  /** Begins the recovery at the time that all couriers are told, so that they share one. */
  private void applyReturn(final Route route, final long sinceUs) {
    final CircuitBreaker circuit = route.circuit();
    if (circuit.isOpen() && circuit.faultSinceUs() < sinceUs) {
      beginRecovery(route, Math.min(state.nowUs, sinceUs));
      circuit.clearFaulty();
      circuit.endFaultRun();
    }
  }
}
