package thistleturn.courier.handover;

import java.io.IOException;
import thistleturn.decisions.model.AttemptResult;

/** A process that can hand over. Called on its event loop. */
public interface Giver {
  /**
   * Decides nothing from this moment on, and lets the journal go.
   *
   * @throws IOException if that cannot be done now; then it goes on as it was
   */
  Inheritance handOver(Heir heir) throws IOException;

  /** Gives up a call that is still out; its outcome is told. */
  void abandon(long call, AttemptResult result);

  /** The heir takes clients: no further connection need be accepted here. */
  void heirListens();

  /** The heir has gone before this process. */
  void heirGone();
}
