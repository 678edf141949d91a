package thistleturn.decisions.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * One address of one destination: the entries of the sources for it, and the state last published.
 *
 * <p>To save memory with large registries, which need one record for each endpoint, the state is
 * kept in plain fields and the entries in a linked list: most endpoints have exactly one entry and
 * no deletions.
 */
final class EndpointRecord {
  /** Stands for a time that is never reached. */
  static final long NEVER = Long.MAX_VALUE;

  private final String address;
  private final long destination;
  private SourceEntry firstEntry;

  /** Another record with the same address, for another destination; null if there is none. */
  private EndpointRecord nextClaim;

  /** By source, until when its deletion outweighs the listings of other sources. */
  private Map<EndpointSource, Long> deletions = Map.of();

  /** The state published last; null if none ever was. */
  private MergedEndpoint.State state;

  private StateReason reason;
  private EndpointSource decidedBy;
  private String zone;
  private String kind;
  private double ratePerSecond;
  private long stateSinceUs;

  /** How often in a row the endpoint went down without being stable in between. */
  private int consecutiveFlaps;

  /** When the sources began to report the endpoint up; {@link #NEVER} while they do not. */
  private long reportedUpSinceUs = NEVER;

  EndpointRecord(final String address, final long destination) {
    this.address = address;
    this.destination = destination;
  }

  /** The new state of an endpoint, and the reason. */
  record Decision(
      MergedEndpoint.State state,
      StateReason reason,
      EndpointSource decidedBy,
      boolean reportedDown) {}

  String address() {
    return address;
  }

  long destination() {
    return destination;
  }

  /** Returns true if a report is about this address and destination. */
  boolean matches(final SourceReport report) {
    return destination == report.destination() && address.equals(report.address());
  }

  EndpointRecord nextClaim() {
    return nextClaim;
  }

  void linkClaim(final EndpointRecord next) {
    nextClaim = next;
  }

  // ---------------------------------------------------------------- entries

  void add(final SourceEntry entry) {
    if (firstEntry == null) {
      firstEntry = entry;
      return;
    }
    SourceEntry last = firstEntry;
    while (last.next() != null) {
      last = last.next();
    }
    last.linkTo(entry);
  }

  void remove(final SourceEntry entry) {
    if (firstEntry == entry) {
      firstEntry = entry.next();
      return;
    }
    for (SourceEntry before = firstEntry; before != null; before = before.next()) {
      if (before.next() == entry) {
        before.linkTo(entry.next());
        return;
      }
    }
  }

  /** Returns true if no source lists the endpoint. */
  boolean isUnlisted() {
    return firstEntry == null;
  }

  boolean isListedBy(final EndpointSource source) {
    for (SourceEntry entry = firstEntry; entry != null; entry = entry.next()) {
      if (entry.source() == source) {
        return true;
      }
    }
    return false;
  }

  /** Returns the latest entry of each source, ordered by rank. */
  List<SourceEntry> latestBySource() {
    if (firstEntry == null) {
      return List.of();
    }
    if (firstEntry.next() == null) {
      return List.of(firstEntry);
    }
    final Map<EndpointSource, SourceEntry> latest = new HashMap<>();
    for (SourceEntry entry = firstEntry; entry != null; entry = entry.next()) {
      latest.merge(entry.source(), entry, EndpointRecord::later);
    }
    final List<SourceEntry> entries = new ArrayList<>(latest.values());
    entries.sort(Comparator.comparingInt(entry -> entry.source().rank()));
    return entries;
  }

  /** Of several instances of one source at one address, the one that changed last counts. */
  private static SourceEntry later(final SourceEntry one, final SourceEntry other) {
    return other.report().version() >= one.report().version() ? other : one;
  }

  /** Returns the entry of the best-ranked source, which describes the endpoint; null if none. */
  SourceEntry owner() {
    final List<SourceEntry> entries = latestBySource();
    return entries.isEmpty() ? null : entries.get(0);
  }

  // ---------------------------------------------------------------- warnings and deletions

  /**
   * Returns until when the warnings of a source count against other sources' statuses; empty if all
   * of them were overruled.
   */
  OptionalLong warningEndsUs(final EndpointSource source, final MergeSettings settings) {
    OptionalLong endsUs = OptionalLong.empty();
    for (SourceEntry entry = firstEntry; entry != null; entry = entry.next()) {
      if (entry.source() == source && entry.warnsAgainstOthers()) {
        final long entryEndsUs = entry.warningEndsUs(settings);
        endsUs = OptionalLong.of(Math.max(endsUs.orElse(entryEndsUs), entryEndsUs));
      }
    }
    return endsUs;
  }

