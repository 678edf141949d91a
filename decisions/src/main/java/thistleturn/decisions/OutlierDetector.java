package thistleturn.decisions;

import java.util.Arrays;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.rejections.RejectionClassifier.Cause;

/**
 * What an outcome says of its endpoint and its lane: trouble, outage, return, and what refusals
 * answer to.
 */
final class OutlierDetector {
  /**
   * After a time-out, the next ones are so many times as wide: it may have been slowness, not
   * silence.
   */
  private static final double TIMEOUT_MULTIPLIER = 3;

  /** A told wait above this, us, is no limit's, whose spans are a second or two: it is shut. */
  private static final long MAX_RATE_LIMIT_WAIT_US = 5 * OverloadController.SECOND_US / 2;

  /**
   * Weights in the run of bad outcomes, where a failure weighs 1: crowding refuses too, errors mix.
   */
  private static final double REJECTION_WEIGHT = 0.5;

  private static final double ERROR_WEIGHT = 0.4;

  /**
   * A run of this weight without success is an outage; so is this share of failures: most, and
   * chance.
   */
  private static final double OUTAGE_FAULT_RUN = 3;

  private static final double OUTAGE_FAILURE_RATIO = 0.6;

  /** Weight of a call in that share: about eight calls of memory. */
  private static final double FAILURE_SAMPLE_WEIGHT = 0.12;

  /**
   * An endpoint that failed is left alone so long, us; after that its failures in a row count as
   * calls.
   */
  private static final long AVOID_US = OverloadController.SECOND_US;

  private final ControllerState state;
  private final ConcurrencyWindow concurrencyWindow;
  private final IdleConnectionPolicy idleConnections;

  OutlierDetector(
      final ControllerState state,
      final ConcurrencyWindow window,
      final IdleConnectionPolicy idle) {
    this.state = state;
    this.concurrencyWindow = window;
    this.idleConnections = idle;
  }

  /**
   * Reads one outcome: service times, the step's inputs, waits, health of endpoint and lane. What
   * is counted in calls gets a message's part of its call: five messages turned away together are
   * one refusal.
   */
  void recordOutcome(
      final EndpointHealth node,
      final InFlightCall call,
      final PendingMessage job,
      final AttemptOutcome outcome) {
    final Route lane = node.route;
    if (outcome.loadReport() != null) {
      lane.stepLoadReport = outcome.loadReport();
      lane.setReportedLimit(
          lane.stepLoadReport.callsPerSecond(), Route.SOURCE_DESTINATION, state.nowUs);
    }
    final int kind = job.message.classIndex();
    final double part = 1.0 / call.batchSize;
    final boolean first = lane.faultSinceUs == OverloadController.NEVER;
    lane.faultSinceUs = Math.min(lane.faultSinceUs, state.nowUs);
    // A wait may stand in any answer, also one that delivers some of a call's messages.
    lane.retryAfterUntilUs = Math.max(lane.retryAfterUntilUs, state.nowUs + outcome.retryAfterUs());
    switch (outcome.result()) {
      case DELIVERED -> recordDelivery(node, call, kind, part, outcome.durationUs());
      case REFUSED -> {
        if (state.classifiesFaults
            && outcome.retryAfterUs() == 0
            && isStrayRejection(lane, node, job, call)) {
          restoreFaultStart(lane, first);
        } else {
          recordRejection(lane, call, part, outcome.retryAfterUs());
        }
      }
      case ERROR -> {
        lane.stepErrors += part;
        lane.failureRatio += part * FAILURE_SAMPLE_WEIGHT * (1 - lane.failureRatio);
        addFaultWeight(lane, part * ERROR_WEIGHT);
      }
      case TIMED_OUT, RESET, NO_CONNECTION, CANCELLED, STALE ->
          recordFailure(node, call, kind, part, outcome.result(), first);
      case NOT_SENT -> restoreFaultStart(lane, first);
    }
  }

  /** It was no sign of trouble; {@code first}: nor was there any before. */
  private static void restoreFaultStart(final Route lane, final boolean first) {
    lane.faultSinceUs = first ? OverloadController.NEVER : lane.faultSinceUs;
  }

  private void recordDelivery(
      final EndpointHealth node,
      final InFlightCall call,
      final int kind,
      final double part,
      final long durationUs) {
    final Route lane = node.route;
    final double ratio = state.latencies.recordLatency(lane, kind, durationUs);
    lane.stepLatencyRatioSum += ratio;
    lane.stepDeliveries++;
    lane.stepCalls += part;
    node.recordSuccess(kind, state.nowUs, durationUs);
    if (state.classifiesFaults) {
      recordAvailableCapacity(lane, call, part, ratio);
    }
    lane.faultRun = 0;
    lane.timeoutMultiplier =
        Math.max(1, lane.timeoutMultiplier - TIMEOUT_MULTIPLIER * ConcurrencyWindow.SAMPLE_WEIGHT);
    lane.failureRatio -= part * FAILURE_SAMPLE_WEIGHT * lane.failureRatio;
    if (lane.circuitState == CircuitState.OUT) {
      beginRecovery(lane);
    }
    lane.faultSinceUs = OverloadController.NEVER;
  }

