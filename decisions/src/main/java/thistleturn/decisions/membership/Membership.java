package thistleturn.decisions.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Merges what several sources report of endpoints into one view. Reports come in with their time
 * (microseconds on one clock that only advances), {@link #collectChanges} yields what changed, and
 * {@link #nextChangeUs} tells when time alone will change something.
 *
 * <p>What it guarantees, whatever the sources do:
 *
 * <ul>
 *   <li>A warning (draining, not yet up) by a reachable source counts at once, whoever disagrees.
 *   <li>A source's own deletion counts at once; absence from a snapshot counts as a deletion only
 *       if the snapshot is plausible.
 *   <li>No outage, silence or implausible snapshot of sources takes the last endpoint that is up of
 *       a destination.
 *   <li>An address serves one destination only.
 *   <li>Holding a flapping endpoint down delays only its return, and never where that would leave a
 *       destination without any.
 * </ul>
 */
public final class Membership {
  /** Endpoints that are gone and still remembered, beyond twice those that are listed. */
  private static final int MIN_REMEMBERED_RECORDS = 1024;

  private final MergeSettings settings;
  private final Map<String, EndpointSource> sources = new LinkedHashMap<>();
  private final EndpointIndex endpoints = new EndpointIndex();
  private final ReassessmentQueue reassessments = new ReassessmentQueue();
  private int entryCount;

  /** An empty view. */
  public Membership(final MergeSettings settings) {
    this.settings = settings;
  }

  // ---------------------------------------------------------------- sources

  /**
   * Adds a source; until it responds it counts as unreachable.
   *
   * @param rank the lower, the more the source counts where sources describe an endpoint
   *     differently; no two sources have the same
   * @param snapshotsAuthoritative true if whatever its snapshots lack is gone, plausible or not
   */
  public void addSource(
      final long nowUs, final String name, final int rank, final boolean snapshotsAuthoritative) {
    if (sources.values().stream().anyMatch(other -> other.rank() == rank)
        || sources.containsKey(name)) {
      throw new IllegalArgumentException(
          "a source of the name " + name + " or the rank " + rank + " is there");
    }
    sources.put(name, new EndpointSource(name, rank, snapshotsAuthoritative, nowUs));
  }

  /** Removes a source at the operator's request: what only it lists is gone. */
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
      throw new IllegalArgumentException("no source is called " + name);
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

  /** Applies what a source had reported before this process began, without a response of it. */
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

  /** A source responded, and has nothing new. */
  public void markSourceReachable(final long nowUs, final String name) {
    confirmEntries(nowUs, source(name));
  }

  /** A source cannot be reached. */
  public void markSourceUnreachable(final long nowUs, final String name) {
    final EndpointSource source = source(name);
    if (source.markUnreachable(nowUs)) {
      markDirty(source);
    }
  }

  /** A source responded, and so confirms everything that it has not withdrawn. */
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
   * An older report may warn, but it does not clear a warning: a registry that lags must not undo a
   * drain.
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

  /** A source deleted an instance, which outweighs other sources' listing for a while. */
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

  /** Marks every claim of the endpoint's address: the contest between them may turn out anew. */
  private void markDirty(final EndpointRecord endpoint) {
    endpoints.forEachClaim(
        endpoint.address(), claim -> reassessments.markDirty(claim.destination()));
  }

  // ---------------------------------------------------------------- decisions

  /** Returns what changed for sending since the last call, by all that was reported until now. */
  public List<MergedEndpoint> collectChanges(final long nowUs) {
    final List<MergedEndpoint> changed = new ArrayList<>();
    for (final long destination : reassessments.drain(nowUs)) {
      review(nowUs, destination, changed);
    }
    return changed;
  }

  /**
   * When {@link #collectChanges} must be called again though nothing is reported, us; {@code
   * Long.MAX_VALUE} for never.
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
   * Removes records that need not be remembered. Endpoints that are gone are remembered for a
   * while, lest they flap unseen, but not many more of them than there are listed ones.
   */
  private void removeObsolete(final long nowUs, final long destination) {
    final boolean tooMany = endpoints.addressCount() > MIN_REMEMBERED_RECORDS + 2 * entryCount;
    endpoints.removeIf(
        destination,
        endpoint -> endpoint.removableUs(settings) <= nowUs || (tooMany && endpoint.isUnlisted()));
  }

  // ---------------------------------------------------------------- what operators see

  /** All endpoints in the view, including those that were removed a short while ago. */
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

  /** The status of each source. */
  public List<SourceStatus> sourceStatuses() {
    return sources.values().stream().map(EndpointSource::status).toList();
  }
}
