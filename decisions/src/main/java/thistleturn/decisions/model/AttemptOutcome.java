package thistleturn.decisions.model;

/**
 * The outcome of an attempt.
 *
 * @param isFinal whether the message has its final outcome
 * @param durationUs its duration; negative if not measured, because the courier itself was paused
 *     during the attempt
 * @param retryAfterUs the Retry-After of the response, or 0
 * @param loadReport the load report of the destination, or null
 */
public record AttemptOutcome(
    String messageId,
    AttemptResult result,
    boolean isFinal,
    long endpointId,
    long durationUs,
    long retryAfterUs,
    LoadReport loadReport) {}
