package thistleturn.decisions.membership;

import java.util.HashMap;
import java.util.Map;

/** One source: what it lists, and how far that can be believed now. */
final class EndpointSource {
  static final long UNSET = -1;

  final String name;
  final int rank;

  /** True if whatever its whole answers lack is gone: a source that is never wrong about that. */
  final boolean snapshotsAuthoritative;

  final Map<String, Entry> entries = new HashMap<>();
  private long lastResponseUs;
  private long unreachableSinceUs;
  private long implausibleSinceUs = UNSET;
  private int peak;
  private long peakUs;
  private long droppedEntries;
  private long snapshots;
  private long implausibleSnapshots;

  EndpointSource(final String name, final int rank, final boolean absenceIsWord, final long nowUs) {
    this.name = name;
    this.rank = rank;
    this.snapshotsAuthoritative = absenceIsWord;
    this.unreachableSinceUs = nowUs;
  }

  /** An instance as this source lists it. */
  static final class Entry {
    final EndpointSource source;
    final EndpointRecord endpoint;
    SourceReport report;

    /** The next entry at the same point, in the order of their coming; null for the last. */
    Entry next;

    /** Since when answers lack it that are not plausible; {@link #UNSET} while they have it. */
    long absentSinceUs = UNSET;

    /** When it last said something cautious; {@link #UNSET} if it never did. */
    long lastWarningUs = UNSET;

    /**
     * Its warning outlived its source's silence and another source's word counted; until it is said
     * again.
     */
    boolean overruled;

    Entry(final EndpointSource source, final EndpointRecord point, final SourceReport report) {
      this.source = source;
      this.endpoint = point;
      this.report = report;
    }

    /**
     * Since when its source has not said it, being lost or lacking it in its answers; {@link
     * #UNSET} if it does.
     */
    long unconfirmedSinceUs() {
      if (!source.isUnreachable() || absentSinceUs == UNSET) {
        return source.isUnreachable() ? source.unreachableSinceUs : absentSinceUs;
      }
      return Math.min(source.unreachableSinceUs, absentSinceUs);
    }
  }

  void recordResponse(final long nowUs) {
    lastResponseUs = nowUs;
    unreachableSinceUs = UNSET;
  }

  /** True if it was heard until now. */
  boolean markUnreachable(final long nowUs) {
    if (unreachableSinceUs != UNSET) {
      return false;
    }
    unreachableSinceUs = nowUs;
    return true;
  }

  boolean isUnreachable() {
    return unreachableSinceUs != UNSET;
  }

  long unreachableSinceUs() {
    return unreachableSinceUs;
  }

  long lastResponseUs() {
    return lastResponseUs;
  }

  /**
   * Judges a whole answer with so many instances; false if what it lacks is not to be believed
   * gone.
   */
  boolean isPlausible(final long nowUs, final int count, final MergeSettings rules) {
    snapshots++;
    if (nowUs - peakUs > rules.absenceGraceUs()) {
      peak = entries.size();
      peakUs = nowUs;
    }
    final int known = Math.max(peak, entries.size());
    final boolean plausible =
        snapshotsAuthoritative
            || known == 0
            || (count > 0 && known - count <= rules.plausibleLoss(known));
    if (plausible) {
      implausibleSinceUs = UNSET;
      if (count >= peak) {
        peak = count;
        peakUs = nowUs;
      }
    } else {
      implausibleSnapshots++;
      implausibleSinceUs = implausibleSinceUs == UNSET ? nowUs : implausibleSinceUs;
    }
    return plausible;
  }

  void recordDropped() {
    droppedEntries++;
  }

  SourceStatus status() {
    final int doubted =
        (int) entries.values().stream().filter(entry -> entry.absentSinceUs != UNSET).count();
    return new SourceStatus(
        name,
        rank,
        entries.size(),
        doubted,
        droppedEntries,
        lastResponseUs,
        unreachableSinceUs,
        implausibleSinceUs,
        snapshots,
        implausibleSnapshots);
  }
}