  /**
   * A refusal that is heeded: a pause for the lane, and a step towards an outage unless it says the
   * same as one before.
   */
  private void recordRejection(
      final Route lane, final InFlightCall call, final double part, final long waitUs) {
    lane.stepFailures += part;
    lane.stepRejections++;
    lane.rateShare.recordRejected(state.nowUs);
    final long fromUs = Math.max(state.nowUs, lane.retryAfterUntilUs);
    final long gapUs = state.recoveryPacer.backoffUs(lane, fromUs);
    lane.backoffUntilUs =
        fromUs
            + (waitUs > 0
                ? (long) (state.random.nextDouble() * gapUs)
                : state.recoveryPacer.jitter(gapUs));
    final boolean same =
        state.classifiesFaults && lane.isSameRejectionSignal(call.sentUs, state.nowUs);
    addFaultWeight(
        lane,
        waitUs > MAX_RATE_LIMIT_WAIT_US ? OUTAGE_FAULT_RUN : same ? 0 : part * REJECTION_WEIGHT);
  }

  /**
   * Nobody answered, or a connection broke: of a kept one that was dead, of a single call, or of
   * its endpoint and lane.
   */
  private void recordFailure(
      final EndpointHealth node,
      final InFlightCall call,
      final int kind,
      final double part,
      final AttemptResult how,
      final boolean first) {
    final Route lane = node.route;
    call.staleConnection |= call.wasConnectionStale(how, node.failureRuns[kind]);
    if (call.staleConnection) {
      // A kept connection was dead: that says nothing of its endpoint, but of others like it.
      restoreFaultStart(lane, first);
      node.failureRuns[kind] += how == AttemptResult.STALE ? 0 : part;
      node.connections = 0;
      state.actions.closeIdleConnections(node.descriptor.id());
      return;
    }
    if (state.classifiesFaults && call.isIsolatedFailure(kind, how)) {
      restoreFaultStart(lane, first);
      node.failureRuns[kind] += part;
      node.connections -= call.pendingOutcomes == 0 ? Math.min(1, node.connections) : 0;
      lane.failureRatio += part * FAILURE_SAMPLE_WEIGHT * (1 - lane.failureRatio);
      addFaultWeight(lane, part);
      return;
    }
    lane.stepFailures += part;
    if (how == AttemptResult.TIMED_OUT || how == AttemptResult.CANCELLED) {
      lane.timeoutMultiplier = TIMEOUT_MULTIPLIER;
    }
    if (first && !call.cancelled && how != AttemptResult.NO_CONNECTION) {
      idleConnections.recordStaleConnection(call);
    }
    node.failureRuns[kind] += part;
    if (node.lastSuccessUs < call.sentUs) {
      Arrays.fill(node.avoidUntilUs, state.nowUs + state.recoveryPacer.jitter(AVOID_US));
    }
    node.avoidUntilUs[kind] = state.nowUs + state.recoveryPacer.jitter(AVOID_US);
    node.connections -= call.pendingOutcomes == 0 ? Math.min(1, node.connections) : 0;
    if (how != AttemptResult.NO_CONNECTION || node.lastSuccessUs <= call.sentUs) {
      lane.failureRatio += part * FAILURE_SAMPLE_WEIGHT * (1 - lane.failureRatio);
      if (lane.failureRatio > InFlightCall.ISOLATED_FAILURE_RATIO) {
        lane.initialGrowth.stop();
      }
      addFaultWeight(lane, part);
    }
  }

  /** A call served says whether there was room, and that there may be more. */
  private void recordAvailableCapacity(
      final Route lane, final InFlightCall call, final double part, final double ratio) {
    if (lane.initialGrowth.recordServed(ratio)) {
      concurrencyWindow.growOnSuccess(lane, part);
    }
    if (call.pendingOutcomes == 0) {
      lane.recordCompletedCall(call, state.nowUs);
    }
  }