  /** Marks the warnings of a source as overruled by another source's status. */
  void overruleWarnings(final EndpointSource source) {
    for (SourceEntry entry = firstEntry; entry != null; entry = entry.next()) {
      if (entry.source() == source) {
        entry.overruleWarning();
      }
    }
  }

  /** Records that a source deleted the endpoint, which outweighs other listings until then. */
  void recordDeletion(final EndpointSource source, final long untilUs) {
    if (deletions.isEmpty()) {
      deletions = new HashMap<>();
    }
    deletions.put(source, untilUs);
  }

  /** Removes a source's deletion: it lists the endpoint again, or was itself removed. */
  void clearDeletion(final EndpointSource source) {
    if (!deletions.isEmpty()) {
      deletions.remove(source);
    }
  }

  Map<EndpointSource, Long> deletions() {
    return deletions;
  }

  // ---------------------------------------------------------------- flapping

  /** Records whether the sources report the endpoint up now. */
  void recordReportedUp(final long nowUs, final boolean up) {
    reportedUpSinceUs = up ? Math.min(reportedUpSinceUs, nowUs) : NEVER;
  }

  /** Returns until when the endpoint is held down for flapping although it is reported up. */
  long heldDownUntilUs(final MergeSettings settings) {
    return reportedUpSinceUs == NEVER
        ? NEVER
        : reportedUpSinceUs + settings.holdDownUs(consecutiveFlaps);
  }

  /** Returns true if the endpoint is reported up but not used because it flaps. */
  boolean isHeldDown(final long nowUs, final MergeSettings settings) {
    return state != MergedEndpoint.State.UP && heldDownUntilUs(settings) > nowUs;
  }

  private void recordFlap(final long nowUs, final MergeSettings settings) {
    final boolean wasStable = nowUs - stateSinceUs >= settings.stableAfterUs();
    consecutiveFlaps = wasStable ? 1 : consecutiveFlaps + 1;
  }

  // ---------------------------------------------------------------- publication

  boolean isPublished() {
    return state != null;
  }

  /** Returns the endpoint as last published; must not be called before the first publication. */
  MergedEndpoint published() {
    return new MergedEndpoint(
        address,
        destination,
        zone,
        kind,
        ratePerSecond,
        state,
        reason,
        decidedBy == null ? "" : decidedBy.name(),
        decidedBy == null ? 0 : decidedBy.lastResponseUs(),
        stateSinceUs);
  }

  /**
   * Publishes a decision.
   *
   * @param destinationRate the rate that the destination takes, used if this endpoint's owning
   *     entry reports none
   * @return true if the state or the attributes changed; a new reason alone concerns only operators
   */
  boolean publish(
      final long nowUs,
      final Decision decision,
      final double destinationRate,
      final MergeSettings settings) {
    final SourceEntry owner = owner();
    if (owner == null && state == null) {
      return false;
    }
    final MergedEndpoint.State before = state;
    final boolean stateChanged = before != decision.state();
    if (before == MergedEndpoint.State.UP && stateChanged && decision.reportedDown()) {
      recordFlap(nowUs, settings);
    }
    state = decision.state();
    stateSinceUs = stateChanged ? nowUs : stateSinceUs;
    reason = decision.reason();
    decidedBy = decision.decidedBy();
    final boolean attributesChanged =
        owner != null && adoptAttributes(owner.report(), destinationRate);
    if (state == MergedEndpoint.State.GONE) {
      return before != null && stateChanged;
    }
    return stateChanged || attributesChanged;
  }

  /** Adopts zone, kind and rate from a report; returns true if any of them changed. */
  private boolean adoptAttributes(final SourceReport report, final double destinationRate) {
    final double rate = report.ratePerSecond() > 0 ? report.ratePerSecond() : destinationRate;
    final boolean changed =
        !report.zone().equals(zone) || !report.kind().equals(kind) || rate != ratePerSecond;
    zone = report.zone();
    kind = report.kind();
    ratePerSecond = rate;
    return changed;
  }

  /** Returns when the record may be removed; {@link #NEVER} while a source lists the endpoint. */
  long removableUs(final MergeSettings settings) {
    if (!isUnlisted()) {
      return NEVER;
    }
    if (state == null) {
      return 0;
    }
    return state == MergedEndpoint.State.GONE ? stateSinceUs + settings.stableAfterUs() : NEVER;
  }
}
