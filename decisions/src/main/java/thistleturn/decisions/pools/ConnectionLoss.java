package thistleturn.decisions.pools;

import thistleturn.decisions.model.AttemptResult;

/**
 * The circumstances in which a call lost its connection, from which its outcome follows.
 *
 * @param requestWritten true if the last byte of the request was written
 * @param connectionReused true if the connection had carried a call before
 * @param responseStarted true if any byte of a response came
 * @param sinceWriteUs time from the writing to the loss, us
 * @param handshakeUs how long a handshake with that endpoint takes, smoothed, us; 0 if unknown
 */
public record ConnectionLoss(
    boolean requestWritten,
    boolean connectionReused,
    boolean responseStarted,
    long sinceWriteUs,
    double handshakeUs) {
  /** A connection that is dead already is reported so within this many round trips. */
  static final double STALE_WINDOW_ROUND_TRIPS = 4;

  /** Event loops and machines take a while, too. */
  static final long MIN_STALE_WINDOW_US = 20_000;

  /**
   * The outcome of the call. It is {@link AttemptResult#STALE} only where the connection was dead
   * before the call: it was reused, and lost as fast as a round trip allows. Any later, the
   * endpoint may have failed while it processed the request.
   */
  public AttemptResult result() {
    if (!requestWritten) {
      return AttemptResult.NO_CONNECTION;
    }
    final boolean wasDeadBefore = connectionReused && !responseStarted && isLostAtOnce();
    return wasDeadBefore ? AttemptResult.STALE : AttemptResult.RESET;
  }

  private boolean isLostAtOnce() {
    return sinceWriteUs <= Math.max(MIN_STALE_WINDOW_US, STALE_WINDOW_ROUND_TRIPS * handshakeUs);
  }
}
