package thistleturn.courier.http;

/**
 * A lower bound for the time at which the bytes read from a socket were received. It is notified of
 * each read and each pause; the bound may be too early, but never too late.
 */
final class ReceiveTimeBound {
  /** False if the next bytes may have been received together with the last ones. */
  private boolean drained;

  private long earliestUs;
  private long lastReadUs;

  /** Creates a bound for a socket that received nothing before the given time. */
  ReceiveTimeBound(final long openedUs) {
    this.earliestUs = openedUs;
    this.lastReadUs = openedUs;
  }

  /**
   * Records that bytes were read.
   *
   * @param previousPollUs when the last poll began that found the socket empty or was followed by a
   *     read
   * @param emptied false if the read filled its buffer, so that more bytes may be waiting
   */
  void onRead(final long nowUs, final long previousPollUs, final boolean emptied) {
    if (drained) {
      earliestUs = Math.max(lastReadUs, previousPollUs);
    }
    lastReadUs = nowUs;
    drained = emptied;
  }

  /** Records whether the last read emptied the socket. */
  void setDrained(final boolean emptied) {
    drained = emptied;
  }

  /** Records that reading pauses: the next bytes may be received from now on. */
  void onReadPaused(final long nowUs) {
    if (drained) {
      drained = false;
      earliestUs = nowUs;
    }
  }

  /** The earliest time at which the bytes of the last read may have been received, us. */
  long earliestUs() {
    return earliestUs;
  }
}
