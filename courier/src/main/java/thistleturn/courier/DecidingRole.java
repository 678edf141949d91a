package thistleturn.courier;

import java.util.List;
import java.util.Map;
import java.util.Set;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.handover.LearnedStateSource;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.port.Submission;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.HostedController;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointUpdate;

/**
 * The role of a process that decides: it admits messages, records outcomes, and passes every event
 * that affects the next decision to the controller.
 */
final class DecidingRole implements LoopRole {
  private static final long US_PER_MS = 1000;

  /** Applies to an endpoint that an operator has disabled. */
  private static final Directive DISABLED_BY_OPERATOR =
      Directive.of(Directive.Kind.EXCLUSION, "operator", Long.MAX_VALUE);

  /** Storing the learned state of more endpoints would block the loop for too long each second. */
  private static final int MAX_REMEMBERED_ENDPOINTS = 2000;

  private final LoopContext context;
  private final LoopPorts ports;
  private final DurableEffects effects;
  private final RoundScheduler scheduler;
  private final HostedController controller;
  private final MessageIntake intake;
  private final OutcomeRecorder outcomes;
  private final OutageReporter outages;

  /** The learned state of an earlier process until the first endpoints are listed, then null. */
  private LearnedStateSource pendingLearnedState;

  DecidingRole(
      final LoopContext context,
      final LoopPorts ports,
      final DurableEffects effects,
      final RoundScheduler scheduler,
      final HostedController controller,
      final MessageIntake intake,
      final OutcomeRecorder outcomes,
      final OutageReporter outages) {
    this.context = context;
    this.ports = ports;
    this.effects = effects;
    this.scheduler = scheduler;
    this.controller = controller;
    this.intake = intake;
    this.outcomes = outcomes;
    this.outages = outages;
  }

  /** Restores the learned state of an earlier process as soon as endpoints are listed. */
  void restoreWhenListed(final LearnedStateSource source) {
    pendingLearnedState = source;
  }

  /**
   * Restores the learned state of endpoints that are unchanged.
   *
   * @return a map from their ids in the earlier process to their ids here
   */
  Map<Long, Long> restoreLearnedState(final LearnedStateSource source) {
    final Map<Long, Long> endpointIds = context.endpoints().idsOfUnchanged(source.endpoints());
    controller.onLearnedState(
        context.clock().nowUs(), source.learnedState(endpointIds, context.clock()));
    return endpointIds;
  }

  @Override
  public HandoverSnapshot learnedState() {
    final int listed = context.endpoints().size();
    return listed == 0 || listed > MAX_REMEMBERED_ENDPOINTS ? null : snapshot(List.of());
  }

  /** Returns the state that a newer process takes over in addition to the journal. */
  HandoverSnapshot snapshot(final List<HandoverSnapshot.InFlightRemoteCall> calls) {
    return new HandoverSnapshot(context.endpoints().snapshot(), controller.learnedState(), calls);
  }

  @Override
  public boolean isDeciding() {
    return true;
  }

  @Override
  public boolean hasSuccessor() {
    return false;
  }

  @Override
  public LoopRole handedOverTo(final ForwardingRole forwarding) {
    return forwarding;
  }

  @Override
  public void submit(
      final StoredMessage message, final long deadlineUs, final Ingress.Reply reply) {
    intake.submit(message, deadlineUs, reply);
  }

  @Override
  public void withdraw(final Submission submission) {
    intake.withdraw(submission);
  }

  @Override
  public void onEndpointUpdate(
      final EndpointUpdate update, final EndpointTable.AppliedUpdate applied) {
    controller.onEndpointList(context.clock().nowUs(), update, applied.changed());
    excludeDisabled(applied.changed());
    restorePendingLearnedState();
    for (final long endpoint : applied.removed()) {
      ports.dispatcher().removeEndpoint(endpoint);
      context.endpoints().remove(endpoint);
    }
    if (update != EndpointUpdate.UNAVAILABLE) {
      context.endpoints().expireVacantDestinations();
      outages.reportEndpointsListed();
    }
    scheduler.requestRound();
  }

