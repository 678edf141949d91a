package thistleturn.decisions.replicas;

import java.util.Comparator;
import java.util.List;

/**
 * Decides what counts where writers differ: the more careful entry, while it can still be true.
 * Each rule is a function of the entries alone, so that whoever holds the same entries reads the
 * same value.
 */
final class MergeRule {
  private static final Comparator<Entry> BY_CREATION =
      Comparator.comparingLong(Entry::createdUs).thenComparing(Entry::writer);
  private static final Comparator<Entry> BY_EXPIRY =
      Comparator.comparingLong(Entry::expiresUs).thenComparing(Entry::writer);
  private static final Comparator<Entry> BY_LIST_VERSION =
      Comparator.comparingLong(Entry::listVersion).thenComparing(Entry::writer);

  private MergeRule() {}

  /** Returns what counts of the entries on a subject. */
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

  /** Returns the value that one entry states alone. */
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

  /** Decisions that no other supersedes stand. One of them that disables the endpoint is enough. */
  private static MergedValue mergeMaintenance(final String subject, final List<Entry> entries) {
    final List<Entry> standing =
        entries.stream().filter(entry -> !isSuperseded(entry, entries)).toList();
    final List<Entry> disabling = standing.stream().filter(Entry::isDisabling).toList();
    final boolean isDisabled = !disabling.isEmpty();
    final boolean isConflict = isDisabled && disabling.size() < standing.size();
    final List<Entry> counting = isDisabled ? disabling : standing;
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
   * Out, if some courier found it so after any found it serving; otherwise back since that was
   * first found after it.
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
   * The mean of the rates that couriers learned from recent rejections, each weighted by how recent
   * it is.
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
