package thistleturn.decisions.model;

/**
 * An accepted message. {@code classIndex} and {@code tenantIndex} refer to the settings; the latter
 * is -1 for a message without a tenant.
 */
public record Message(
    String id,
    int classIndex,
    int tenantIndex,
    String key,
    long validUntilUs,
    long destinationId) {}
