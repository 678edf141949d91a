package thistleturn.courier.handover;

import thistleturn.decisions.model.AttemptResult;

/**
 * Carries out calls that another process decides on: they were in flight at a handover, and stay on
 * the connections of the older process. Used on the event loop.
 */
public interface RemoteCallExecutor {
  /** Reports events to this listener from now on, beginning with those that occurred before. */
  void setListener(HandoverClient.Listener listener);

  /** Abandons a call in flight; its outcome is reported. */
  void abandonCall(long call, AttemptResult result);
}
