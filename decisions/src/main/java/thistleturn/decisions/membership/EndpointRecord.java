package thistleturn.decisions.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One address of one destination: what the sources say of it, and what was made of that. */
final class EndpointRecord {
  static final long NEVER = Long.MAX_VALUE;

  final String address;
  final long destination;

  /** The first of its entries; they are chained. */
  private EndpointSource.Entry first;

  /** Another point with the same address, for another destination; null if there is none. */
  EndpointRecord nextClaim;

  /** Until when a source's deletion outweighs other sources' listing, by source; most have none. */
  private Map<EndpointSource, Long> deletions = Map.of();

  /**
   * What was told last; a state of null if nothing ever was. Kept as fields: there are many points.
   */
  private MergedEndpoint.State state;

  private StateReason because;
  private EndpointSource by;
  private String zone;
  private String kind;
  private double ratePerSecond;
  private long sinceUs;

  /**
   * How often it fell in a row without a calm time, and since when its sources have it up again.
   */
  private int consecutiveFalls;

  private long upSinceUs = NEVER;

  EndpointRecord(final String address, final long destination) {
    this.address = address;
    this.destination = destination;
  }

  /**
   * What the sources' words come to, before its neighbours are looked at. {@code decidedBy}: whose
   * word counted, or null. {@code grade}: for one that is up, how well that is founded. {@code
   * reassessUs}: when time alone changes it.
   */
  record Verdict(
      MergedEndpoint.State state,
      StateReason reason,
      EndpointSource decidedBy,
      Grade grade,
      long reassessUs) {
    boolean isUp() {
      return state == MergedEndpoint.State.UP;
    }
  }

  /** How well it is founded that an endpoint is up, best first. */
  enum Grade {
    FRESH,
    USABLE,
    POOR
  }

  void add(final EndpointSource.Entry entry) {
    if (first == null) {
      first = entry;
      return;
    }
    EndpointSource.Entry last = first;
    while (last.next != null) {
      last = last.next;
    }
    last.next = entry;
  }

  void remove(final EndpointSource.Entry entry) {
    if (first == entry) {
      first = entry.next;
      return;
    }
    for (EndpointSource.Entry before = first; before != null; before = before.next) {
      if (before.next == entry) {
        before.next = entry.next;
        return;
      }
    }
  }

  boolean isUnlisted() {
    return first == null;
  }

  boolean isListedBy(final EndpointSource source) {
    for (EndpointSource.Entry entry = first; entry != null; entry = entry.next) {
      if (entry.source == source) {
        return true;
      }
    }
    return false;
  }

  void recordDeletion(final EndpointSource by, final long untilUs) {
    if (deletions.isEmpty()) {
      deletions = new HashMap<>();
    }
    deletions.put(by, untilUs);
  }

  /** The source lists it again, or is no longer asked. */
  void clearDeletion(final EndpointSource by) {
    if (!deletions.isEmpty()) {
      deletions.remove(by);
    }
  }

  /**
   * The entry by which a source's word counts: of several instances at one address the one that
   * changed last.
   */
  private static EndpointSource.Entry newer(
      final EndpointSource.Entry one, final EndpointSource.Entry two) {
    return two.report.version() >= one.report.version() ? two : one;
  }

  /** One entry a source, by rank. */
  private List<EndpointSource.Entry> latestBySource() {
    if (first == null) {
      return List.of();
    }
    if (first.next == null) {
      return List.of(first);
    }
    final Map<EndpointSource, EndpointSource.Entry> bySource = new HashMap<>();
    for (EndpointSource.Entry entry = first; entry != null; entry = entry.next) {
      bySource.merge(entry.source, entry, EndpointRecord::newer);
    }
    final List<EndpointSource.Entry> words = new ArrayList<>(bySource.values());
    words.sort(Comparator.comparingInt(entry -> entry.source.rank));
    return words;
  }

