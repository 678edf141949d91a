package thistleturn.decisions.model;

/**
 * An accepted message; {@code classIndex} and {@code tenantIndex} index the settings, the latter -1
 * if it has no tenant.
 */
public record Message(
    String id,
    int classIndex,
    int tenantIndex,
    String key,
    long validUntilUs,
    long destinationId) {}
