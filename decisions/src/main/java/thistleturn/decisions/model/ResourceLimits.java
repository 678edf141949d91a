package thistleturn.decisions.model;

/** What this courier may use. */
public record ResourceLimits(
    int concurrencyLimit,
    int maxPendingMessages,
    int maxAttempts,
    boolean cancellationAllowed,
    long idleTimeoutUs,
    int streamsPerConnection,
    long maxRetryAfterUs) {}
