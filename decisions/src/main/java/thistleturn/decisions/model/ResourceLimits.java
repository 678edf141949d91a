package thistleturn.decisions.model;

/** Limits on the resources that this courier uses and the attempts that it makes. */
public record ResourceLimits(
    int concurrencyLimit,
    int maxPendingMessages,
    int maxAttempts,
    boolean cancellationAllowed,
    long idleTimeoutUs,
    int streamsPerConnection,
    long maxRetryAfterUs) {}
