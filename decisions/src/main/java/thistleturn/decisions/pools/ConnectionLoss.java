package thistleturn.decisions.pools;

import thistleturn.decisions.model.AttemptResult;

/**
 * What it says of a call, and of whom it went to, that its connection broke. Moments and times in
 * us.
 *
 * @param requestWritten true if the call's last byte was written
 * @param connectionReused true if the connection had carried a call before
 * @param responseStarted true if any byte of an answer came
 * @param sinceWriteUs from the writing to the break
 * @param handshakeUs what a handshake takes with that endpoint, smoothed; 0: not known
 */
public record ConnectionLoss(
    boolean requestWritten,
    boolean connectionReused,
    boolean responseStarted,
    long sinceWriteUs,
    double handshakeUs) {
  /**
   * A connection that is dead already says so within a round trip; loops and machines take a while,
   * too.
   */
  static final double STALE_WINDOW_ROUND_TRIPS = 4;

  static final long MIN_STALE_WINDOW_US = 20_000;

  /**
   * The outcome of a call that was cut off like this. {@link AttemptResult#STALE} is told only
   * where the connection was dead before the call: it was kept, and its end came as fast as a round
   * trip lets it. Any later, and an endpoint may have failed in the midst of its work.
   */
  public AttemptResult result() {
    if (!requestWritten) {
      return AttemptResult.NO_CONNECTION;
    }
    final boolean atOnce =
        sinceWriteUs <= Math.max(MIN_STALE_WINDOW_US, STALE_WINDOW_ROUND_TRIPS * handshakeUs);
    return connectionReused && !responseStarted && atOnce
        ? AttemptResult.STALE
        : AttemptResult.RESET;
  }
}
