package thistleturn.courier;

import java.io.IOException;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.handover.HandoverSource;
import thistleturn.courier.handover.Successor;
import thistleturn.courier.port.Dispatcher;
import thistleturn.decisions.model.AttemptResult;

/** The handover source of a {@link ScriptedCourierProcess} as predecessor; prints each event. */
final class ScriptedHandoverSource implements HandoverSource {
  private final ScriptedCalls calls;
  private final Answer answer;
  private Successor successor;

  /** Responds to a handover request. */
  @FunctionalInterface
  interface Answer {
    /**
     * Returns the snapshot that is handed over.
     *
     * @throws IOException if the request is refused or fails
     */
    HandoverSnapshot handOver() throws IOException;
  }

  ScriptedHandoverSource(final ScriptedCalls calls, final Answer answer) {
    this.calls = calls;
    this.answer = answer;
  }

  @Override
  public HandoverSnapshot handOver(final Successor to) throws IOException {
    ScriptedCourierProcess.print(ScriptedCourierProcess.EVENT + "asked to hand over");
    final HandoverSnapshot snapshot = answer.handOver();
    successor = to;
    return snapshot;
  }

  @Override
  public void abandonCall(final long call, final AttemptResult result) {
    ScriptedCourierProcess.print(ScriptedCourierProcess.EVENT + "abandon " + call + " " + result);
    final String id = calls.abandon(call);
    successor.reportOutcome(call, id, new Dispatcher.DispatchOutcome(result, false, 0, null));
  }

  @Override
  public void onSuccessorListening() {
    ScriptedCourierProcess.print(ScriptedCourierProcess.EVENT + "successor listens");
  }

  @Override
  public void onSuccessorGone() {
    ScriptedCourierProcess.print(ScriptedCourierProcess.EVENT + "successor gone");
  }
}
