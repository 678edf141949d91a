package thistleturn.decisions.model;

/**
 * The outcome of an attempt.
 *
 * @param isFinal whether the message has its final outcome
 * @param durationUs its duration; negative if not measured, because the courier itself was paused
 *     during the attempt
 * @param retryAfterUs the Retry-After of the response, or 0
 * @param loadReport the load report of the destination, or null
 * @param certainty whether the response is known to be that of this attempt
 * @param isLastAttempt whether no further attempt may follow, by the response
 */
public record AttemptOutcome(
    String messageId,
    AttemptResult result,
    boolean isFinal,
    long endpointId,
    long durationUs,
    long retryAfterUs,
    LoadReport loadReport,
    ResponseCertainty certainty,
    boolean isLastAttempt) {

  /** Creates the outcome of an attempt whose response, if any, is known to be its own. */
  public AttemptOutcome(
      final String messageId,
      final AttemptResult result,
      final boolean isFinal,
      final long endpointId,
      final long durationUs,
      final long retryAfterUs,
      final LoadReport loadReport) {
    this(
        messageId,
        result,
        isFinal,
        endpointId,
        durationUs,
        retryAfterUs,
        loadReport,
        ResponseCertainty.CERTAIN,
        false);
  }

  /** Returns whether the message had no effect by the response, so that a retry is safe. */
  public boolean neverExecuted() {
    return result.neverExecuted();
  }
}
