package thistleturn.decisions.replicas;

import java.util.List;

/**
 * What counts of all that writers state on a subject. The states and reasons are shown to
 * operators, who may rely on their spelling.
 *
 * @param type of the entries
 * @param subject an endpoint's name, or a destination's number
 * @param state one of the constants here
 * @param value calls a second, a version, or 0
 * @param sinceUs when what counts was created
 * @param untilUs until when it counts; {@link Long#MAX_VALUE}: until it is superseded
 * @param writers whose entries count
 * @param conflict several entries stand that contradict each other, and did not know of each other
 * @param reason why these entries count, in a sentence
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
  /** No writer states anything. */
  public static final String ABSENT = "nothing";

  /** An operator disabled the endpoint. */
  public static final String DISABLED = "left out";

  /** An operator enabled the endpoint. */
  public static final String ENABLED = "may serve";

  /** The destination is to be waited for. */
  public static final String WAITS = "waits";

  /** The destination failed. */
  public static final String OUT = "out";

  /** The destination serves again. */
  public static final String RETURNED = "returned";

  /** The destination stated its rate limit. */
  public static final String LIMIT = "limit";

  /** A rate was learned from rejections. */
  public static final String LEARNED_RATE = "learnt";

  /** The version of the endpoint list. */
  public static final String LIST = "list";

  /** Returns the value of a subject on which there are no entries. */
  static MergedValue absent(final EntryType type, final String subject) {
    return new MergedValue(
        type, subject, ABSENT, 0, 0, 0, List.of(), false, "nobody says anything");
  }

  /** Returns true if some writer states something. */
  public boolean isPresent() {
    return !writers.isEmpty();
  }
}
