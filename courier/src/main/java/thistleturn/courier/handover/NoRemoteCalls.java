package thistleturn.courier.handover;

import thistleturn.decisions.model.AttemptResult;

/** Used if there is no older process: nothing is ever reported, and there is no call to abandon. */
enum NoRemoteCalls implements RemoteCallExecutor {
  INSTANCE;

  @Override
  public void setListener(final HandoverClient.Listener listener) {
    // Nothing will be reported to it.
  }

  @Override
  public void abandonCall(final long call, final AttemptResult result) {
    throw new IllegalStateException("no older process has call " + call);
  }
}
