package thistleturn.decisions.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One address of one destination: what the sources say of it, and what was made of that. */
final class Point {
  static final long NEVER = Long.MAX_VALUE;

  final String address;
  final long destination;

  /** The first of its entries; they are chained. */
  private Source.Entry first;

  /** Another point with the same address, for another destination; null if there is none. */
  Point nextClaim;

  /** Until when a source's deletion outweighs other sources' listing, by source; most have none. */
  private Map<Source, Long> deletions = Map.of();

  /**
   * What was told last; a state of null if nothing ever was. Kept as fields: there are many points.
   */
  private Member.State state;

  private Because because;
  private Source by;
  private String zone;
  private String kind;
  private double ratePerSecond;
  private long sinceUs;

  /**
   * How often it fell in a row without a calm time, and since when its sources have it up again.
   */
  private int falls;

  private long upSinceUs = NEVER;

  Point(final String address, final long destination) {
    this.address = address;
    this.destination = destination;
  }

  /**
   * What the sources' words come to, before its neighbours are looked at. {@code by}: whose word
   * counted, or null. {@code grade}: for one that is up, how well that is founded. {@code againUs}:
   * when time alone changes it.
   */
  record Verdict(Member.State state, Because because, Source by, Grade grade, long againUs) {
    boolean isUp() {
      return state == Member.State.UP;
    }
  }

  /** How well it is founded that an endpoint is up, best first. */
  enum Grade {
    FRESH,
    USABLE,
    POOR
  }

  void add(final Source.Entry entry) {
    if (first == null) {
      first = entry;
      return;
    }
    Source.Entry last = first;
    while (last.next != null) {
      last = last.next;
    }
    last.next = entry;
  }

  void remove(final Source.Entry entry) {
    if (first == entry) {
      first = entry.next;
      return;
    }
    for (Source.Entry before = first; before != null; before = before.next) {
      if (before.next == entry) {
        before.next = entry.next;
        return;
      }
    }
  }

  boolean isUnlisted() {
    return first == null;
  }

  boolean isListedBy(final Source source) {
    for (Source.Entry entry = first; entry != null; entry = entry.next) {
      if (entry.source == source) {
        return true;
      }
    }
    return false;
  }

  void deleted(final Source by, final long untilUs) {
    if (deletions.isEmpty()) {
      deletions = new HashMap<>();
    }
    deletions.put(by, untilUs);
  }

  /** The source lists it again, or is no longer asked. */
  void undelete(final Source by) {
    if (!deletions.isEmpty()) {
      deletions.remove(by);
    }
  }

  /**
   * The entry by which a source's word counts: of several instances at one address the one that
   * changed last.
   */
  private static Source.Entry newer(final Source.Entry one, final Source.Entry two) {
    return two.report.version() >= one.report.version() ? two : one;
  }

  /** One entry a source, by rank. */
  private List<Source.Entry> words() {
    if (first == null) {
      return List.of();
    }
    if (first.next == null) {
      return List.of(first);
    }
    final Map<Source, Source.Entry> bySource = new HashMap<>();
    for (Source.Entry entry = first; entry != null; entry = entry.next) {
      bySource.merge(entry.source, entry, Point::newer);
    }
    final List<Source.Entry> words = new ArrayList<>(bySource.values());
    words.sort(Comparator.comparingInt(entry -> entry.source.rank));
    return words;
  }

  /** The entry of the highest rank, or null. */
  Source.Entry owner() {
    final List<Source.Entry> words = words();
    return words.isEmpty() ? null : words.get(0);
  }

  Verdict judge(final long nowUs, final Rules rules) {
    final List<Source.Entry> words = words();
    Source.Entry best = null;
    Grade bestGrade = null;
    long againUs = NEVER;
    long heardUs = 0;
    for (final Source.Entry entry : words) {
      if (entry.report.word() == Word.UP) {
        heardUs = Math.max(heardUs, entry.source.heardUs());
        final Grade grade = grade(entry, nowUs, rules);
        if (best == null || grade.compareTo(bestGrade) < 0) {
          best = entry;
          bestGrade = grade;
        }
        againUs = Math.min(againUs, gradeEndsUs(entry, nowUs, rules));
      }
    }
    final boolean heardUp =
        best != null && !best.source.isLost() && best.absentSinceUs == Source.NOT;
    Source expired = null;
    for (final Source.Entry entry : words) {
      if (!entry.report.word().isCautious()) {
        continue;
      }
      final long endsUs = warnsUntilUs(entry.source, rules);
      if (endsUs > nowUs || (!heardUp && endsUs != Source.NOT)) {
        return new Verdict(
            Member.State.DRAINING,
            best == null ? Because.SAID : Because.CAUTION,
            entry.source,
            null,
            heardUp ? endsUs : NEVER);
      }
      if (best == null) {
        return new Verdict(Member.State.DRAINING, Because.SAID, entry.source, null, NEVER);
      }
      overrule(entry.source);
      expired = entry.source;
    }
    if (best == null) {
      return new Verdict(Member.State.GONE, Because.UNLISTED, null, null, NEVER);
    }
    for (final Map.Entry<Source, Long> deletion : deletions.entrySet()) {
      final long untilUs = deletion.getValue();
      // Who still lists it must have been heard since: its word may be older than the deletion.
      if (untilUs > nowUs || heardUs < untilUs - rules.disagreementUs()) {
        return new Verdict(
            Member.State.DRAINING,
            Because.DELETED,
            deletion.getKey(),
            null,
            untilUs > nowUs ? untilUs : NEVER);
      }
    }
    final Because because =
        expired != null
            ? Because.WARNING_EXPIRED
            : best.absentSinceUs != Source.NOT
                ? Because.DOUBTED
                : best.source.isLost() ? Because.STALE : Because.SAID;
    return new Verdict(Member.State.UP, because, best.source, bestGrade, againUs);
  }

