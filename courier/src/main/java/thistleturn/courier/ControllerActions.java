package thistleturn.courier;

import thistleturn.decisions.DeliveryActions;

/** Carries out the controller's decisions. */
final class ControllerActions implements DeliveryActions {
  private final PendingDeliveries pending;
  private final MessageCompletion completion;
  private final CallDispatcher calls;
  private final LoopPorts ports;
  private final RoundScheduler scheduler;

  ControllerActions(
      final PendingDeliveries pending,
      final MessageCompletion completion,
      final CallDispatcher calls,
      final LoopPorts ports,
      final RoundScheduler scheduler) {
    this.pending = pending;
    this.completion = completion;
    this.calls = calls;
    this.ports = ports;
    this.scheduler = scheduler;
  }

  @Override
  public void send(final String messageId, final long endpoint, final long timeoutUs) {
    final PendingDelivery delivery = pending.get(messageId);
    if (delivery != null) {
      calls.addAttempt(delivery, endpoint, timeoutUs);
    }
  }

  @Override
  public void shed(final String messageId, final long retryAfterUs) {
    completion.shed(messageId, retryAfterUs);
  }

  @Override
  public void fail(final String messageId) {
    completion.fail(messageId);
  }

  @Override
  public void cancel(final String messageId, final int attempt) {
    final PendingDelivery delivery = pending.get(messageId);
    if (delivery != null && delivery.call() != null) {
      calls.cancelAfterPoll(delivery.call());
    }
  }

  @Override
  public void closeIdleConnections(final long endpoint) {
    ports.dispatcher().closeIdleConnections(endpoint);
  }

  @Override
  public void subscribeToEndpointList() {
    ports.directory().requestUpdates();
  }

  @Override
  public void scheduleDecision(final long delayUs) {
    scheduler.requestRoundAfter(delayUs);
  }
}