  /** The entry of the highest rank, or null. */
  EndpointSource.Entry owner() {
    final List<EndpointSource.Entry> words = latestBySource();
    return words.isEmpty() ? null : words.get(0);
  }

  Verdict assess(final long nowUs, final MergeSettings rules) {
    final List<EndpointSource.Entry> words = latestBySource();
    EndpointSource.Entry best = null;
    Grade bestGrade = null;
    long againUs = NEVER;
    long heardUs = 0;
    for (final EndpointSource.Entry entry : words) {
      if (entry.report.status() == ReportedStatus.UP) {
        heardUs = Math.max(heardUs, entry.source.lastResponseUs());
        final Grade grade = grade(entry, nowUs, rules);
        if (best == null || grade.compareTo(bestGrade) < 0) {
          best = entry;
          bestGrade = grade;
        }
        againUs = Math.min(againUs, gradeEndsUs(entry, nowUs, rules));
      }
    }
    final boolean heardUp =
        best != null && !best.source.isUnreachable() && best.absentSinceUs == EndpointSource.UNSET;
    EndpointSource expired = null;
    for (final EndpointSource.Entry entry : words) {
      if (!entry.report.status().blocksNewCalls()) {
        continue;
      }
      final long endsUs = warningEndsUs(entry.source, rules);
      if (endsUs > nowUs || (!heardUp && endsUs != EndpointSource.UNSET)) {
        return new Verdict(
            MergedEndpoint.State.DRAINING,
            best == null ? StateReason.SAID : StateReason.CAUTION,
            entry.source,
            null,
            heardUp ? endsUs : NEVER);
      }
      if (best == null) {
        return new Verdict(
            MergedEndpoint.State.DRAINING, StateReason.SAID, entry.source, null, NEVER);
      }
      overrule(entry.source);
      expired = entry.source;
    }
    if (best == null) {
      return new Verdict(MergedEndpoint.State.GONE, StateReason.UNLISTED, null, null, NEVER);
    }
    for (final Map.Entry<EndpointSource, Long> deletion : deletions.entrySet()) {
      final long untilUs = deletion.getValue();
      // Who still lists it must have been heard since: its word may be older than the deletion.
      if (untilUs > nowUs || heardUs < untilUs - rules.conflictWindowUs()) {
        return new Verdict(
            MergedEndpoint.State.DRAINING,
            StateReason.DELETED,
            deletion.getKey(),
            null,
            untilUs > nowUs ? untilUs : NEVER);
      }
    }
    final StateReason because =
        expired != null
            ? StateReason.WARNING_EXPIRED
            : best.absentSinceUs != EndpointSource.UNSET
                ? StateReason.DOUBTED
                : best.source.isUnreachable() ? StateReason.STALE : StateReason.SAID;
    return new Verdict(MergedEndpoint.State.UP, because, best.source, bestGrade, againUs);
  }

  /**
   * Until when the warnings of a source count against another's word; {@link EndpointSource#UNSET}
   * if all were overruled. Once overruled, a warning stays so until it is said again: a further
   * outage may not bring it back.
   */
  private long warningEndsUs(final EndpointSource by, final MergeSettings rules) {
    long untilUs = EndpointSource.UNSET;
    for (EndpointSource.Entry entry = first; entry != null; entry = entry.next) {
      if (entry.source == by && entry.report.status().blocksNewCalls() && !entry.overruled) {
        final long silentUs = entry.unconfirmedSinceUs();
        untilUs =
            Math.max(
                untilUs,
                silentUs == EndpointSource.UNSET ? NEVER : silentUs + rules.conflictWindowUs());
      }
    }
    return untilUs;
  }

  private void overrule(final EndpointSource by) {
    for (EndpointSource.Entry entry = first; entry != null; entry = entry.next) {
      entry.overruled |= entry.source == by && entry.report.status().blocksNewCalls();
    }
  }

