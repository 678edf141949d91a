package thistleturn.courier.handover;

import java.io.IOException;
import thistleturn.decisions.model.AttemptResult;

/** A process that can hand over. Called on its event loop. */
public interface HandoverSource {
  /**
   * Decides nothing from this moment on, and lets the journal go.
   *
   * @throws IOException if that cannot be done now; then it goes on as it was
   */
  HandoverSnapshot handOver(Successor heir) throws IOException;

  /** Gives up a call that is still out; its outcome is told. */
  void abandonCall(long call, AttemptResult result);

  /** The heir takes clients: no further connection need be accepted here. */
  void onSuccessorListening();

  /** The heir has gone before this process. */
  void onSuccessorGone();
}
