package thistleturn.decisions.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Merges the reports of several sources on endpoints into one view. Reports are passed in with
 * their time (microseconds on one monotonic clock), {@link #collectChanges} returns what changed,
 * and {@link #nextChangeUs} returns when the passing of time alone will change something.
 *
 * <p>Guarantees, whatever the sources report:
 *
 * <ul>
 *   <li>A warning (draining, not yet up) by a reachable source counts at once, even if other
 *       sources disagree.
 *   <li>A source's own deletion counts at once; absence from a snapshot counts as a deletion only
 *       if the snapshot is plausible.
 *   <li>No outage or implausible snapshot of a source, and no time without responses, removes the
 *       last endpoint of a destination that is up.
 *   <li>An address serves one destination only.
 *   <li>Holding a flapping endpoint down only delays its return to use, and never leaves a
 *       destination without any endpoint.
 * </ul>
 */
public final class Membership {
  /** Allowed number of remembered addresses beyond twice the number of listed entries. */
  private static final int MIN_REMEMBERED_RECORDS = 1024;

  private final MergeSettings settings;
  private final Map<String, EndpointSource> sources = new LinkedHashMap<>();
  private final EndpointIndex endpoints = new EndpointIndex();
  private final ReassessmentQueue reassessments = new ReassessmentQueue();
  private int entryCount;

  /** Creates an empty view. */
  public Membership(final MergeSettings settings) {
    this.settings = settings;
  }

  // ---------------------------------------------------------------- sources

  /**
   * Adds a source; until it responds it counts as unreachable.
   *
   * @param rank where sources describe an endpoint differently, the one with the lowest rank
   *     counts; must be unique
   * @param snapshotsAuthoritative true if instances that its snapshots lack are gone, whether the
   *     snapshot is plausible or not
   */
  public void addSource(
      final long nowUs, final String name, final int rank, final boolean snapshotsAuthoritative) {
    if (sources.values().stream().anyMatch(other -> other.rank() == rank)
        || sources.containsKey(name)) {
      throw new IllegalArgumentException(
          "a source with name " + name + " or rank " + rank + " already exists");
    }
    sources.put(name, new EndpointSource(name, rank, snapshotsAuthoritative, nowUs));
  }

  /** Removes a source at the operator's request: endpoints that only it lists are gone. */
  public void removeSource(final String name) {
    final EndpointSource source = source(name);
    source.entries().forEach(this::remove);
    endpoints.forEach(
        endpoint -> {
          endpoint.clearDeletion(source);
          reassessments.markDirty(endpoint.destination());
        });
    sources.remove(name);
  }

  private EndpointSource source(final String name) {
    final EndpointSource source = sources.get(name);
    if (source == null) {
      throw new IllegalArgumentException("unknown source: " + name);
    }
    return source;
  }

  // ---------------------------------------------------------------- reports

  /** Applies a complete snapshot of a source. */
  public void applySnapshot(
      final long nowUs, final String name, final Collection<SourceReport> reports) {
    final EndpointSource source = source(name);
    recordResponse(nowUs, source);
    final Set<String> reported = new HashSet<>(2 * reports.size());
    reports.forEach(report -> reported.add(report.instanceId()));
    final boolean plausible = source.recordSnapshot(nowUs, reported.size(), settings);
    reports.forEach(report -> apply(nowUs, source, report));
    for (final SourceEntry entry : source.entries()) {
      if (reported.contains(entry.report().instanceId())) {
        continue;
      }
      if (plausible) {
        delete(nowUs, entry);
      } else if (entry.markMissing(nowUs)) {
        reassessments.markDirty(entry.endpoint().destination());
      }
    }
  }

  /** Applies reports stored by an earlier process, which do not count as a response. */
  public void applyRestored(
      final long nowUs, final String name, final Collection<SourceReport> reports) {
    final EndpointSource source = source(name);
    reports.forEach(report -> apply(nowUs, source, report));
  }

  /** Applies changes that a source reports: instances with their status, and ids it deleted. */
  public void applyChanges(
      final long nowUs,
      final String name,
      final Collection<SourceReport> reports,
      final Collection<String> deleted) {
    final EndpointSource source = source(name);
    confirmEntries(nowUs, source);
    reports.forEach(report -> apply(nowUs, source, report));
    for (final String instanceId : deleted) {
      final SourceEntry entry = source.entry(instanceId);
      if (entry != null) {
        delete(nowUs, entry);
      }
    }
  }

  /** Records that a source responded without changes. */
  public void markSourceReachable(final long nowUs, final String name) {
    confirmEntries(nowUs, source(name));
  }

  /** Records that a source cannot be reached. */
  public void markSourceUnreachable(final long nowUs, final String name) {
    final EndpointSource source = source(name);
    if (source.markUnreachable(nowUs)) {
      markDirty(source);
    }
  }

  /** Records a response, which confirms every entry that the source has not withdrawn. */
  private void confirmEntries(final long nowUs, final EndpointSource source) {
    if (source.isUnreachable()) {
      source.entries().forEach(SourceEntry::reinstateWarning);
    }
    recordResponse(nowUs, source);
  }

  private void recordResponse(final long nowUs, final EndpointSource source) {
    if (source.isUnreachable()) {
      markDirty(source);
    }
    source.recordResponse(nowUs);
    reassessments.onResponse();
  }

  private void apply(final long nowUs, final EndpointSource source, final SourceReport report) {
    SourceEntry entry = source.entry(report.instanceId());
    if (entry != null && isOutdated(nowUs, entry, report)) {
      return;
    }
    if (entry != null && !entry.endpoint().matches(report)) {
      // The instance moved to another address or destination, so it is no longer at the old one.
      delete(nowUs, entry);
      entry = null;
    }
    if (entry == null) {
      if (source.entryCount() >= settings.maxEntriesPerSource()) {
        source.recordDropped();
        return;
      }
      entry = add(source, report);
    } else if (entry.update(report)) {
      markDirty(entry.endpoint());
    }
    if (entry.warns()) {
      entry.recordWarning(nowUs);
    } else {
      entry.endpoint().clearDeletion(source);
    }
  }

  /**
   * Returns true if a report is older than the known one and would clear its recent warning: a
   * registry that lags must not undo a drain. An older report may still warn.
   */
  private boolean isOutdated(final long nowUs, final SourceEntry entry, final SourceReport report) {
    return report.version() < entry.report().version()
        && entry.warns()
        && !report.status().blocksNewCalls()
        && entry.hasWarnedWithin(settings.conflictWindowUs(), nowUs);
  }

  private SourceEntry add(final EndpointSource source, final SourceReport report) {
    final SourceEntry entry = new SourceEntry(source, endpoints.findOrAdd(report), report);
    entry.endpoint().add(entry);
    source.add(entry);
    entryCount++;
    markDirty(entry.endpoint());
    return entry;
  }

  /** Removes an entry that its source deleted, which outweighs other listings for a while. */
  private void delete(final long nowUs, final SourceEntry entry) {
    remove(entry);
    if (!entry.endpoint().isListedBy(entry.source())) {
      entry.endpoint().recordDeletion(entry.source(), nowUs + settings.conflictWindowUs());
    }
  }

  private void remove(final SourceEntry entry) {
    entry.source().remove(entry);
    entryCount--;
    entry.endpoint().remove(entry);
    markDirty(entry.endpoint());
  }

  private void markDirty(final EndpointSource source) {
    source.entries().forEach(entry -> reassessments.markDirty(entry.endpoint().destination()));
  }

  /** Marks every claim of the endpoint's address: another claim may now outrank the others. */
  private void markDirty(final EndpointRecord endpoint) {
    endpoints.forEachClaim(
        endpoint.address(), claim -> reassessments.markDirty(claim.destination()));
  }

  // ---------------------------------------------------------------- decisions

  /** Returns the endpoints whose state or attributes changed since the last call. */
  public List<MergedEndpoint> collectChanges(final long nowUs) {
    final List<MergedEndpoint> changed = new ArrayList<>();
    for (final long destination : reassessments.drain(nowUs)) {
      review(nowUs, destination, changed);
    }
    return changed;
  }

  /**
   * Returns when {@link #collectChanges} must be called again even if nothing is reported, us;
   * {@code Long.MAX_VALUE} for never.
   */
  public long nextChangeUs() {
    return reassessments.nextUs();
  }

  private void review(
      final long nowUs, final long destination, final List<MergedEndpoint> changed) {
    final List<EndpointRecord> records = endpoints.ofDestination(destination);
    if (records.isEmpty()) {
      return;
    }
    final DestinationReview review = new DestinationReview(nowUs, settings, records.size());
    for (final EndpointRecord endpoint : records) {
      review.add(endpoint, endpoints.isContested(endpoint));
    }
    if (review.awaitsConfirmation()) {
      reassessments.awaitResponse(destination);
    }
    review.publish(changed);
    removeObsolete(nowUs, destination);
    long reviewUs = review.reassessUs();
    for (final EndpointRecord endpoint : endpoints.ofDestination(destination)) {
      reviewUs = Math.min(reviewUs, endpoint.removableUs(settings));
    }
    reassessments.schedule(destination, reviewUs);
  }

  /**
   * Removes records that are no longer needed. Endpoints that are gone are remembered for a while
   * so that flapping is detected, but their number is limited relative to that of listed ones.
   */
  private void removeObsolete(final long nowUs, final long destination) {
    final boolean tooMany = endpoints.addressCount() > MIN_REMEMBERED_RECORDS + 2 * entryCount;
    endpoints.removeIf(
        destination,
        endpoint -> endpoint.removableUs(settings) <= nowUs || (tooMany && endpoint.isUnlisted()));
  }

  // ---------------------------------------------------------------- operators

  /** Returns all endpoints in the view, including recently removed ones. */
  public List<MergedEndpoint> endpoints() {
    final List<MergedEndpoint> published = new ArrayList<>();
    endpoints.forEach(
        endpoint -> {
          if (endpoint.isPublished()) {
            published.add(endpoint.published());
          }
        });
    return published;
  }

  /** Returns the status of each source. */
  public List<SourceStatus> sourceStatuses() {
    return sources.values().stream().map(EndpointSource::status).toList();
  }
}
