package thistleturn.decisions.replicas;

import java.util.List;

/**
 * What counts of all that writers say on a subject.
 *
 * @param type its kind
 * @param subject an endpoint's name, or a destination's number
 * @param state in words: {@code left out}, {@code may serve}, {@code waits}, {@code out}, {@code
 *     returned}, {@code limit}, {@code learnt}, {@code list}; or {@code nothing}
 * @param value calls a second, a version, or 0
 * @param sinceUs when what counts was made, us
 * @param untilUs until when it counts, us; {@link Long#MAX_VALUE}: until another word
 * @param writers whose words count
 * @param conflict several words stand that contradict each other, and did not know of each other
 * @param reason by which rule, in a sentence
 */
public record MergedValue(
    EntryType type,
    String subject,
    String state,
    double value,
    long sinceUs,
    long untilUs,
    List<WriterId> writers,
    boolean conflict,
    String reason) {
  /** Nothing is said. */
  static MergedValue absent(final EntryType kind, final String subject) {
    return new MergedValue(
        kind, subject, "nothing", 0, 0, 0, List.of(), false, "nobody says anything");
  }

  /** True if something is said. */
  public boolean isPresent() {
    return !writers.isEmpty();
  }
}
