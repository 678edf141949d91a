package thistleturn.decisions.pools;

import thistleturn.decisions.model.AttemptResult;

/**
 * The circumstances in which a call lost its connection, from which its outcome follows.
 *
 * @param requestWritten true if the last byte of the request was written
 * @param connectionReused true if the connection had carried a call before
 * @param responseStarted true if any byte of a response was received
 * @param sinceWriteUs time from the write to the loss, us
 * @param handshakeUs smoothed duration of a handshake with that endpoint, us; 0 if unknown
 */
public record ConnectionLoss(
    boolean requestWritten,
    boolean connectionReused,
    boolean responseStarted,
    long sinceWriteUs,
    double handshakeUs) {
  /** The loss of an already closed connection is reported within this many round trips. */
  static final double STALE_WINDOW_ROUND_TRIPS = 4;

  /** Least such window, us: allows for delays of the event loop and the machine. */
  static final long MIN_STALE_WINDOW_US = 20_000;

  /**
   * Returns the result of the call. It is {@link AttemptResult#STALE} only if the connection was
   * already closed before the call: it was reused, and the loss was reported within a few round
   * trips. After that, the endpoint may have failed while it processed the request.
   */
  public AttemptResult result() {
    if (!requestWritten) {
      return AttemptResult.NO_CONNECTION;
    }
    final boolean wasClosedBefore = connectionReused && !responseStarted && isWithinStaleWindow();
    return wasClosedBefore ? AttemptResult.STALE : AttemptResult.RESET;
  }

  private boolean isWithinStaleWindow() {
    return sinceWriteUs <= Math.max(MIN_STALE_WINDOW_US, STALE_WINDOW_ROUND_TRIPS * handshakeUs);
  }
}
