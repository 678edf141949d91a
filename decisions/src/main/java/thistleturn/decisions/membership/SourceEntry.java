package thistleturn.decisions.membership;

/**
 * One instance as listed by one source. An entry belongs to exactly one source and one endpoint,
 * and is removed from both when the source deletes the instance or moves it to another address.
 */
final class SourceEntry {
  private static final long NEVER = EndpointRecord.NEVER;
  private static final long NOT_MISSING = -1;

  private final EndpointSource source;
  private final EndpointRecord endpoint;
  private SourceReport report;

  /** The next entry of the same endpoint, in order of addition; null for the last. */
  private SourceEntry next;

  private long missingSinceUs = NOT_MISSING;
  private long lastWarningUs = Long.MIN_VALUE;

  /**
   * True once the warning of this entry expired, as its source was unreachable, and another
   * source's status was used instead. It remains true until the source reports the instance again,
   * so that a further outage of the source cannot restore an old warning.
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

  /** Returns true if the source reports that nothing new may be sent to the endpoint. */
  boolean warns() {
    return report.status().blocksNewCalls();
  }

  /** Returns true if a warning of this entry still counts against other sources' statuses. */
  boolean warnsAgainstOthers() {
    return warns() && !overruled;
  }

  /** Returns true if an implausible snapshot of the source lacks the instance. */
  boolean isMissing() {
    return missingSinceUs != NOT_MISSING;
  }

  /** Returns true if the source is reachable and its last snapshot had the instance. */
  boolean isConfirmed() {
    return !source.isUnreachable() && !isMissing();
  }

  /**
   * Replaces the report.
   *
   * @return true if this changes the information that the source provides on the endpoint
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

  /** Records that the source warned of the endpoint now. */
  void recordWarning(final long nowUs) {
    lastWarningUs = nowUs;
  }

  /** Returns true if the last warning is less than this old. */
  boolean hasWarnedWithin(final long windowUs, final long nowUs) {
    return lastWarningUs != Long.MIN_VALUE && nowUs < lastWarningUs + windowUs;
  }

  /**
   * Marks the instance as missing from an implausible snapshot.
   *
   * @return true if the previous snapshot had it
   */
  boolean markMissing(final long nowUs) {
    if (isMissing()) {
      return false;
    }
    missingSinceUs = nowUs;
    return true;
  }

  /** Marks this entry's warning, if any, as overruled by another source's status. */
  void overruleWarning() {
    overruled |= warns();
  }

  /**
   * Makes an overruled warning count again, as the source is reachable again and has not withdrawn
   * it.
   */
  void reinstateWarning() {
    overruled &= isMissing();
  }

  /**
   * Returns until when a warning of this entry counts against another source's status: without
   * limit while the source still confirms it, and for the conflict window after that.
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

  /** Returns how current the report is. */
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

  /** Returns when {@link #freshness} next decreases by the passing of time alone, or NEVER. */
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
