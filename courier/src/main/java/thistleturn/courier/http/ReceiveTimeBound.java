package thistleturn.courier.http;

/**
 * Since when what is read from a socket may have lain in its buffer. It is told of each read and of
 * each pause, and bounds the moment of arrival from below; it never guesses a later one.
 */
final class ReceiveTimeBound {
  /** While false, what comes next may have been there along with what was read last. */
  private boolean drained;

  private long earliestUs;
  private long lastReadUs;

  /** {@code sinceUs}: nothing can have come before. */
  ReceiveTimeBound(final long sinceUs) {
    this.earliestUs = sinceUs;
    this.lastReadUs = sinceUs;
  }

  /**
   * Bytes were read.
   *
   * @param previousLookUs when the loop began to look the last time that it found nothing here, or
   *     read something
   * @param all false if there may be more: the read filled its buffer
   */
  void onRead(final long nowUs, final long previousLookUs, final boolean all) {
    if (drained) {
      earliestUs = Math.max(lastReadUs, previousLookUs);
    }
    lastReadUs = nowUs;
    drained = all;
  }

  /** Whether nothing is left of what was there at the last read. */
  void setDrained(final boolean all) {
    drained = all;
  }

  /** Nothing is read for a while: what comes meanwhile lies there from now on at the earliest. */
  void onReadPaused(final long nowUs) {
    if (drained) {
      drained = false;
      earliestUs = nowUs;
    }
  }

  /** What was read last came no sooner than this, us. */
  long earliestUs() {
    return earliestUs;
  }
}
