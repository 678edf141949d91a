package thistleturn.decisions.model;

/** Whether a response is known to belong to the call that it was read for. */
public enum ResponseCertainty {
  /** It belongs to that call. */
  CERTAIN,
  /**
   * It was the next response on a connection that had carried other calls, and nothing in it says
   * whose it is. It may be a copy of an earlier one, or the late response of an earlier call.
   */
  UNCONFIRMED
}
