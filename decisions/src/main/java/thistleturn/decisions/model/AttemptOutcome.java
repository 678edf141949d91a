package thistleturn.decisions.model;

/**
 * The outcome of an attempt.
 *
 * @param isFinal whether the message has its final answer
 * @param durationUs how long it took; below 0: not measured, since the courier itself did not run
 *     all the while
 * @param retryAfterUs the wait that the answer asked for, or 0
 * @param loadReport what the destination reported of its load, or null
 */
public record AttemptOutcome(
    String messageId,
    AttemptResult result,
    boolean isFinal,
    long endpointId,
    long durationUs,
    long retryAfterUs,
    LoadReport loadReport) {}
