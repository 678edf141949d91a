package thistleturn.decisions.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One source of endpoints: its entries, its reachability and the plausibility of its snapshots. */
final class EndpointSource {
  private static final long UNSET = -1;

  private final String name;
  private final int rank;

  /**
   * True if every instance that a snapshot lacks is gone. The platform's protocol guarantees this
   * for its list; a registry that restarts may lack instances for a while.
   */
  private final boolean snapshotsAuthoritative;

  private final Map<String, SourceEntry> entries = new HashMap<>();
  private long lastResponseUs;
  private long unreachableSinceUs;
  private long implausibleSinceUs = UNSET;

  /** The most instances in a recent plausible snapshot, and when that snapshot arrived. */
  private int peakInstances;

  private long peakUs;
  private long droppedEntries;
  private long snapshots;
  private long implausibleSnapshots;

  /** Creates a source that has not responded yet, and so counts as unreachable. */
  EndpointSource(
      final String name, final int rank, final boolean snapshotsAuthoritative, final long nowUs) {
    this.name = name;
    this.rank = rank;
    this.snapshotsAuthoritative = snapshotsAuthoritative;
    this.unreachableSinceUs = nowUs;
  }

  String name() {
    return name;
  }

  /** Returns the rank; where descriptions of an endpoint differ, the lowest rank counts. */
  int rank() {
    return rank;
  }

  // ---------------------------------------------------------------- entries

  /** Returns the entry of an instance, or null. */
  SourceEntry entry(final String instanceId) {
    return entries.get(instanceId);
  }

  /** Returns a copy of all entries, which later additions and removals do not change. */
  List<SourceEntry> entries() {
    return List.copyOf(entries.values());
  }

  int entryCount() {
    return entries.size();
  }

  void add(final SourceEntry entry) {
    entries.put(entry.report().instanceId(), entry);
  }

  void remove(final SourceEntry entry) {
    entries.remove(entry.report().instanceId());
  }

  /** Records that an instance was dropped because the source lists too many. */
  void recordDropped() {
    droppedEntries++;
  }

  // ---------------------------------------------------------------- reachability

  void recordResponse(final long nowUs) {
    lastResponseUs = nowUs;
    unreachableSinceUs = UNSET;
  }

  /**
   * Marks the source as unreachable.
   *
   * @return true if it was reachable until now
   */
  boolean markUnreachable(final long nowUs) {
    if (isUnreachable()) {
      return false;
    }
    unreachableSinceUs = nowUs;
    return true;
  }

  boolean isUnreachable() {
    return unreachableSinceUs != UNSET;
  }

  /** Returns when the source became unreachable; only meaningful while it is. */
  long unreachableSinceUs() {
    return unreachableSinceUs;
  }

  long lastResponseUs() {
    return lastResponseUs;
  }

  // ---------------------------------------------------------------- plausibility

  /**
   * Records a snapshot and checks its plausibility by its size. A snapshot is implausible if it is
   * empty or lacks more than the tolerated share of the instances known recently; instances that an
   * implausible snapshot lacks do not count as deleted.
   *
   * @param instances how many instances the snapshot has
   * @return true if the snapshot is plausible, or the source's snapshots are authoritative
   */
  boolean recordSnapshot(final long nowUs, final int instances, final MergeSettings settings) {
    snapshots++;
    if (nowUs - peakUs > settings.absenceGraceUs()) {
      setPeak(entries.size(), nowUs);
    }
    final boolean plausible = snapshotsAuthoritative || isPlausible(instances, settings);
    if (!plausible) {
      implausibleSnapshots++;
      implausibleSinceUs = implausibleSinceUs == UNSET ? nowUs : implausibleSinceUs;
      return false;
    }
    implausibleSinceUs = UNSET;
    if (instances >= peakInstances) {
      setPeak(instances, nowUs);
    }
    return true;
  }

  private boolean isPlausible(final int instances, final MergeSettings settings) {
    final int known = Math.max(peakInstances, entries.size());
    return known == 0 || (instances > 0 && known - instances <= settings.plausibleLoss(known));
  }

  private void setPeak(final int instances, final long nowUs) {
    peakInstances = instances;
    peakUs = nowUs;
  }

  SourceStatus status() {
    final int missing = (int) entries.values().stream().filter(SourceEntry::isMissing).count();
    return new SourceStatus(
        name,
        rank,
        entries.size(),
        missing,
        droppedEntries,
        lastResponseUs,
        unreachableSinceUs,
        implausibleSinceUs,
        snapshots,
        implausibleSnapshots);
  }
}
