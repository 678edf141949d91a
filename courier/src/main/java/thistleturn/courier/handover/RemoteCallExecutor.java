package thistleturn.courier.handover;

import thistleturn.decisions.model.AttemptResult;

/**
 * Whoever carries out calls that another one decides on: they were out at a handover. On the event
 * loop only.
 */
public interface RemoteCallExecutor {
  /** From now on its events go there. */
  void setListener(HandoverClient.Listener to);

  /** Gives up a call that it has out; its outcome is told. */
  void abandonCall(long call, AttemptResult result);
}
