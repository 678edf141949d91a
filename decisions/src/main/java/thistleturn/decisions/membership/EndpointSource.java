package thistleturn.decisions.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One source of endpoints: what it lists, and how far that can be believed now. */
final class EndpointSource {
  private static final long UNSET = -1;

  private final String name;
  private final int rank;

  /**
   * True if whatever a snapshot lacks is gone. The platform's protocol guarantees that of its list;
   * a registry that restarts may lack instances for a while.
   */
  private final boolean snapshotsAuthoritative;

  private final Map<String, SourceEntry> entries = new HashMap<>();
  private long lastResponseUs;
  private long unreachableSinceUs;
  private long implausibleSinceUs = UNSET;

  /** The most instances in a plausible snapshot of late, and when that was seen. */
  private int peakInstances;

  private long peakUs;
  private long droppedEntries;
  private long snapshots;
  private long implausibleSnapshots;

  /** A source that has not responded yet, and so counts as unreachable. */
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

  /** The lower, the more the source counts where sources describe an endpoint differently. */
  int rank() {
    return rank;
  }

  // ---------------------------------------------------------------- entries

  /** The entry of an instance, or null. */
  SourceEntry entry(final String instanceId) {
    return entries.get(instanceId);
  }

  /** All entries, in a copy that stays as it is while entries come and go. */
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

  /** An instance was not taken in because the source lists too many. */
  void recordDropped() {
    droppedEntries++;
  }

  // ---------------------------------------------------------------- reachability

  void recordResponse(final long nowUs) {
    lastResponseUs = nowUs;
    unreachableSinceUs = UNSET;
  }

  /**
   * The source cannot be reached.
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

  /** Since when the source has been unreachable; only meaningful while it is. */
  long unreachableSinceUs() {
    return unreachableSinceUs;
  }

  long lastResponseUs() {
    return lastResponseUs;
  }

  // ---------------------------------------------------------------- plausibility

  /**
   * Judges a snapshot by its size. What an implausible one lacks is not believed to be gone: an
   * empty one, or one that lacks more than the usual loss of what was known of late.
   *
   * @param instances how many instances the snapshot has
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
