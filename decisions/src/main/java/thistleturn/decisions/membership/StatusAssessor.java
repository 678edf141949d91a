package thistleturn.decisions.membership;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Combines the reports of all sources of one endpoint at one time: the more cautious report counts,
 * until its source has been unreachable for the conflict window while another source confirms that
 * the endpoint is up.
 */
final class StatusAssessor {
  private static final long NEVER = EndpointRecord.NEVER;

  private final EndpointRecord endpoint;
  private final long nowUs;
  private final MergeSettings settings;

  /** The most current entry that reports the endpoint up; null if none does. */
  private SourceEntry bestUp;

  private Freshness bestFreshness;

  /** When any source that reports the endpoint up last responded. */
  private long lastUpResponseUs;

  private long freshnessEndsUs = NEVER;

  private StatusAssessor(
      final EndpointRecord endpoint, final long nowUs, final MergeSettings settings) {
    this.endpoint = endpoint;
    this.nowUs = nowUs;
    this.settings = settings;
  }

  /** Assesses an endpoint, and overrules warnings of it that have expired. */
  static StatusAssessment assess(
      final EndpointRecord endpoint, final long nowUs, final MergeSettings settings) {
    return new StatusAssessor(endpoint, nowUs, settings).assess();
  }

  private StatusAssessment assess() {
    final List<SourceEntry> entries = endpoint.latestBySource();
    entries.forEach(this::considerUp);
    boolean warningExpired = false;
    for (final SourceEntry entry : entries) {
      if (entry.warns()) {
        final StatusAssessment warning = assessWarning(entry.source());
        if (warning != null) {
          return warning;
        }
        endpoint.overruleWarnings(entry.source());
        warningExpired = true;
      }
    }
    if (bestUp == null) {
      return StatusAssessment.gone(StateReason.UNLISTED);
    }
    final StatusAssessment deletion = assessDeletions();
    return deletion != null
        ? deletion
        : StatusAssessment.up(
            upReason(warningExpired), bestUp.source(), bestFreshness, freshnessEndsUs);
  }

  private void considerUp(final SourceEntry entry) {
    if (entry.report().status() != ReportedStatus.UP) {
      return;
    }
    lastUpResponseUs = Math.max(lastUpResponseUs, entry.source().lastResponseUs());
    freshnessEndsUs = Math.min(freshnessEndsUs, entry.freshnessEndsUs(nowUs, settings));
    final Freshness freshness = entry.freshness(nowUs, settings);
    if (bestUp == null || freshness.compareTo(bestFreshness) < 0) {
      bestUp = entry;
      bestFreshness = freshness;
    }
  }

  /** Returns the assessment if the warnings of a source count; null if they have expired. */
  private StatusAssessment assessWarning(final EndpointSource source) {
    if (bestUp == null) {
      return StatusAssessment.draining(StateReason.SAID, source, NEVER);
    }
    final OptionalLong endsUs = endpoint.warningEndsUs(source, settings);
    if (endsUs.isEmpty()) {
      return null;
    }
    // An unconfirmed report of another source does not contradict the warning.
    if (!bestUp.isConfirmed()) {
      return StatusAssessment.draining(StateReason.CAUTION, source, NEVER);
    }
    return endsUs.getAsLong() > nowUs
        ? StatusAssessment.draining(StateReason.CAUTION, source, endsUs.getAsLong())
        : null;
  }

  /** Returns the assessment if a source's deletion outweighs other listings; otherwise null. */
  private StatusAssessment assessDeletions() {
    for (final Map.Entry<EndpointSource, Long> deletion : endpoint.deletions().entrySet()) {
      final long untilUs = deletion.getValue();
      if (untilUs > nowUs) {
        return StatusAssessment.draining(StateReason.DELETED, deletion.getKey(), untilUs);
      }
      // A listing last confirmed before the deletion does not contradict it.
      final long deletedUs = untilUs - settings.conflictWindowUs();
      if (lastUpResponseUs < deletedUs) {
        return StatusAssessment.draining(StateReason.DELETED, deletion.getKey(), NEVER);
      }
    }
    return null;
  }

  private StateReason upReason(final boolean warningExpired) {
    if (warningExpired) {
      return StateReason.WARNING_EXPIRED;
    }
    if (bestUp.isMissing()) {
      return StateReason.DOUBTED;
    }
    return bestUp.source().isUnreachable() ? StateReason.STALE : StateReason.SAID;
  }
}
