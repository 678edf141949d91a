package thistleturn.courier;

import thistleturn.courier.handover.HandoverClient;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.port.Submission;

/** The handover listener of a {@link ScriptedCourierProcess} as successor; prints each event. */
final class ScriptedSuccessorListener implements HandoverClient.Listener {
  private static final long RETRY_AFTER_US = 1_000_000;

  @Override
  public void onMessageSubmitted(final StoredMessage message, final Ingress.Reply reply) {
    ScriptedCourierProcess.print(ScriptedCourierProcess.EVENT + "rejected " + message.id());
    reply.rejected(Ingress.RejectionReason.NO_ROOM, RETRY_AFTER_US);
  }

  @Override
  public void withdraw(final Submission submission) {
    ScriptedCourierProcess.print(
        ScriptedCourierProcess.EVENT + "withdrawn " + submission.messageId());
  }

  @Override
  public void onRemoteOutcome(final String messageId, final Dispatcher.DispatchOutcome outcome) {
    ScriptedCourierProcess.print(
        ScriptedCourierProcess.EVENT + "outcome " + messageId + " " + outcome.result());
  }

  @Override
  public void onPredecessorDisconnected() {
    ScriptedCourierProcess.print(ScriptedCourierProcess.EVENT + "predecessor gone");
  }
}
