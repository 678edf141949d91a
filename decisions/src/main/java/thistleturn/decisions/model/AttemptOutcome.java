package thistleturn.decisions.model;

/**
 * The outcome of an attempt. {@code isFinal}: the message has its final answer. {@code
 * retryAfterUs}: the wait told with the answer, or 0. {@code loadReport}: null if nothing was told.
 * {@code durationUs} below 0: not measured, since the courier itself did not run all the while.
 */
public record AttemptOutcome(
    String messageId,
    AttemptResult result,
    boolean isFinal,
    long endpointId,
    long durationUs,
    long retryAfterUs,
    LoadReport loadReport) {}