  /**
   * True for a refusal that does not answer to what this lane is sent: its message goes again at
   * once. One of an endpoint or class that alone refuses leaves only these alone; noise is borne
   * within a budget.
   */
  private boolean isStrayRejection(
      final Route lane,
      final EndpointHealth node,
      final PendingMessage job,
      final InFlightCall call) {
    job.rejectedBy = node;
    if (call.rejectionClassified || lane.circuitState != CircuitState.WELL) {
      return call.strayRejection;
    }
    call.rejectionClassified = true;
    call.strayRejection = classifyRejection(lane, node, job.message.classIndex(), call);
    return call.strayRejection;
  }

  private boolean classifyRejection(
      final Route lane, final EndpointHealth node, final int kind, final InFlightCall call) {
    final long restUs =
        node.classStatistics[kind].recordRejected(lane.completedCalls, ++lane.rejectedCalls);
    if (restUs > 0) {
      node.avoidUntilUs[kind] = state.nowUs + state.recoveryPacer.jitter(restUs);
      return true;
    }
    lane.rejectionClassifier.recordRejected(call.sentUs, state.nowUs);
    if (lane.rejectionClassifier.cause(state.nowUs) == Cause.NOISE) {
      if (lane.retryBudget.tryAcquire()) {
        return true;
      }
      lane.treatRejectionsAsLoad(state.nowUs);
    }
    if (lane.initialGrowth.recordRejected()) {
      concurrencyWindow.halve(lane);
    }
    if (call.probe) {
      lane.rejectionClassifier.recordProbe(false, state.nowUs);
    }
    lane.probeAllowed = true;
    return false;
  }

  /** Time may have brought silence, or the end of a ramp. */
  void checkCircuit(final Route lane) {
    addFaultWeight(lane, 0);
    if (lane.circuitState == CircuitState.RAMP
        && state.nowUs - lane.recoverySinceUs > state.settings.guarantees().warmUpUs()) {
      lane.circuitState = CircuitState.WELL;
      if (state.classifiesFaults) {
        lane.completeRecovery(state.nowUs + state.settings.guarantees().warmUpUs());
      }
    }
  }

  /**
   * Another says that a lane is out, or has begun to return: so it is here, unless more is known by
   * own calls since. A return is a ramp from the moment told on, so that all who are told share
   * one.
   */
  void applyDirective(final Route lane, final Directive word) {
    if (word.kind() == Directive.Kind.LIMIT) {
      lane.setReportedLimit(word.value(), word.source(), state.nowUs);
      return;
    }
    final long sinceUs = (long) word.value();
    if (word.kind() == Directive.Kind.OUTAGE
        && lane.circuitState == CircuitState.WELL
        && lane.endpoints.stream().allMatch(node -> node.lastSuccessUs < sinceUs)) {
      lane.faultSinceUs = Math.min(lane.faultSinceUs, sinceUs);
      openCircuit(lane);
    } else if (word.kind() == Directive.Kind.RETURN
        && lane.circuitState == CircuitState.OUT
        && lane.faultSinceUs < sinceUs) {
      beginRecovery(lane);
      lane.recoverySinceUs = Math.min(state.nowUs, sinceUs);
      lane.faultSinceUs = OverloadController.NEVER;
      lane.faultRun = 0;
      state.routeTimers.schedule(
          lane.recoveryEndTimer, lane.recoverySinceUs + state.settings.guarantees().warmUpUs() + 1);
    }
  }

  /** From now on a lane is paced as one that is cold. */
  void beginRecovery(final Route lane) {
    state.circuitTransitions++;
    lane.circuitState = CircuitState.RAMP;
    lane.recoverySinceUs = state.nowUs;
    state.routeTimers.schedule(
        lane.recoveryEndTimer, state.nowUs + state.settings.guarantees().warmUpUs() + 1);
    lane.recoveryIntervalUs = state.recoveryPacer.backoffUs(lane, state.nowUs);
    lane.failureRatio = 0;
  }

  /**
   * Adds to a lane's run of bad outcomes; a long run, or a high share of failures, is an outage.
   */
  void addFaultWeight(final Route lane, final double weight) {
    lane.faultRun += weight;
    lane.faultCheckTick = state.tick;
    lane.faultCheckUs = state.nowUs;
    final boolean out =
        lane.faultRun + lane.unresponsiveCalls >= OUTAGE_FAULT_RUN
            || lane.failureRatio > OUTAGE_FAILURE_RATIO;
    if (out && lane.circuitState != CircuitState.OUT) {
      lane.faultSinceUs = Math.min(lane.faultSinceUs, state.nowUs);
      openCircuit(lane);
    }
  }

  private void openCircuit(final Route lane) {
    state.circuitTransitions++;
    lane.circuitState = CircuitState.OUT;
    lane.window = ConcurrencyWindow.MIN_WINDOW;
    lane.nextTrialUs = state.recoveryPacer.nextTrialUs(lane, state.nowUs, state.classifiesFaults);
  }
}
