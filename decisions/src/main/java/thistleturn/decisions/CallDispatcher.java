package thistleturn.decisions;

import thistleturn.decisions.index.Ranking;
import thistleturn.decisions.model.Idempotence;

/** Sends the messages that may be sent, the most urgent first, within the concurrency limit. */
final class CallDispatcher {
  /** Load that each message after the first adds to a call on a cold destination, in calls. */
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

  /** Sends until the concurrency limit is reached or no message may be sent. */
  void sendMostUrgent() {
    state.nextRoundUs = OverloadController.NEVER;
    while (state.callsInFlight < state.concurrencyLimit) {
      final Ranking<ReadyRoute> ready = state.readyRoutes();
      final ReadyRoute best = ready.best(state.nowUs);
      if (best == null) {
        return;
      }
      if (retryPolicy.fitsBeforeStop(best.route(), best.selected().group())) {
        startCall(best.selected(), best.route());
      } else {
        ready.invalidate(best);
      }
    }
  }

  /**
   * Calls an endpoint with a message and, where a call may carry several, with others that wait.
   */
  private void startCall(final PendingMessage first, final Route route) {
    final EndpointHealth endpoint =
        endpointSelector.select(route, first.group(), first.rejectedBy());
    state.markChanged(route.destination());
    final InFlightCall call = new InFlightCall(endpoint, state.nowUs);
    call.setProbe(route.tryTakeProbe(state.nowUs));
    occupyEndpoint(call, first);
    if (route.circuit().isOpen()) {
      route.circuit().scheduleTrial(state.recoveryPacer.nextTrialUs(route, state.nowUs));
    }
    sendBatch(call, first);
    overdueCalls.track(call);
    final double weight = 1 + BATCHED_MESSAGE_WEIGHT * (call.batchSize() - 1);
    route.pacing().recordCall(weight, state.nowUs);
  }

  private void occupyEndpoint(final InFlightCall call, final PendingMessage first) {
    final EndpointHealth endpoint = call.endpoint();
    final boolean wasIdle = endpoint.callsInFlight() == 0;
    state.callsInFlight++;
    endpoint.route().startCall();
    endpoint.startCall();
    if (wasIdle) {
      idleConnections.closeIfUntrusted(call, first);
    }
    call.setReusedConnection(
        endpoint.occupyConnection(state.settings.limits().streamsPerConnection()));
    endpoint.recordSend(state.nowUs);
    endpoint.route().pacing().recordSend(state.nowUs);
  }

  private void sendBatch(final InFlightCall call, final PendingMessage first) {
    final Route route = call.route();
    final boolean alone =
        route.circuit().isOpen()
            || first.idempotence() == Idempotence.NON_IDEMPOTENT
            || !retryPolicy.outlastsSharedCall(route, first);
    final int maxBatchSize = alone ? 1 : route.kind().messagesPerCall();
    PendingMessage message = first;
    while (message != null) {
      send(message, call);
      message = call.batchSize() >= maxBatchSize ? null : nextOfCall(call, message.destination());
    }
    call.completeBatch();
  }

  /** Returns the most urgent message that may share a call, or null. */
  private PendingMessage nextOfCall(final InFlightCall call, final Destination destination) {
    final PendingMessage next =
        messageScheduler.selectMessage(destination, call.route(), call.endpoint());
    return next != null && retryPolicy.outlastsSharedCall(call.route(), next) ? next : null;
  }

  private void send(final PendingMessage message, final InFlightCall call) {
    call.add(message, (long) retryPolicy.expectedUs(call.route(), message));
    message.startAttempt(call);
    messages.dequeue(message);
    state.actions.send(
        message.id(), call.endpoint().id(), retryPolicy.timeoutUs(call.endpoint(), message));
  }

  /**
   * Adopts a message whose call was sent by another process of this courier.
   *
   * @param sameCall whether the message belongs to the call of the one adopted before it
   */
  void adopt(
      final PendingMessage message,
      final EndpointHealth endpoint,
      final long sentUs,
      final boolean sameCall) {
    if (!sameCall) {
      lastAdoptedCall = new InFlightCall(endpoint, sentUs);
      state.callsInFlight++;
      endpoint.route().adoptCall();
      endpoint.startCall();
    }
    lastAdoptedCall.add(message, (long) retryPolicy.expectedUs(endpoint.route(), message));
    message.adoptAttempt(lastAdoptedCall);
    overdueCalls.track(lastAdoptedCall);
  }

  /** Ends a call once each of its messages has an outcome. */
  void endCall(final InFlightCall call) {
    final EndpointHealth endpoint = call.endpoint();
    state.callsInFlight--;
    endpoint.endCall();
    endpoint.route().endCall();
    overdueCalls.untrack(call);
    endpoint.recordUse(state.nowUs);
    idleConnections.closeIfNotReused(endpoint, call);
  }
}