  /**
   * Until when the warnings of a source count against another's word; {@link Source#NOT} if all
   * were overruled. Once overruled, a warning stays so until it is said again: a further outage may
   * not bring it back.
   */
  private long warnsUntilUs(final Source by, final Rules rules) {
    long untilUs = Source.NOT;
    for (Source.Entry entry = first; entry != null; entry = entry.next) {
      if (entry.source == by && entry.report.word().isCautious() && !entry.overruled) {
        final long silentUs = entry.silentSinceUs();
        untilUs =
            Math.max(untilUs, silentUs == Source.NOT ? NEVER : silentUs + rules.disagreementUs());
      }
    }
    return untilUs;
  }

  private void overrule(final Source by) {
    for (Source.Entry entry = first; entry != null; entry = entry.next) {
      entry.overruled |= entry.source == by && entry.report.word().isCautious();
    }
  }

  private static Grade grade(final Source.Entry entry, final long nowUs, final Rules rules) {
    if (gradeEndsUs(entry, nowUs, rules) == NEVER
        && !entry.source.isLost()
        && entry.absentSinceUs == Source.NOT) {
      return Grade.FRESH;
    }
    final boolean poor =
        (entry.source.isLost() && nowUs >= entry.source.lostSinceUs() + rules.staleUseUs())
            || (entry.absentSinceUs != Source.NOT
                && nowUs >= entry.absentSinceUs + rules.doubtUs());
    return poor ? Grade.POOR : Grade.USABLE;
  }

  /** When its foundation grows worse by time alone. */
  private static long gradeEndsUs(final Source.Entry entry, final long nowUs, final Rules rules) {
    long endsUs = NEVER;
    if (entry.source.isLost()) {
      endsUs = entry.source.lostSinceUs() + rules.staleUseUs();
    }
    if (entry.absentSinceUs != Source.NOT) {
      endsUs = Math.min(endsUs, entry.absentSinceUs + rules.doubtUs());
    }
    return endsUs > nowUs ? endsUs : NEVER;
  }

  // ---------------------------------------------------------------- flapping

  /** Notes whether its sources have it up now. */
  void noteWord(final long nowUs, final boolean up) {
    if (up) {
      upSinceUs = Math.min(upSinceUs, nowUs);
    } else {
      upSinceUs = NEVER;
    }
  }

  /** Until when it is held back though it is up. */
  long heldUntilUs(final Rules rules) {
    return upSinceUs == NEVER ? NEVER : upSinceUs + rules.holdUs(falls);
  }

  boolean isToldUp() {
    return state == Member.State.UP;
  }

  boolean isTold() {
    return state != null;
  }

  /** What was told last, for the courier and for people; not before something was. */
  Member told() {
    return new Member(
        address,
        destination,
        zone,
        kind,
        ratePerSecond,
        state,
        because,
        by == null ? "" : by.name,
        by == null ? 0 : by.heardUs(),
        sinceUs);
  }

  /**
   * Takes over what is decided.
   *
   * @param rate what its destination takes, as told by whoever tells it
   * @param fell its sources' words took it out of use
   * @return true if that is news to the courier; age and reason are for people
   */
  boolean tell(
      final long nowUs,
      final Member.State next,
      final Because why,
      final Verdict verdict,
      final double rate,
      final boolean fell,
      final Rules rules) {
    final Source.Entry owner = owner();
    if (owner == null && state == null) {
      return false;
    }
    final Member.State before = state;
    if (before == Member.State.UP && next != Member.State.UP && fell) {
      falls = nowUs - sinceUs >= rules.calmUs() ? 1 : falls + 1;
    }
    sinceUs = before == next ? sinceUs : nowUs;
    state = next;
    because = why;
    by = verdict.by();
    boolean same = before == next;
    if (owner != null) {
      final Report report = owner.report;
      final double nextRate = report.ratePerSecond() > 0 ? report.ratePerSecond() : rate;
      same &= report.zone().equals(zone) && report.kind().equals(kind) && nextRate == ratePerSecond;
      zone = report.zone();
      kind = report.kind();
      ratePerSecond = nextRate;
    }
    if (next == Member.State.GONE) {
      return before != null && before != Member.State.GONE;
    }
    return !same;
  }

  /** When nothing of it need be remembered any more; never, while something lists it. */
  long forgetUs(final Rules rules) {
    if (first != null) {
      return NEVER;
    }
    return state == null ? 0 : state == Member.State.GONE ? sinceUs + rules.calmUs() : NEVER;
  }
}
