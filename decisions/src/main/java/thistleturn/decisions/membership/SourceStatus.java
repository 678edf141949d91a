package thistleturn.decisions.membership;

/**
 * The status of a source, for operators.
 *
 * @param name its name
 * @param rank where sources describe an endpoint differently, the one with the lowest rank counts
 * @param entries how many instances it lists
 * @param missingEntries how many of them its last, implausible snapshot lacked
 * @param droppedEntries how many instances were dropped because it lists too many
 * @param lastResponseUs when it last responded; 0 if it never did
 * @param unreachableSinceUs when it became unreachable; -1 while it is reachable
 * @param implausibleSinceUs when its snapshots became implausible; -1 while they are plausible
 * @param snapshots how many complete snapshots it has sent
 * @param implausibleSnapshots how many of those were not plausible
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
