package thistleturn.courier.handover;

import java.io.IOException;
import thistleturn.decisions.model.AttemptResult;

/** A process that can hand over to a newer one. Called on its event loop. */
public interface HandoverSource {
  /**
   * Stops deciding and releases the journal. From then on the process only completes the calls in
   * flight and the requests of its clients.
   *
   * @param successor receives what this process's clients submit and the outcomes of its calls
   * @throws IOException if this is not possible now; then the process continues as before
   */
  HandoverSnapshot handOver(Successor successor) throws IOException;

  /** Abandons a call that is still in flight; its outcome is reported. */
  void abandonCall(long call, AttemptResult result);

  /** The successor accepts clients: no further connection need be accepted here. */
  void onSuccessorListening();

  /** The successor has ended before this process. */
  void onSuccessorGone();
}
