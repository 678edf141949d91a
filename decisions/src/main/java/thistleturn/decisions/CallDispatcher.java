package thistleturn.decisions;

import java.util.Comparator;
import thistleturn.decisions.index.Ranking;
import thistleturn.decisions.model.Idempotence;

/** Sends the messages that may go, the most urgent first, while the concurrency limit allows. */
final class CallDispatcher {
  /** What each further message of a call weighs on a cold destination, in calls. */
  private static final double BATCHED_MESSAGE_WEIGHT = 0.2;

  private final ControllerState state;
  private final MessageScheduler messageScheduler;
  private final EndpointSelector endpointSelector;
  private final RetryPolicy retryPolicy;
  private final IdleConnectionPolicy idleConnections;
  private final OverdueCallDetector overdueCalls;
  private final PendingMessages messages;
  private InFlightCall lastAdoptedCall;

  CallDispatcher(
      final ControllerState state,
      final MessageScheduler messageScheduler,
      final EndpointSelector endpointSelector,
      final RetryPolicy retryPolicy,
      final IdleConnectionPolicy idleConnections,
      final OverdueCallDetector overdueCalls,
      final PendingMessages messages) {
    this.state = state;
    this.messageScheduler = messageScheduler;
    this.endpointSelector = endpointSelector;
    this.retryPolicy = retryPolicy;
    this.idleConnections = idleConnections;
    this.overdueCalls = overdueCalls;
    this.messages = messages;
  }

  /** Sends until the concurrency limit is reached or no message may go. */
  void sendMostUrgent() {
    state.nextRoundUs = OverloadController.NEVER;
    while (state.callsInFlight < state.concurrencyLimit) {
      final Ranking<ReadyRoute> ready = state.readyRoutes();
      final ReadyRoute best = ready.best(state.nowUs);
      if (best == null) {
        return;
      }
      if (retryPolicy.fitsBeforeStop(best.route, best.selected.group)) {
        startCall(best.selected, best.route);
      } else {
        ready.invalidate(best);
      }
    }
  }

  /** Calls an endpoint with a message and, where calls are shared, with those that wait with it. */
  private void startCall(final PendingMessage first, final Route route) {
    final EndpointHealth endpoint = endpointSelector.select(route, first.group, first.rejectedBy);
    state.markChanged(route.destination);
    final InFlightCall call = new InFlightCall();
    call.probe = route.tryTakeProbe(state.nowUs);
    call.endpoint = endpoint;
    call.sentUs = state.nowUs;
    occupyEndpoint(call, first);
    if (route.circuitState == CircuitState.OUT) {
      route.nextTrialUs =
          state.recoveryPacer.nextTrialUs(route, state.nowUs, state.classifiesFaults);
    }
    sendBatch(call, first);
    overdueCalls.track(call);
    route.lastCallWeight = 1 + BATCHED_MESSAGE_WEIGHT * (call.batchSize - 1);
    route.rateShare.recordCall(state.nowUs);
  }

  private void occupyEndpoint(final InFlightCall call, final PendingMessage first) {
    final EndpointHealth endpoint = call.endpoint;
    final Route route = endpoint.route;
    state.callsInFlight++;
    route.stepPeakCalls = Math.max(route.stepPeakCalls, ++route.callsInFlight);
    if (endpoint.callsInFlight++ == 0) {
      idleConnections.closeIfUntrusted(call, endpoint, first);
    }
    final int streams = state.settings.limits().streamsPerConnection();
    call.reusedConnection = endpoint.connections * streams >= endpoint.callsInFlight;
    endpoint.connections =
        Math.max(endpoint.connections, (endpoint.callsInFlight + streams - 1) / streams);
    endpoint.lastSendUs = state.nowUs;
    route.lastSendUs = state.nowUs;
  }

  private void sendBatch(final InFlightCall call, final PendingMessage first) {
    final Route route = call.endpoint.route;
    final boolean alone =
        route.circuitState == CircuitState.OUT
            || first.messageClass.idempotence() == Idempotence.NON_IDEMPOTENT;
    final int maxBatchSize = alone ? 1 : route.destinationKind.messagesPerCall();
    PendingMessage message = first;
    while (message != null) {
      send(message, call);
      message =
          call.batchSize >= maxBatchSize
              ? null
              : messageScheduler.selectMessage(message.destination, route, call.endpoint);
    }
    call.pendingMessages.sort(Comparator.comparingLong(sent -> sent.sequence));
  }

  private void send(final PendingMessage message, final InFlightCall call) {
    final EndpointHealth endpoint = call.endpoint;
    addToBatch(message, call);
    message.attempts++;
    messages.dequeue(message);
    state.actions.send(
        message.message.id(),
        endpoint.id(),
        retryPolicy.timeoutUs(
            endpoint.route, endpoint.classStatistics[message.message.classIndex()], message));
  }

  private void addToBatch(final PendingMessage message, final InFlightCall call) {
    call.pendingOutcomes++;
    call.batchSize = call.pendingOutcomes;
    call.expectedUs =
        Math.max(call.expectedUs, (long) retryPolicy.expectedUs(call.endpoint.route, message));
    call.pendingMessages.add(message);
    message.call = call;
  }

  /**
   * Takes on a message whose call another process of this courier has sent.
   *
   * @param sameCall whether it belongs to the call of the message adopted before it
   */
  void adopt(
      final PendingMessage message,
      final EndpointHealth endpoint,
      final long sentUs,
      final boolean sameCall) {
    if (!sameCall) {
      lastAdoptedCall = new InFlightCall();
      lastAdoptedCall.endpoint = endpoint;
      lastAdoptedCall.sentUs = sentUs;
      state.callsInFlight++;
      endpoint.route.callsInFlight++;
      endpoint.callsInFlight++;
    }
    addToBatch(message, lastAdoptedCall);
    overdueCalls.track(lastAdoptedCall);
  }

  /** Ends a call all of whose messages have their outcome. */
  void endCall(final InFlightCall call) {
    final EndpointHealth endpoint = call.endpoint;
    state.callsInFlight--;
    endpoint.callsInFlight--;
    endpoint.route.callsInFlight--;
    overdueCalls.untrack(call);
    endpoint.lastUseUs = state.nowUs;
    idleConnections.closeIfNotReused(endpoint, call);
  }
}
