package thistleturn.decisions.membership;

/**
 * The status of a source, for operators.
 *
 * @param name its name
 * @param rank the lower, the more it counts where sources describe an endpoint differently
 * @param entries how many instances it lists
 * @param missingEntries how many of them its last, implausible snapshot lacked
 * @param droppedEntries how many instances were not taken in because it lists too many
 * @param lastResponseUs when it last responded; 0 if it never did
 * @param unreachableSinceUs since when it has been unreachable; -1 while it is reachable
 * @param implausibleSinceUs since when its snapshots have been implausible; -1 while they are not
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
