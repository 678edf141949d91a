package thistleturn.decisions.model;

/**
 * A message taken; {@code classIndex} and {@code tenantIndex} index the settings, tenant -1 if
 * none.
 */
public record Message(
    String id,
    int classIndex,
    int tenantIndex,
    String key,
    long validUntilUs,
    long destinationId) {}
