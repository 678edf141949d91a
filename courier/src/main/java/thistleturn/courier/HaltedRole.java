package thistleturn.courier;

import java.util.Set;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.port.Submission;
import thistleturn.decisions.model.EndpointUpdate;

/**
 * The role of a process that is being ended as by a power failure. It makes no decisions and
 * records no outcomes, since connections that break now are broken by its own end. Everything else
 * is delegated to the previous role.
 */
final class HaltedRole extends NonDecidingRole {
  private final LoopRole previous;

  HaltedRole(final LoopRole previous) {
    this.previous = previous;
  }

  @Override
  public boolean hasSuccessor() {
    return previous.hasSuccessor();
  }

  @Override
  public LoopRole handedOverTo(final ForwardingRole forwarding) {
    return new HaltedRole(forwarding);
  }

  @Override
  public void submit(
      final StoredMessage message, final long deadlineUs, final Ingress.Reply reply) {
    previous.submit(message, deadlineUs, reply);
  }

  @Override
  public void withdraw(final Submission submission) {
    previous.withdraw(submission);
  }

  @Override
  public void onEndpointUpdate(
      final EndpointUpdate update, final EndpointTable.AppliedUpdate applied) {
    previous.onEndpointUpdate(update, applied);
  }

  @Override
  public void onOutcome(
      final PendingDelivery delivery,
      final Dispatcher.Call call,
      final Dispatcher.DispatchOutcome outcome) {
    // The connection was broken by this process's own end.
  }

  @Override
  public void setDisabledEndpoints(final Set<String> names) {
    previous.setDisabledEndpoints(names);
  }

  @Override
  public void onConfigurationReloaded() {
    previous.onConfigurationReloaded();
  }

  @Override
  public void prepareToStop(final long stopUs) {
    previous.prepareToStop(stopUs);
  }

  @Override
  public HandoverSnapshot learnedState() {
    return previous.learnedState();
  }

  @Override
  public int ownedMessages() {
    return previous.ownedMessages();
  }

  @Override
  public boolean isIdle() {
    return previous.isIdle();
  }
}
