package thistleturn.decisions.replicas;

import java.util.Comparator;
import java.util.List;

/**
 * Derives one value from the entries of all writers on a subject. Where they differ, the more
 * cautious entry counts as long as it may still hold. Each rule is a function of the entries alone,
 * so stores with the same entries derive the same value.
 */
final class MergeRule {
  private static final Comparator<Entry> BY_CREATION =
      Comparator.comparingLong(Entry::createdUs).thenComparing(Entry::writer);
  private static final Comparator<Entry> BY_EXPIRY =
      Comparator.comparingLong(Entry::expiresUs).thenComparing(Entry::writer);
  private static final Comparator<Entry> BY_LIST_VERSION =
      Comparator.comparingLong(Entry::listVersion).thenComparing(Entry::writer);

  private MergeRule() {}

  /** Returns the merged value of the entries on a subject. */
  static MergedValue merge(final EntryType type, final String subject, final List<Entry> entries) {
    if (entries.isEmpty()) {
      return MergedValue.absent(type, subject);
    }
    return switch (type) {
      case MAINTENANCE -> mergeMaintenance(subject, entries);
      case WAIT ->
          valueOf(type, latest(entries, BY_EXPIRY), MergedValue.WAITS, 0, "the later end counts");
      case OUTAGE -> mergeOutage(entries);
      case LIMIT -> mergeLimit(entries);
      case LEARNT -> mergeLearnedRate(subject, entries);
      case LIST -> mergeListVersion(entries);
    };
  }

  private static Entry latest(final List<Entry> entries, final Comparator<Entry> order) {
    return entries.stream().max(order).orElseThrow();
  }

  /** Returns a merged value that is determined by one entry. */
  private static MergedValue valueOf(
      final EntryType type,
      final Entry entry,
      final String state,
      final double value,
      final String reason) {
    return new MergedValue(
        type,
        entry.subject(),
        state,
        value,
        entry.createdUs(),
        entry.expiresUs(),
        List.of(entry.writer()),
        false,
        reason);
  }

  private static MergedValue mergeLimit(final List<Entry> entries) {
    final Entry last = latest(entries, BY_CREATION);
    return valueOf(
        EntryType.LIMIT,
        last,
        MergedValue.LIMIT,
        last.callsPerSecond(),
        "what was told last counts");
  }

  private static MergedValue mergeListVersion(final List<Entry> entries) {
    final Entry last = latest(entries, BY_LIST_VERSION);
    return valueOf(
        EntryType.LIST,
        last,
        MergedValue.LIST,
        (double) last.listVersion(),
        "the highest version counts");
  }

  /** Considers decisions that no other one supersedes; any of them can disable the endpoint. */
  private static MergedValue mergeMaintenance(final String subject, final List<Entry> entries) {
    final List<Entry> inForce =
        entries.stream().filter(entry -> !isSuperseded(entry, entries)).toList();
    final List<Entry> disabling = inForce.stream().filter(Entry::isDisabling).toList();
    final boolean isDisabled = !disabling.isEmpty();
    final boolean isConflict = isDisabled && disabling.size() < inForce.size();
    final List<Entry> counting = isDisabled ? disabling : inForce;
    final Entry first = counting.stream().min(BY_CREATION).orElseThrow();
    return new MergedValue(
        EntryType.MAINTENANCE,
        subject,
        isDisabled ? MergedValue.DISABLED : MergedValue.ENABLED,
        0,
        first.createdUs(),
        Long.MAX_VALUE,
        writersOf(counting),
        isConflict,
        isConflict
            ? "told on both sides at once: it stays left out until an operator who knows of both says otherwise"
            : "the last word counts");
  }

  private static boolean isSuperseded(final Entry entry, final List<Entry> entries) {
    return entries.stream()
        .anyMatch(
            other ->
                !other.writer().equals(entry.writer())
                    && DisableEntry.fromEntry(other).supersedes(entry));
  }

  private static List<WriterId> writersOf(final List<Entry> entries) {
    return entries.stream().map(Entry::writer).toList();
  }

  /**
   * The destination is out if the last outage was found after the last recovery. Otherwise it has
   * recovered, at the time of the first recovery found after the last outage.
   */
  private static MergedValue mergeOutage(final List<Entry> entries) {
    final List<Entry> outages = entries.stream().filter(Entry::isFailure).toList();
    final List<Entry> recoveries = entries.stream().filter(entry -> !entry.isFailure()).toList();
    final Entry lastOutage = outages.stream().max(BY_CREATION).orElse(null);
    final Entry lastRecovery = recoveries.stream().max(BY_CREATION).orElse(null);
    if (lastRecovery == null
        || (lastOutage != null && lastOutage.createdUs() > lastRecovery.createdUs())) {
      return valueOf(
          EntryType.OUTAGE,
          lastOutage,
          MergedValue.OUT,
          0,
          "found out after it was last found serving");
    }
    final long lastOutageUs = lastOutage == null ? Long.MIN_VALUE : lastOutage.createdUs();
    final Entry firstRecovery =
        recoveries.stream()
            .filter(entry -> entry.createdUs() > lastOutageUs)
            .min(BY_CREATION)
            .orElse(lastRecovery);
    return valueOf(
        EntryType.OUTAGE,
        firstRecovery,
        MergedValue.RETURNED,
        0,
        "one return for all: when the first found it serving again");
  }

  /**
   * Returns the mean of the rates that couriers learned from recent rejections, weighted by
   * recency.
   */
  private static MergedValue mergeLearnedRate(final String subject, final List<Entry> entries) {
    final Entry last = latest(entries, BY_CREATION);
    double weightedSum = 0;
    double weights = 0;
    for (final Entry entry : entries) {
      final double age =
          (last.createdUs() - entry.createdUs()) / (double) EntryType.LEARNT.maxTtlUs();
      final double weight = Math.max(0, 1 - age);
      weightedSum += weight * entry.callsPerSecond();
      weights += weight;
    }
    return new MergedValue(
        EntryType.LEARNT,
        subject,
        MergedValue.LEARNED_RATE,
        weightedSum / weights,
        last.createdUs(),
        last.expiresUs(),
        writersOf(entries),
        false,
        "the mean of those refused of late");
  }
}
