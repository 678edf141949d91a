package thistleturn.decisions.replicas;

import java.util.List;

/**
 * The value derived from the entries of all writers on a subject. The states and reasons are shown
 * to operators, who may rely on their spelling.
 *
 * @param type of the entries
 * @param subject an endpoint's name, or a destination's number
 * @param state one of the constants here
 * @param value calls per second, a list version, or 0
 * @param sinceUs when the entry that determines the value was created
 * @param untilUs until when the value holds; {@link Long#MAX_VALUE}: until superseded
 * @param writers the writers whose entries determine the value
 * @param conflict true if contradicting decisions, made without knowledge of each other, are in
 *     force
 * @param reason why these entries determine the value, in a sentence
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
  /** There are no entries. */
  public static final String ABSENT = "nothing";

  /** An operator disabled the endpoint. */
  public static final String DISABLED = "left out";

  /** An operator enabled the endpoint. */
  public static final String ENABLED = "may serve";

  /** The destination asked couriers to wait. */
  public static final String WAITS = "waits";

  /** The destination failed. */
  public static final String OUT = "out";

  /** The destination serves again. */
  public static final String RETURNED = "returned";

  /** The destination reported its rate limit. */
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

  /** Returns true if there is an entry on the subject. */
  public boolean isPresent() {
    return !writers.isEmpty();
  }
}
