package thistleturn.courier;

import java.io.IOException;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.handover.HandoverSource;
import thistleturn.courier.handover.Successor;
import thistleturn.courier.port.Dispatcher;
import thistleturn.decisions.model.AttemptResult;

/** What a {@link ScriptedCourierProcess} does as the older one of two; it prints each event. */
final class ScriptedHandoverSource implements HandoverSource {
  private final ScriptedCalls calls;
  private final Answer answer;
  private Successor successor;

  /** Answers a request to hand over. */
  @FunctionalInterface
  interface Answer {
    /**
     * Returns what is handed over.
     *
     * @throws IOException if nothing is
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
