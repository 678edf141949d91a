package thistleturn.decisions.replicas;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * What counts where writers differ: the more careful word, while it can still be true. Each rule is
 * a function of the words alone, so that whoever holds the same words reads the same.
 */
final class MergeRule {
  private static final Comparator<Entry> BY_CREATION =
      Comparator.comparingLong(Entry::createdUs).thenComparing(Entry::writer);

  private MergeRule() {}

  /** What counts on a subject. */
  static MergedValue merge(final EntryType kind, final String subject, final List<Entry> words) {
    if (words.isEmpty()) {
      return MergedValue.absent(kind, subject);
    }
    return switch (kind) {
      case MAINTENANCE -> mergeMaintenance(subject, words);
      case WAIT ->
          mergeLatest(
              kind,
              subject,
              words,
              "waits",
              Comparator.comparingLong(Entry::expiresUs).thenComparing(Entry::writer),
              "the later end counts");
      case OUTAGE -> mergeOutage(subject, words);
      case LIMIT ->
          mergeLatest(kind, subject, words, "limit", BY_CREATION, "what was told last counts");
      case LEARNT -> mergeLearnedRate(subject, words);
      case LIST ->
          mergeLatest(
              kind,
              subject,
              words,
              "list",
              Comparator.comparingLong((Entry word) -> word.longField(0))
                  .thenComparing(Entry::writer),
              "the highest version counts");
    };
  }

  private static MergedValue mergeLatest(
      final EntryType kind,
      final String subject,
      final List<Entry> words,
      final String state,
      final Comparator<Entry> order,
      final String rule) {
    final Entry last = words.stream().max(order).orElseThrow();
    final double value = kind == EntryType.WAIT ? 0 : last.doubleField(0);
    return new MergedValue(
        kind,
        subject,
        state,
        value,
        last.createdUs(),
        last.expiresUs(),
        List.of(last.writer()),
        false,
        rule);
  }

  /** Words that no other knew of stand. One of them that leaves the endpoint out is enough. */
  private static MergedValue mergeMaintenance(final String subject, final List<Entry> words) {
    final List<Entry> standing = new ArrayList<>();
    for (final Entry word : words) {
      if (words.stream()
          .noneMatch(
              other ->
                  !other.writer().equals(word.writer())
                      && DisableEntry.fromEntry(other).supersedes(word))) {
        standing.add(word);
      }
    }
    final List<Entry> out = standing.stream().filter(word -> word.booleanField(0)).toList();
    final List<Entry> counts = out.isEmpty() ? standing : out;
    final boolean conflict = !out.isEmpty() && out.size() < standing.size();
    final Entry first = counts.stream().min(BY_CREATION).orElseThrow();
    return new MergedValue(
        EntryType.MAINTENANCE,
        subject,
        out.isEmpty() ? "may serve" : "left out",
        0,
        first.createdUs(),
        Long.MAX_VALUE,
        counts.stream().map(Entry::writer).toList(),
        conflict,
        conflict
            ? "told on both sides at once: it stays left out until an operator who knows of both says otherwise"
            : "the last word counts");
  }

  /**
   * Out, if somebody found it so after anybody found it serving; else it returned when that was
   * first found after it.
   */
  private static MergedValue mergeOutage(final String subject, final List<Entry> words) {
    final Entry lastOut =
        words.stream().filter(word -> word.booleanField(0)).max(BY_CREATION).orElse(null);
    final Entry lastServed =
        words.stream().filter(word -> !word.booleanField(0)).max(BY_CREATION).orElse(null);
    if (lastServed == null || (lastOut != null && lastOut.createdUs() > lastServed.createdUs())) {
      return new MergedValue(
          EntryType.OUTAGE,
          subject,
          "out",
          0,
          lastOut.createdUs(),
          lastOut.expiresUs(),
          List.of(lastOut.writer()),
          false,
          "found out after it was last found serving");
    }
    final long outUs = lastOut == null ? Long.MIN_VALUE : lastOut.createdUs();
    final Entry first =
        words.stream()
            .filter(word -> !word.booleanField(0) && word.createdUs() > outUs)
            .min(BY_CREATION)
            .orElse(lastServed);
    return new MergedValue(
        EntryType.OUTAGE,
        subject,
        "returned",
        0,
        first.createdUs(),
        first.expiresUs(),
        List.of(first.writer()),
        false,
        "one return for all: when the first found it serving again");
  }

  /** The mean of what those keep to who were refused of late, weighed by how late. */
  private static MergedValue mergeLearnedRate(final String subject, final List<Entry> words) {
    final Entry last = words.stream().max(BY_CREATION).orElseThrow();
    final ToDoubleFunction<Entry> weight =
        word -> 1 - (last.createdUs() - word.createdUs()) / (double) EntryType.LEARNT.maxTtlUs();
    double sum = 0;
    double weights = 0;
    for (final Entry word : words) {
      final double one = Math.max(0, weight.applyAsDouble(word));
      sum += one * word.doubleField(0);
      weights += one;
    }
    return new MergedValue(
        EntryType.LEARNT,
        subject,
        "learnt",
        sum / weights,
        last.createdUs(),
        last.expiresUs(),
        words.stream().map(Entry::writer).toList(),
        false,
        "the mean of those refused of late");
  }
}
