package thistleturn.decisions.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Merges what several sources say of endpoints into one view. It has no clock, no threads and no
 * I/O: reports come in with their time (microseconds on one clock that only advances), {@link
 * #decide} yields what changed, and {@link #nextUs} tells when time alone will change something.
 *
 * <p>What it keeps, whatever the sources do:
 *
 * <ul>
 *   <li>A warning (drain, not yet up) by a source that is heard counts at once, whoever else
 *       disagrees.
 *   <li>A source's own deletion counts at once; absence from a whole answer counts as one only if
 *       that is plausible.
 *   <li>No loss, silence or implausible answer of sources takes the last endpoint that is up of a
 *       destination.
 *   <li>An address serves one destination only.
 *   <li>Holding back what flaps delays only its return, and never where it leaves a destination
 *       without any.
 * </ul>
 */
public final class Membership {
  /** Endpoints that are gone and still remembered, beyond twice those that are there. */
  private static final int GHOSTS = 1024;

  private final Rules rules;
  private final Map<String, Source> sources = new LinkedHashMap<>();
  private final Map<Long, List<Point>> destinations = new HashMap<>();

  /** Points by address, chained where sources claim an address for several destinations. */
  private final Map<String, Point> addresses = new HashMap<>();

  private final Set<Long> dirty = new LinkedHashSet<>();

  /** Destinations by the time at which they must be looked at again, and the time of each. */
  private final TreeMap<Long, Set<Long>> due = new TreeMap<>();

  private final Map<Long, Long> dueOf = new HashMap<>();

  /**
   * Destinations with an endpoint that waits for a source to list it once more after another's
   * deletion.
   */
  private final Set<Long> awaitingWord = new HashSet<>();

  private int entries;

  /** A view that nothing is known of yet. */
  public Membership(final Rules rules) {
    this.rules = rules;
  }

  // ---------------------------------------------------------------- reports

  /**
   * A source is asked from now on; until it is heard it counts as lost.
   *
   * @param rank the lower, the more it counts where sources describe an endpoint differently; no
   *     two are alike
   * @param absenceIsWord true if whatever its whole answers lack is gone, plausible or not
   */
  public void addSource(
      final long nowUs, final String name, final int rank, final boolean absenceIsWord) {
    if (sources.values().stream()
        .anyMatch(source -> source.rank == rank || source.name.equals(name))) {
      throw new IllegalArgumentException(
          "a source of the name " + name + " or the rank " + rank + " is there");
    }
    sources.put(name, new Source(name, rank, absenceIsWord, nowUs));
  }

  /** A source is asked no more, by the operator's word: what only it lists is gone. */
  public void removeSource(final String name) {
    final Source source = source(name);
    List.copyOf(source.entries.values()).forEach(this::remove);
    destinations
        .values()
        .forEach(
            points ->
                points.forEach(
                    point -> {
                      point.undelete(source);
                      dirty.add(point.destination);
                    }));
    sources.remove(name);
  }

  /** A whole answer of a source. */
  public void whole(final long nowUs, final String name, final Collection<Report> reports) {
    final Source source = source(name);
    wasHeard(nowUs, source);
    final Set<String> named = new HashSet<>(2 * reports.size());
    reports.forEach(report -> named.add(report.instance()));
    final boolean plausible = source.isPlausible(nowUs, named.size(), rules);
    reports.forEach(report -> put(nowUs, source, report));
    for (final Source.Entry entry : List.copyOf(source.entries.values())) {
      if (named.contains(entry.report.instance())) {
        continue;
      }
      if (plausible) {
        delete(nowUs, entry);
      } else if (entry.absentSinceUs == Source.NOT) {
        entry.absentSinceUs = nowUs;
        dirty.add(entry.point.destination);
      }
    }
  }

  /** What a source knew before this process began: as good as its word, but old. */
  public void restored(final long nowUs, final String name, final Collection<Report> reports) {
    final Source source = source(name);
    reports.forEach(report -> put(nowUs, source, report));
  }

  /** Changes that a source tells: instances with their state now, and ids that it deleted. */
  public void changes(
      final long nowUs,
      final String name,
      final Collection<Report> reports,
      final Collection<String> deleted) {
    final Source source = source(name);
    confirmed(nowUs, source);
    reports.forEach(report -> put(nowUs, source, report));
    for (final String instance : deleted) {
      final Source.Entry entry = source.entries.get(instance);
      if (entry != null) {
        delete(nowUs, entry);
      }
    }
  }

  /** A source was heard, and has nothing new. */
  public void heard(final long nowUs, final String name) {
    confirmed(nowUs, source(name));
  }

  /** A source cannot be heard. */
  public void lost(final long nowUs, final String name) {
    final Source source = source(name);
    if (source.lose(nowUs)) {
      source.entries.values().forEach(entry -> dirty.add(entry.point.destination));
    }
  }

  /** It was heard, and what it did not take back stands. */
  private void confirmed(final long nowUs, final Source source) {
    if (source.isLost()) {
      source
          .entries
          .values()
          .forEach(entry -> entry.overruled &= entry.absentSinceUs != Source.NOT);
    }
    wasHeard(nowUs, source);
  }

  private void wasHeard(final long nowUs, final Source source) {
    if (source.isLost()) {
      source.entries.values().forEach(entry -> dirty.add(entry.point.destination));
    }
    source.heard(nowUs);
    dirty.addAll(awaitingWord);
    awaitingWord.clear();
  }

  private Source source(final String name) {
    final Source source = sources.get(name);
    if (source == null) {
      throw new IllegalArgumentException("no source is called " + name);
    }
    return source;
  }

  private void put(final long nowUs, final Source source, final Report report) {
    Source.Entry entry = source.entries.get(report.instance());
    if (entry != null && isOlder(nowUs, entry, report)) {
      return;
    }
    if (entry != null && !isAt(entry.point, report)) {
      // The same instance at a new address, or for another destination: the old place is another's
      // affair.
      delete(nowUs, entry);
      entry = null;
    }
    if (entry == null) {
      if (source.entries.size() >= rules.mostEntries()) {
        source.drop();
        return;
      }
      entry = new Source.Entry(source, point(report), report);
      entry.point.add(entry);
      source.entries.put(report.instance(), entry);
      entries++;
      touch(entry.point);
    } else if (!entry.report.equals(report)
        || entry.absentSinceUs != Source.NOT
        || entry.overruled) {
      entry.report = report;
      entry.absentSinceUs = Source.NOT;
      entry.overruled = false;
      touch(entry.point);
    }
    if (report.word().isCautious()) {
      entry.warnedUs = nowUs;
    } else {
      entry.point.undelete(source);
    }
  }

  /**
   * An older word may warn, but it does not reassure: a registry that lags may not undo a drain.
   */
  private boolean isOlder(final long nowUs, final Source.Entry entry, final Report report) {
    return report.version() < entry.report.version()
        && entry.report.word().isCautious()
        && !report.word().isCautious()
        && nowUs < entry.warnedUs + rules.disagreementUs();
  }

  private static boolean isAt(final Point point, final Report report) {
    return point.destination == report.destination() && point.address.equals(report.address());
  }

  private Point point(final Report report) {
    final Point claim = addresses.get(report.address());
    for (Point point = claim; point != null; point = point.nextClaim) {
      if (point.destination == report.destination()) {
        return point;
      }
    }
    final Point point = new Point(report.address(), report.destination());
    point.nextClaim = claim;
    addresses.put(report.address(), point);
    destinations.computeIfAbsent(report.destination(), unused -> new ArrayList<>(2)).add(point);
    return point;
  }

  /** A source's word that an instance is gone. */
  private void delete(final long nowUs, final Source.Entry entry) {
    remove(entry);
    if (!entry.point.isListedBy(entry.source)) {
      entry.point.deleted(entry.source, nowUs + rules.disagreementUs());
    }
  }

  private void remove(final Source.Entry entry) {
    entry.source.entries.remove(entry.report.instance());
    entries--;
    entry.point.remove(entry);
    touch(entry.point);
  }

  /**
   * It is to be looked at, and whoever else claims its address: the contest may stand otherwise
   * now.
   */
  private void touch(final Point point) {
    for (Point claim = addresses.get(point.address); claim != null; claim = claim.nextClaim) {
      dirty.add(claim.destination);
    }
  }

  // ---------------------------------------------------------------- decisions

  /** What changed for sending since the last call, with all that was reported by now. */
  public List<Member> decide(final long nowUs) {
    while (!due.isEmpty() && due.firstKey() <= nowUs) {
      for (final long destination : due.pollFirstEntry().getValue()) {
        dueOf.remove(destination);
        dirty.add(destination);
      }
    }
    final List<Member> changed = new ArrayList<>();
    for (final long destination : List.copyOf(dirty)) {
      evaluate(nowUs, destination, changed);
    }
    dirty.clear();
    return changed;
  }

  /**
   * When {@link #decide} must be called again though nothing is reported, us; {@code
   * Long.MAX_VALUE} for never.
   */
  public long nextUs() {
    return due.isEmpty() ? Point.NEVER : due.firstKey();
  }

  /** A point with what its sources say of it. */
  private record Judged(Point point, Point.Verdict verdict) {}

  private void evaluate(final long nowUs, final long destination, final List<Member> changed) {
    final List<Point> points = destinations.get(destination);
    if (points == null) {
      return;
    }
    long againUs = Point.NEVER;
    final List<Judged> all = new ArrayList<>(points.size());
    for (final Point point : points) {
      final Point.Verdict verdict =
          isContested(point)
              ? new Point.Verdict(Member.State.GONE, Because.CONTESTED, null, null, Point.NEVER)
              : point.judge(nowUs, rules);
      point.noteWord(nowUs, verdict.isUp());
      all.add(new Judged(point, verdict));
      againUs = Math.min(againUs, verdict.againUs());
      if (verdict.because() == Because.DELETED && verdict.againUs() == Point.NEVER) {
        awaitingWord.add(destination);
      }
    }
    final Point released = released(nowUs, all);
    Point.Grade best = null;
    double rate = 0;
    for (final Judged judged : all) {
      final Point.Grade grade = judged.verdict().grade();
      final boolean goes =
          judged.verdict().isUp() && (!isHeld(nowUs, judged.point()) || judged.point() == released);
      best = goes && (best == null || grade.compareTo(best) < 0) ? grade : best;
      final Source.Entry owner = judged.point().owner();
      rate = rate > 0 || owner == null ? rate : owner.report.ratePerSecond();
    }
    for (final Judged judged : all) {
      final Point point = judged.point();
      final Point.Verdict verdict = judged.verdict();
      Member.State state = verdict.state();
      Because because = verdict.because();
      if (verdict.isUp() && verdict.grade() == Point.Grade.POOR) {
        state = best == Point.Grade.POOR ? Member.State.UP : Member.State.DRAINING;
        because = best == Point.Grade.POOR ? Because.LAST_RESORT : Because.STALE_SPARED;
      }
      if (state == Member.State.UP && isHeld(nowUs, point) && point != released) {
        state = Member.State.DRAINING;
        because = Because.FLAPPING;
        againUs = Math.min(againUs, point.heldUntilUs(rules));
      }
      if (point.tell(nowUs, state, because, verdict, rate, !verdict.isUp(), rules)) {
        changed.add(point.told());
      }
    }
    // What is gone is remembered for a while, lest it flap unseen; but not more of that than of
    // what there is.
    final boolean crowded = addresses.size() > GHOSTS + 2 * entries;
    points.removeIf(
        point ->
            (point.forgetUs(rules) <= nowUs || (crowded && point.isUnlisted())) && forget(point));
    for (final Point point : points) {
      againUs = Math.min(againUs, point.forgetUs(rules));
    }
    if (points.isEmpty()) {
      destinations.remove(destination);
    }
    schedule(destination, againUs);
  }

  private boolean isHeld(final long nowUs, final Point point) {
    return !point.isToldUp() && point.heldUntilUs(rules) > nowUs;
  }

  /**
   * Where all that are up would be held back for flapping, the one that goes free; otherwise null.
   */
  private Point released(final long nowUs, final List<Judged> all) {
    Point first = null;
    for (final Judged judged : all) {
      if (judged.verdict().isUp()) {
        final Point point = judged.point();
        if (!isHeld(nowUs, point)) {
          return null;
        }
        first =
            first == null || point.heldUntilUs(rules) < first.heldUntilUs(rules) ? point : first;
      }
    }
    return first;
  }

  /** True if a source of higher rank claims the address for another destination. */
  private boolean isContested(final Point point) {
    final Point claim = addresses.get(point.address);
    final Source.Entry own = point.owner();
    if (own == null || (claim == point && point.nextClaim == null)) {
      return false;
    }
    for (Point other = claim; other != null; other = other.nextClaim) {
      final Source.Entry its = other == point ? null : other.owner();
      if (its != null && outranks(its, own)) {
        return true;
      }
    }
    return false;
  }

  private static boolean outranks(final Source.Entry one, final Source.Entry two) {
    if (one.source != two.source) {
      return one.source.rank < two.source.rank;
    }
    // One source that claims an address twice: the later word counts, and of two alike the one by
    // its name.
    final int newer = Long.compare(one.report.version(), two.report.version());
    return newer > 0 || (newer == 0 && one.report.instance().compareTo(two.report.instance()) < 0);
  }

  private boolean forget(final Point point) {
    Point claim = addresses.get(point.address);
    if (claim != point) {
      while (claim.nextClaim != point) {
        claim = claim.nextClaim;
      }
      claim.nextClaim = point.nextClaim;
    } else if (point.nextClaim == null) {
      addresses.remove(point.address);
    } else {
      addresses.put(point.address, point.nextClaim);
    }
    return true;
  }

  private void schedule(final long destination, final long atUs) {
    final Long before = dueOf.remove(destination);
    if (before != null) {
      final Set<Long> then = due.get(before);
      then.remove(destination);
      if (then.isEmpty()) {
        due.remove(before);
      }
    }
    if (atUs != Point.NEVER) {
      dueOf.put(destination, atUs);
      due.computeIfAbsent(atUs, unused -> new LinkedHashSet<>()).add(destination);
    }
  }

  // ---------------------------------------------------------------- what operators see

  /** All endpoints in the view, those that went a short while ago too. */
  public List<Member> members() {
    final List<Member> members = new ArrayList<>();
    destinations
        .values()
        .forEach(
            points ->
                points.stream().filter(Point::isTold).forEach(point -> members.add(point.told())));
    return members;
  }

  /** How each source stands. */
  public List<SourceStatus> sources() {
    return sources.values().stream().map(Source::status).toList();
  }
}
