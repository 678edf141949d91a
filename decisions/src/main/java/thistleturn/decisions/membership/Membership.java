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
 * #collectChanges} yields what changed, and {@link #nextChangeUs} tells when time alone will change
 * something.
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
  private static final int MIN_REMEMBERED_RECORDS = 1024;

  private final MergeSettings rules;
  private final Map<String, EndpointSource> sources = new LinkedHashMap<>();
  private final Map<Long, List<EndpointRecord>> destinations = new HashMap<>();

  /** Points by address, chained where sources claim an address for several destinations. */
  private final Map<String, EndpointRecord> addresses = new HashMap<>();

  private final Set<Long> dirty = new LinkedHashSet<>();

  /** Destinations by the time at which they must be looked at again, and the time of each. */
  private final TreeMap<Long, Set<Long>> due = new TreeMap<>();

  private final Map<Long, Long> dueOf = new HashMap<>();

  /**
   * Destinations with an endpoint that waits for a source to list it once more after another's
   * deletion.
   */
  private final Set<Long> awaitingConfirmation = new HashSet<>();

  private int entries;

  /** A view that nothing is known of yet. */
  public Membership(final MergeSettings rules) {
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
    sources.put(name, new EndpointSource(name, rank, absenceIsWord, nowUs));
  }

  /** A source is asked no more, by the operator's word: what only it lists is gone. */
  public void removeSource(final String name) {
    final EndpointSource source = source(name);
    List.copyOf(source.entries.values()).forEach(this::remove);
    destinations
        .values()
        .forEach(
            points ->
                points.forEach(
                    point -> {
                      point.clearDeletion(source);
                      dirty.add(point.destination);
                    }));
    sources.remove(name);
  }

  /** A whole answer of a source. */
  public void applySnapshot(
      final long nowUs, final String name, final Collection<SourceReport> reports) {
    final EndpointSource source = source(name);
    recordResponse(nowUs, source);
    final Set<String> named = new HashSet<>(2 * reports.size());
    reports.forEach(report -> named.add(report.instanceId()));
    final boolean plausible = source.isPlausible(nowUs, named.size(), rules);
    reports.forEach(report -> put(nowUs, source, report));
    for (final EndpointSource.Entry entry : List.copyOf(source.entries.values())) {
      if (named.contains(entry.report.instanceId())) {
        continue;
      }
      if (plausible) {
        delete(nowUs, entry);
      } else if (entry.absentSinceUs == EndpointSource.UNSET) {
        entry.absentSinceUs = nowUs;
        dirty.add(entry.endpoint.destination);
      }
    }
  }

  /** What a source knew before this process began: as good as its word, but old. */
  public void applyRestored(
      final long nowUs, final String name, final Collection<SourceReport> reports) {
    final EndpointSource source = source(name);
    reports.forEach(report -> put(nowUs, source, report));
  }

  /** Changes that a source tells: instances with their state now, and ids that it deleted. */
  public void applyChanges(
      final long nowUs,
      final String name,
      final Collection<SourceReport> reports,
      final Collection<String> deleted) {
    final EndpointSource source = source(name);
    confirmEntries(nowUs, source);
    reports.forEach(report -> put(nowUs, source, report));
    for (final String instance : deleted) {
      final EndpointSource.Entry entry = source.entries.get(instance);
      if (entry != null) {
        delete(nowUs, entry);
      }
    }
  }

  /** A source was heard, and has nothing new. */
  public void markSourceReachable(final long nowUs, final String name) {
    confirmEntries(nowUs, source(name));
  }

  /** A source cannot be heard. */
  public void markSourceUnreachable(final long nowUs, final String name) {
    final EndpointSource source = source(name);
    if (source.markUnreachable(nowUs)) {
      source.entries.values().forEach(entry -> dirty.add(entry.endpoint.destination));
    }
  }

  /** It was heard, and what it did not take back stands. */
  private void confirmEntries(final long nowUs, final EndpointSource source) {
    if (source.isUnreachable()) {
      source
          .entries
          .values()
          .forEach(entry -> entry.overruled &= entry.absentSinceUs != EndpointSource.UNSET);
    }
    recordResponse(nowUs, source);
  }

  private void recordResponse(final long nowUs, final EndpointSource source) {
    if (source.isUnreachable()) {
      source.entries.values().forEach(entry -> dirty.add(entry.endpoint.destination));
    }
    source.recordResponse(nowUs);
    dirty.addAll(awaitingConfirmation);
    awaitingConfirmation.clear();
  }

  private EndpointSource source(final String name) {
    final EndpointSource source = sources.get(name);
    if (source == null) {
      throw new IllegalArgumentException("no source is called " + name);
    }
    return source;
  }

  private void put(final long nowUs, final EndpointSource source, final SourceReport report) {
    EndpointSource.Entry entry = source.entries.get(report.instanceId());
    if (entry != null && isOlder(nowUs, entry, report)) {
      return;
    }
    if (entry != null && !isAt(entry.endpoint, report)) {
      // The same instance at a new address, or for another destination: the old place is another's
      // affair.
      delete(nowUs, entry);
      entry = null;
    }
    if (entry == null) {
      if (source.entries.size() >= rules.maxEntriesPerSource()) {
        source.recordDropped();
        return;
      }
      entry = new EndpointSource.Entry(source, recordFor(report), report);
      entry.endpoint.add(entry);
      source.entries.put(report.instanceId(), entry);
      entries++;
      markDirty(entry.endpoint);
    } else if (!entry.report.equals(report)
        || entry.absentSinceUs != EndpointSource.UNSET
        || entry.overruled) {
      entry.report = report;
      entry.absentSinceUs = EndpointSource.UNSET;
      entry.overruled = false;
      markDirty(entry.endpoint);
    }
    if (report.status().blocksNewCalls()) {
      entry.lastWarningUs = nowUs;
    } else {
      entry.endpoint.clearDeletion(source);
    }
  }

  /**
   * An older word may warn, but it does not reassure: a registry that lags may not undo a drain.
   */
  private boolean isOlder(
      final long nowUs, final EndpointSource.Entry entry, final SourceReport report) {
    return report.version() < entry.report.version()
        && entry.report.status().blocksNewCalls()
        && !report.status().blocksNewCalls()
        && nowUs < entry.lastWarningUs + rules.conflictWindowUs();
  }

  private static boolean isAt(final EndpointRecord point, final SourceReport report) {
    return point.destination == report.destination() && point.address.equals(report.address());
  }

  private EndpointRecord recordFor(final SourceReport report) {
    final EndpointRecord claim = addresses.get(report.address());
    for (EndpointRecord point = claim; point != null; point = point.nextClaim) {
      if (point.destination == report.destination()) {
        return point;
      }
    }
    final EndpointRecord point = new EndpointRecord(report.address(), report.destination());
    point.nextClaim = claim;
    addresses.put(report.address(), point);
    destinations.computeIfAbsent(report.destination(), unused -> new ArrayList<>(2)).add(point);
    return point;
  }

  /** A source's word that an instance is gone. */
  private void delete(final long nowUs, final EndpointSource.Entry entry) {
    remove(entry);
    if (!entry.endpoint.isListedBy(entry.source)) {
      entry.endpoint.recordDeletion(entry.source, nowUs + rules.conflictWindowUs());
    }
  }

  private void remove(final EndpointSource.Entry entry) {
    entry.source.entries.remove(entry.report.instanceId());
    entries--;
    entry.endpoint.remove(entry);
    markDirty(entry.endpoint);
  }

  /**
   * It is to be looked at, and whoever else claims its address: the contest may stand otherwise
   * now.
   */
  private void markDirty(final EndpointRecord point) {
    for (EndpointRecord claim = addresses.get(point.address);
        claim != null;
        claim = claim.nextClaim) {
      dirty.add(claim.destination);
    }
  }

  // ---------------------------------------------------------------- decisions

  /** What changed for sending since the last call, with all that was reported by now. */
  public List<MergedEndpoint> collectChanges(final long nowUs) {
    while (!due.isEmpty() && due.firstKey() <= nowUs) {
      for (final long destination : due.pollFirstEntry().getValue()) {
        dueOf.remove(destination);
        dirty.add(destination);
      }
    }
    final List<MergedEndpoint> changed = new ArrayList<>();
    for (final long destination : List.copyOf(dirty)) {
      evaluate(nowUs, destination, changed);
    }
    dirty.clear();
    return changed;
  }

  /**
   * When {@link #collectChanges} must be called again though nothing is reported, us; {@code
   * Long.MAX_VALUE} for never.
   */
  public long nextChangeUs() {
    return due.isEmpty() ? EndpointRecord.NEVER : due.firstKey();
  }

  /** A point with what its sources say of it. */
  private record Judged(EndpointRecord point, EndpointRecord.Verdict verdict) {}

  private void evaluate(
      final long nowUs, final long destination, final List<MergedEndpoint> changed) {
    final List<EndpointRecord> points = destinations.get(destination);
    if (points == null) {
      return;
    }
    long againUs = EndpointRecord.NEVER;
    final List<Judged> all = new ArrayList<>(points.size());
    for (final EndpointRecord point : points) {
      final EndpointRecord.Verdict verdict =
          isContested(point)
              ? new EndpointRecord.Verdict(
                  MergedEndpoint.State.GONE,
                  StateReason.CONTESTED,
                  null,
                  null,
                  EndpointRecord.NEVER)
              : point.assess(nowUs, rules);
      point.recordReportedUp(nowUs, verdict.isUp());
      all.add(new Judged(point, verdict));
      againUs = Math.min(againUs, verdict.reassessUs());
      if (verdict.reason() == StateReason.DELETED && verdict.reassessUs() == EndpointRecord.NEVER) {
        awaitingConfirmation.add(destination);
      }
    }
    final EndpointRecord released = releasedFromHoldDown(nowUs, all);
    EndpointRecord.Grade best = null;
    double rate = 0;
    for (final Judged judged : all) {
      final EndpointRecord.Grade grade = judged.verdict().grade();
      final boolean goes =
          judged.verdict().isUp()
              && (!isHeldDown(nowUs, judged.point()) || judged.point() == released);
      best = goes && (best == null || grade.compareTo(best) < 0) ? grade : best;
      final EndpointSource.Entry owner = judged.point().owner();
      rate = rate > 0 || owner == null ? rate : owner.report.ratePerSecond();
    }
    for (final Judged judged : all) {
      final EndpointRecord point = judged.point();
      final EndpointRecord.Verdict verdict = judged.verdict();
      MergedEndpoint.State state = verdict.state();
      StateReason because = verdict.reason();
      if (verdict.isUp() && verdict.grade() == EndpointRecord.Grade.POOR) {
        state =
            best == EndpointRecord.Grade.POOR
                ? MergedEndpoint.State.UP
                : MergedEndpoint.State.DRAINING;
        because =
            best == EndpointRecord.Grade.POOR ? StateReason.LAST_RESORT : StateReason.STALE_SPARED;
      }
      if (state == MergedEndpoint.State.UP && isHeldDown(nowUs, point) && point != released) {
        state = MergedEndpoint.State.DRAINING;
        because = StateReason.FLAPPING;
        againUs = Math.min(againUs, point.heldDownUntilUs(rules));
      }
      if (point.publish(nowUs, state, because, verdict, rate, !verdict.isUp(), rules)) {
        changed.add(point.published());
      }
    }
    // What is gone is remembered for a while, lest it flap unseen; but not more of that than of
    // what there is.
    final boolean crowded = addresses.size() > MIN_REMEMBERED_RECORDS + 2 * entries;
    points.removeIf(
        point ->
            (point.removableUs(rules) <= nowUs || (crowded && point.isUnlisted()))
                && forget(point));
    for (final EndpointRecord point : points) {
      againUs = Math.min(againUs, point.removableUs(rules));
    }
    if (points.isEmpty()) {
      destinations.remove(destination);
    }
    schedule(destination, againUs);
  }

  private boolean isHeldDown(final long nowUs, final EndpointRecord point) {
    return !point.isPublishedUp() && point.heldDownUntilUs(rules) > nowUs;
  }

  /**
   * Where all that are up would be held back for flapping, the one that goes free; otherwise null.
   */
  private EndpointRecord releasedFromHoldDown(final long nowUs, final List<Judged> all) {
    EndpointRecord first = null;
    for (final Judged judged : all) {
      if (judged.verdict().isUp()) {
        final EndpointRecord point = judged.point();
        if (!isHeldDown(nowUs, point)) {
          return null;
        }
        first =
            first == null || point.heldDownUntilUs(rules) < first.heldDownUntilUs(rules)
                ? point
                : first;
      }
    }
    return first;
  }

  /** True if a source of higher rank claims the address for another destination. */
  private boolean isContested(final EndpointRecord point) {
    final EndpointRecord claim = addresses.get(point.address);
    final EndpointSource.Entry own = point.owner();
    if (own == null || (claim == point && point.nextClaim == null)) {
      return false;
    }
    for (EndpointRecord other = claim; other != null; other = other.nextClaim) {
      final EndpointSource.Entry its = other == point ? null : other.owner();
      if (its != null && outranks(its, own)) {
        return true;
      }
    }
    return false;
  }

  private static boolean outranks(final EndpointSource.Entry one, final EndpointSource.Entry two) {
    if (one.source != two.source) {
      return one.source.rank < two.source.rank;
    }
    // One source that claims an address twice: the later word counts, and of two alike the one by
    // its name.
    final int newer = Long.compare(one.report.version(), two.report.version());
    return newer > 0
        || (newer == 0 && one.report.instanceId().compareTo(two.report.instanceId()) < 0);
  }

  private boolean forget(final EndpointRecord point) {
    EndpointRecord claim = addresses.get(point.address);
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
    if (atUs != EndpointRecord.NEVER) {
      dueOf.put(destination, atUs);
      due.computeIfAbsent(atUs, unused -> new LinkedHashSet<>()).add(destination);
    }
  }

  // ---------------------------------------------------------------- what operators see

  /** All endpoints in the view, those that went a short while ago too. */
  public List<MergedEndpoint> endpoints() {
    final List<MergedEndpoint> members = new ArrayList<>();
    destinations
        .values()
        .forEach(
            points ->
                points.stream()
                    .filter(EndpointRecord::isPublished)
                    .forEach(point -> members.add(point.published())));
    return members;
  }

  /** How each source stands. */
  public List<SourceStatus> sourceStatuses() {
    return sources.values().stream().map(EndpointSource::status).toList();
  }
}
