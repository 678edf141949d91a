package thistleturn.decisions.membership;

/**
 * One instance as one source lists it. An entry belongs to exactly one source and one endpoint, and
 * leaves both when the source deletes the instance or moves it to another address.
 */
final class SourceEntry {
  private static final long NEVER = EndpointRecord.NEVER;
  private static final long NOT_MISSING = -1;

  private final EndpointSource source;
  private final EndpointRecord endpoint;
  private SourceReport report;

  /** The next entry of the same endpoint, in order of arrival; null for the last. */
  private SourceEntry next;

  private long missingSinceUs = NOT_MISSING;
  private long lastWarningUs = Long.MIN_VALUE;

  /**
   * True once the warning of this entry outlived its unreachable source and another source's status
   * was used instead. It stays so until the source reports the instance again, so that a further
   * outage of the source cannot bring an old warning back.
   */
  private boolean overruled;

  SourceEntry(
      final EndpointSource source, final EndpointRecord endpoint, final SourceReport report) {
    this.source = source;
    this.endpoint = endpoint;
    this.report = report;
  }

  EndpointSource source() {
    return source;
  }

  EndpointRecord endpoint() {
    return endpoint;
  }

  SourceReport report() {
    return report;
  }

  SourceEntry next() {
    return next;
  }

  /** Links this entry to the one that follows it at the same endpoint. */
  void linkTo(final SourceEntry following) {
    next = following;
  }

  /** True if the source reports that nothing new may be sent to the endpoint. */
  boolean warns() {
    return report.status().blocksNewCalls();
  }

  /** True if a warning of this entry still counts against the statuses of other sources. */
  boolean warnsAgainstOthers() {
    return warns() && !overruled;
  }

  /** True if implausible snapshots of the source lack the instance. */
  boolean isMissing() {
    return missingSinceUs != NOT_MISSING;
  }

  /** True if the source is reachable and its last snapshot had the instance. */
  boolean isConfirmed() {
    return !source.isUnreachable() && !isMissing();
  }

  /**
   * Replaces the report.
   *
   * @return true if this changes what the source has to say of the endpoint
   */
  boolean update(final SourceReport latest) {
    if (report.equals(latest) && !isMissing() && !overruled) {
      return false;
    }
    report = latest;
    missingSinceUs = NOT_MISSING;
    overruled = false;
    return true;
  }

  /** The source warned of the endpoint now. */
  void recordWarning(final long nowUs) {
    lastWarningUs = nowUs;
  }

  /** True if the last warning is at most this old. */
  boolean hasWarnedWithin(final long windowUs, final long nowUs) {
    return lastWarningUs != Long.MIN_VALUE && nowUs < lastWarningUs + windowUs;
  }

  /**
   * An implausible snapshot lacks the instance.
   *
   * @return true if the snapshot before had it
   */
  boolean markMissing(final long nowUs) {
    if (isMissing()) {
      return false;
    }
    missingSinceUs = nowUs;
    return true;
  }

  /** Another source's status is used in spite of this entry's warning. */
  void overruleWarning() {
    overruled |= warns();
  }

  /**
   * The source is reachable again and has not withdrawn its warning, which therefore counts anew.
   */
  void reinstateWarning() {
    overruled &= isMissing();
  }

  /**
   * Until when a warning of this entry counts against another source's status: forever while the
   * source still confirms it, and for the conflict window after that.
   */
  long warningEndsUs(final MergeSettings settings) {
    long unconfirmedSinceUs = NEVER;
    if (source.isUnreachable()) {
      unconfirmedSinceUs = source.unreachableSinceUs();
    }
    if (isMissing()) {
      unconfirmedSinceUs = Math.min(unconfirmedSinceUs, missingSinceUs);
    }
    return unconfirmedSinceUs == NEVER ? NEVER : unconfirmedSinceUs + settings.conflictWindowUs();
  }

  /** How current the report is. */
  Freshness freshness(final long nowUs, final MergeSettings settings) {
    if (isConfirmed()) {
      return Freshness.CONFIRMED;
    }
    final boolean unreachableTooLong =
        source.isUnreachable() && nowUs >= source.unreachableSinceUs() + settings.staleAfterUs();
    final boolean missingTooLong =
        isMissing() && nowUs >= missingSinceUs + settings.absenceGraceUs();
    return unreachableTooLong || missingTooLong ? Freshness.STALE : Freshness.UNCONFIRMED;
  }

  /** When {@link #freshness} decreases by the passing of time alone, or {@code NEVER}. */
  long freshnessEndsUs(final long nowUs, final MergeSettings settings) {
    long endsUs = NEVER;
    if (source.isUnreachable()) {
      endsUs = source.unreachableSinceUs() + settings.staleAfterUs();
    }
    if (isMissing()) {
      endsUs = Math.min(endsUs, missingSinceUs + settings.absenceGraceUs());
    }
    return endsUs > nowUs ? endsUs : NEVER;
  }
}