  private static Grade grade(
      final EndpointSource.Entry entry, final long nowUs, final MergeSettings rules) {
    if (gradeEndsUs(entry, nowUs, rules) == NEVER
        && !entry.source.isUnreachable()
        && entry.absentSinceUs == EndpointSource.UNSET) {
      return Grade.FRESH;
    }
    final boolean poor =
        (entry.source.isUnreachable()
                && nowUs >= entry.source.unreachableSinceUs() + rules.staleAfterUs())
            || (entry.absentSinceUs != EndpointSource.UNSET
                && nowUs >= entry.absentSinceUs + rules.absenceGraceUs());
    return poor ? Grade.POOR : Grade.USABLE;
  }

  /** When its foundation grows worse by time alone. */
  private static long gradeEndsUs(
      final EndpointSource.Entry entry, final long nowUs, final MergeSettings rules) {
    long endsUs = NEVER;
    if (entry.source.isUnreachable()) {
      endsUs = entry.source.unreachableSinceUs() + rules.staleAfterUs();
    }
    if (entry.absentSinceUs != EndpointSource.UNSET) {
      endsUs = Math.min(endsUs, entry.absentSinceUs + rules.absenceGraceUs());
    }
    return endsUs > nowUs ? endsUs : NEVER;
  }

  // ---------------------------------------------------------------- flapping

  /** Notes whether its sources have it up now. */
  void recordReportedUp(final long nowUs, final boolean up) {
    if (up) {
      upSinceUs = Math.min(upSinceUs, nowUs);
    } else {
      upSinceUs = NEVER;
    }
  }

  /** Until when it is held back though it is up. */
  long heldDownUntilUs(final MergeSettings rules) {
    return upSinceUs == NEVER ? NEVER : upSinceUs + rules.holdDownUs(consecutiveFalls);
  }

  boolean isPublishedUp() {
    return state == MergedEndpoint.State.UP;
  }

  boolean isPublished() {
    return state != null;
  }

  /** What was told last, for the courier and for people; not before something was. */
  MergedEndpoint published() {
    return new MergedEndpoint(
        address,
        destination,
        zone,
        kind,
        ratePerSecond,
        state,
        because,
        by == null ? "" : by.name,
        by == null ? 0 : by.lastResponseUs(),
        sinceUs);
  }

  /**
   * Takes over what is decided.
   *
   * @param rate what its destination takes, as told by whoever tells it
   * @param fell its sources' words took it out of use
   * @return true if that is news to the courier; age and reason are for people
   */
  boolean publish(
      final long nowUs,
      final MergedEndpoint.State next,
      final StateReason why,
      final Verdict verdict,
      final double rate,
      final boolean fell,
      final MergeSettings rules) {
    final EndpointSource.Entry owner = owner();
    if (owner == null && state == null) {
      return false;
    }
    final MergedEndpoint.State before = state;
    if (before == MergedEndpoint.State.UP && next != MergedEndpoint.State.UP && fell) {
      consecutiveFalls = nowUs - sinceUs >= rules.stableAfterUs() ? 1 : consecutiveFalls + 1;
    }
    sinceUs = before == next ? sinceUs : nowUs;
    state = next;
    because = why;
    by = verdict.decidedBy();
    boolean same = before == next;
    if (owner != null) {
      final SourceReport report = owner.report;
      final double nextRate = report.ratePerSecond() > 0 ? report.ratePerSecond() : rate;
      same &= report.zone().equals(zone) && report.kind().equals(kind) && nextRate == ratePerSecond;
      zone = report.zone();
      kind = report.kind();
      ratePerSecond = nextRate;
    }
    if (next == MergedEndpoint.State.GONE) {
      return before != null && before != MergedEndpoint.State.GONE;
    }
    return !same;
  }

  /** When nothing of it need be remembered any more; never, while something lists it. */
  long removableUs(final MergeSettings rules) {
    if (first != null) {
      return NEVER;
    }
    return state == null
        ? 0
        : state == MergedEndpoint.State.GONE ? sinceUs + rules.stableAfterUs() : NEVER;
  }
}