  private void excludeDisabled(final List<Endpoint> endpoints) {
    for (final Endpoint endpoint : endpoints) {
      if (context.endpoints().isDisabled(endpoint.id())) {
        controller.onEndpointDirective(
            context.clock().nowUs(), endpoint.id(), DISABLED_BY_OPERATOR);
      }
    }
  }

  private void restorePendingLearnedState() {
    if (pendingLearnedState != null && context.endpoints().size() > 0) {
      final int restored = restoreLearnedState(pendingLearnedState).size();
      Log.info("recalled what was learnt of " + restored + " endpoints");
      pendingLearnedState = null;
    }
  }

  @Override
  public void onOutcome(
      final PendingDelivery delivery,
      final Dispatcher.Call call,
      final Dispatcher.DispatchOutcome outcome) {
    outcomes.recordAttempt(delivery, call, outcome);
  }

  @Override
  public void onAnswerConfirmed(final PendingDelivery delivery) {
    outcomes.recordAnswerConfirmed(delivery.id());
  }

  @Override
  public void onAnswerInDoubt(
      final PendingDelivery delivery, final Dispatcher.Call call, final boolean mayBeEnd) {
    outcomes.recordAnswerInDoubt(delivery.id(), call, mayBeEnd);
  }

  @Override
  public void onRejectionInDoubt(final PendingDelivery delivery, final Dispatcher.Call call) {
    outcomes.recordPossibleExecution(delivery, call);
  }

  @Override
  public void onEndStated(final PendingDelivery delivery, final Dispatcher.Call call) {
    outcomes.recordEndStated(delivery, call);
  }

  @Override
  public void onInterruptionEnded(final PendingDelivery delivery) {
    if (delivery.hasEnded()) {
      return;
    }
    final long nowUs = context.stallDetector().recordActivity();
    context.store().recordAttemptOutcome(delivery.message(), false);
    controller.onInterruptionEnded(nowUs, delivery.id());
    scheduler.requestRound();
  }

  @Override
  public void onRetryAfter(final long endpoint, final long retryAfterUs) {
    controller.onRetryAfter(context.clock().nowUs(), endpoint, retryAfterUs);
    scheduler.requestRound();
  }

  @Override
  public void onConfirmed(final List<StoredMessage> messages) {
    outcomes.recordConfirmed(messages);
  }

  @Override
  public void onProcessPaused(final long pausedUs) {
    controller.onHostPaused(context.clock().nowUs(), pausedUs);
  }

  @Override
  public void onConnectivityRestored(final long nowUs, final long cutOffSinceUs) {
    Log.info(
        "this courier had no way out for "
            + (nowUs - cutOffSinceUs) / US_PER_MS
            + " ms: not counted as an outage of any destination");
    controller.onConnectivityRestored(nowUs, cutOffSinceUs);
  }

  @Override
  public void onConfigurationReloaded() {
    // No other process decides.
  }

  @Override
  public void setDisabledEndpoints(final Set<String> names) {
    final Map<Long, Boolean> changed = context.endpoints().setDisabled(names);
    changed.forEach(this::setDisabled);
    if (!changed.isEmpty()) {
      scheduler.requestRound();
    }
  }

  private void setDisabled(final long endpoint, final boolean disabled) {
    // The restart of an endpoint in maintenance breaks the idle connections to it.
    ports.dispatcher().closeIdleConnections(endpoint);
    controller.onEndpointDirective(
        context.clock().nowUs(),
        endpoint,
        disabled ? DISABLED_BY_OPERATOR : DISABLED_BY_OPERATOR.withdrawn());
    if (!disabled) {
      controller.onEndpointEnabled(context.clock().nowUs(), endpoint);
    }
  }

  @Override
  public void applyDirective(final long destination, final Directive directive) {
    if (controller.onDestinationDirective(context.clock().nowUs(), destination, directive)) {
      outages.synchronize();
      scheduler.requestRound();
    }
  }

  @Override
  public void prepareToStop(final long stopUs) {
    controller.onStopping(context.clock().nowUs(), stopUs);
    scheduler.requestRound();
  }

  @Override
  public int ownedMessages() {
    return context.pending().size();
  }

  @Override
  public boolean isIdle() {
    return context.pending().isEmpty()
        && ports.notifier().isEmpty()
        && !effects.hasUnreportedOutcomes()
        && !outcomes.awaitsConfirmation();
  }
}
