package thistleturn.decisions.replicas;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * What counts where writers differ: the more careful word, while it can still be true. Each rule is
 * a function of the words alone, so that whoever holds the same words reads the same.
 */
final class Rule {
  private static final Comparator<Entry> BY_MADE =
      Comparator.comparingLong(Entry::madeUs).thenComparing(Entry::writer);

  private Rule() {}

  /** What counts on a subject. */
  static Verdict of(final Kind kind, final String subject, final List<Entry> words) {
    if (words.isEmpty()) {
      return Verdict.nothing(kind, subject);
    }
    return switch (kind) {
      case MAINTENANCE -> maintenance(subject, words);
      case WAIT ->
          latest(
              kind,
              subject,
              words,
              "waits",
              Comparator.comparingLong(Entry::endUs).thenComparing(Entry::writer),
              "the later end counts");
      case OUTAGE -> outage(subject, words);
      case LIMIT -> latest(kind, subject, words, "limit", BY_MADE, "what was told last counts");
      case LEARNT -> learnt(subject, words);
      case LIST ->
          latest(
              kind,
              subject,
              words,
              "list",
              Comparator.comparingLong((Entry word) -> word.whole(0)).thenComparing(Entry::writer),
              "the highest version counts");
    };
  }

  private static Verdict latest(
      final Kind kind,
      final String subject,
      final List<Entry> words,
      final String state,
      final Comparator<Entry> order,
      final String rule) {
    final Entry last = words.stream().max(order).orElseThrow();
    final double value = kind == Kind.WAIT ? 0 : last.number(0);
    return new Verdict(
        kind,
        subject,
        state,
        value,
        last.madeUs(),
        last.endUs(),
        List.of(last.writer()),
        false,
        rule);
  }

  /** Words that no other knew of stand. One of them that leaves the endpoint out is enough. */
  private static Verdict maintenance(final String subject, final List<Entry> words) {
    final List<Entry> standing = new ArrayList<>();
    for (final Entry word : words) {
      if (words.stream()
          .noneMatch(
              other -> !other.writer().equals(word.writer()) && Ban.of(other).covers(word))) {
        standing.add(word);
      }
    }
    final List<Entry> out = standing.stream().filter(word -> word.flag(0)).toList();
    final List<Entry> counts = out.isEmpty() ? standing : out;
    final boolean conflict = !out.isEmpty() && out.size() < standing.size();
    final Entry first = counts.stream().min(BY_MADE).orElseThrow();
    return new Verdict(
        Kind.MAINTENANCE,
        subject,
        out.isEmpty() ? "may serve" : "left out",
        0,
        first.madeUs(),
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
  private static Verdict outage(final String subject, final List<Entry> words) {
    final Entry lastOut = words.stream().filter(word -> word.flag(0)).max(BY_MADE).orElse(null);
    final Entry lastServed = words.stream().filter(word -> !word.flag(0)).max(BY_MADE).orElse(null);
    if (lastServed == null || (lastOut != null && lastOut.madeUs() > lastServed.madeUs())) {
      return new Verdict(
          Kind.OUTAGE,
          subject,
          "out",
          0,
          lastOut.madeUs(),
          lastOut.endUs(),
          List.of(lastOut.writer()),
          false,
          "found out after it was last found serving");
    }
    final long outUs = lastOut == null ? Long.MIN_VALUE : lastOut.madeUs();
    final Entry first =
        words.stream()
            .filter(word -> !word.flag(0) && word.madeUs() > outUs)
            .min(BY_MADE)
            .orElse(lastServed);
    return new Verdict(
        Kind.OUTAGE,
        subject,
        "returned",
        0,
        first.madeUs(),
        first.endUs(),
        List.of(first.writer()),
        false,
        "one return for all: when the first found it serving again");
  }

  /** The mean of what those keep to who were refused of late, weighed by how late. */
  private static Verdict learnt(final String subject, final List<Entry> words) {
    final Entry last = words.stream().max(BY_MADE).orElseThrow();
    final ToDoubleFunction<Entry> weight =
        word -> 1 - (last.madeUs() - word.madeUs()) / (double) Kind.LEARNT.mostUs();
    double sum = 0;
    double weights = 0;
    for (final Entry word : words) {
      final double one = Math.max(0, weight.applyAsDouble(word));
      sum += one * word.number(0);
      weights += one;
    }
    return new Verdict(
        Kind.LEARNT,
        subject,
        "learnt",
        sum / weights,
        last.madeUs(),
        last.endUs(),
        words.stream().map(Entry::writer).toList(),
        false,
        "the mean of those refused of late");
  }
}
