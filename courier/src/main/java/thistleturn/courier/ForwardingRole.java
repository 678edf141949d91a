package thistleturn.courier;

import java.util.Set;
import java.util.function.BooleanSupplier;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.handover.Successor;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.port.Submission;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.MessageDisposition;
import thistleturn.decisions.model.ResponseCertainty;

/**
 * The role of a process after a handover: a newer process decides, and this one forwards its
 * clients' messages and the outcomes of the calls that were in flight at the handover.
 */
final class ForwardingRole extends NonDecidingRole {
  /** What is reported of an end that is stated in a response which is not complete. */
  private static final Dispatcher.DispatchOutcome END_OF_ATTEMPTS =
      new Dispatcher.DispatchOutcome(
          AttemptResult.STALE, MessageDisposition.NO_FURTHER_ATTEMPT, 0, null);

  private final LoopContext context;
  private final Successor successor;
  private final HandedOverCalls handedOver;
  private final BooleanSupplier responsesSuspect;

  /**
   * Creates the role.
   *
   * @param responsesSuspect returns whether responses that belong to no call have come lately
   */
  ForwardingRole(
      final LoopContext context,
      final Successor successor,
      final HandedOverCalls handedOver,
      final BooleanSupplier responsesSuspect) {
    this.context = context;
    this.successor = successor;
    this.handedOver = handedOver;
    this.responsesSuspect = responsesSuspect;
  }

  @Override
  public boolean hasSuccessor() {
    return true;
  }

  @Override
  public LoopRole handedOverTo(final ForwardingRole forwarding) {
    return forwarding;
  }

  @Override
  public void submit(
      final StoredMessage message, final long deadlineUs, final Ingress.Reply reply) {
    successor.submit(message, message.deadlineUs(), reply);
  }

  @Override
  public void withdraw(final Submission submission) {
    successor.withdraw(submission);
  }

  /** Keeps the endpoint table current: if the newer process ends, this one decides again. */
  @Override
  public void onEndpointUpdate(
      final EndpointUpdate update, final EndpointTable.AppliedUpdate applied) {
    applied.removed().forEach(context.endpoints()::remove);
  }

  /** Reports the outcome to the newer process, unless the message ended before the handover. */
  @Override
  public void onOutcome(
      final PendingDelivery delivery,
      final Dispatcher.Call call,
      final Dispatcher.DispatchOutcome outcome) {
    context.stallDetector().recordActivity();
    delivery.endCall();
    forward(delivery, call, withoutCertainty(outcome));
  }

  /** Reports the end at once, since the newer process does not find it in the journal. */
  @Override
  public void onEndStated(final PendingDelivery delivery, final Dispatcher.Call call) {
    forward(delivery, call, END_OF_ATTEMPTS);
  }

  private void forward(
      final PendingDelivery delivery,
      final Dispatcher.Call call,
      final Dispatcher.DispatchOutcome outcome) {
    final Long number = handedOver.numberOf(call);
    if (number != null && context.pending().remove(delivery.id())) {
      successor.reportOutcome(number, delivery.id(), outcome);
    }
  }

  /**
   * The newer process is not told of doubts that come later. While responses are suspect, it is
   * told that a rejected attempt may have run unless the rejection is certain.
   */
  private Dispatcher.DispatchOutcome withoutCertainty(final Dispatcher.DispatchOutcome outcome) {
    final boolean mayHaveRun =
        !outcome.completed()
            && outcome.neverExecuted()
            && outcome.certainty() == ResponseCertainty.UNCONFIRMED
            && responsesSuspect.getAsBoolean();
    return mayHaveRun
        ? new Dispatcher.DispatchOutcome(
            AttemptResult.STALE,
            outcome.disposition(),
            outcome.retryAfterUs(),
            outcome.loadReport())
        : outcome;
  }

  @Override
  public void setDisabledEndpoints(final Set<String> names) {
    // The newer process reads them from the same folder.
  }

  @Override
  public void onConfigurationReloaded() {
    successor.reloadConfiguration();
  }

  @Override
  public void prepareToStop(final long stopUs) {
    // No calls are decided here.
  }

  @Override
  public HandoverSnapshot learnedState() {
    return null;
  }

  @Override
  public int ownedMessages() {
    return 0;
  }

  @Override
  public boolean isIdle() {
    return context.pending().isEmpty();
  }
}
