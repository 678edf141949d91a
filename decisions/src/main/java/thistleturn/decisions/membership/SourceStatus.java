package thistleturn.decisions.membership;

/**
 * How a source stands. {@code unreachableSinceUs} and {@code implausibleSinceUs} are -1 while it is
 * heard and believed; {@code entries} counts what it lists, {@code missingEntries} those of them
 * that its last answer lacked, and {@code droppedEntries} what was beyond the bound.
 */
public record SourceStatus(
    String name,
    int rank,
    int entries,
    int missingEntries,
    long droppedEntries,
    long lastResponseUs,
    long unreachableSinceUs,
    long implausibleSinceUs,
    long snapshots,
    long implausibleSnapshots) {}
