package thistleturn.courier;

import java.util.Set;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.StoredMessage;
import thistleturn.decisions.model.EndpointUpdate;

/**
 * The process is being ended as a power cut would end it. Nothing is decided and no outcome is
 * recorded any more: what breaks from now on breaks with the process. All else is as it was.
 */
final class HaltedRole extends NonDecidingRole {
  private final LoopRole before;

  HaltedRole(final LoopRole before) {
    this.before = before;
  }

  @Override
  public boolean hasSuccessor() {
    return before.hasSuccessor();
  }

  @Override
  public LoopRole handedOverTo(final ForwardingRole forwarding) {
    return new HaltedRole(forwarding);
  }

  @Override
  public void submit(
      final StoredMessage message, final long deadlineUs, final Ingress.Reply reply) {
    before.submit(message, deadlineUs, reply);
  }

  @Override
  public void withdraw(final String messageId, final long destination) {
    before.withdraw(messageId, destination);
  }

  @Override
  public void onEndpointUpdate(
      final EndpointUpdate update, final EndpointTable.AppliedUpdate applied) {
    before.onEndpointUpdate(update, applied);
  }

  @Override
  public void onOutcome(
      final PendingDelivery delivery,
      final Dispatcher.Call call,
      final Dispatcher.DispatchOutcome outcome) {
    // The connection broke by this process's own end.
  }

  @Override
  public void setDisabledEndpoints(final Set<String> names) {
    before.setDisabledEndpoints(names);
  }

  @Override
  public void prepareToStop(final long stopUs) {
    before.prepareToStop(stopUs);
  }

  @Override
  public HandoverSnapshot learnedState() {
    return before.learnedState();
  }

  @Override
  public int ownedMessages() {
    return before.ownedMessages();
  }

  @Override
  public boolean isIdle() {
    return before.isIdle();
  }
}
