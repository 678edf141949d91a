package thistleturn.decisions.replicas;

/**
 * What entries are about. Numbers stand for kinds on the wire; entries of kinds that are not known
 * are kept and passed on.
 */
public enum EntryType {
  /**
   * An endpoint is left out by hand, or may serve again: {@code out, operator, seen...}. Kept for
   * good.
   */
  MAINTENANCE(1, 0),
  /** A destination told a courier to wait: no fields; it lasts as long as the entry. */
  WAIT(2, 3_600_000_000L),
  /** A destination was found out, or was found to serve again: {@code out}. */
  OUTAGE(3, 120_000_000L),
  /** A destination told how many calls a second it takes from all couriers: {@code perSecond}. */
  LIMIT(4, 60_000_000L),
  /** A courier was refused: calls a second that it keeps to since, {@code perSecond}. */
  LEARNT(5, 5_000_000L),
  /** The platform's list as a courier was last told: {@code seq}. */
  LIST(6, 300_000_000L);

  private final int code;
  private final long maxTtlUs;

  EntryType(final int code, final long mostUs) {
    this.code = code;
    this.maxTtlUs = mostUs;
  }

  /** The number that stands for it. */
  public int code() {
    return code;
  }

  /** The longest life of an entry, us; 0: it is kept until another takes its place. */
  public long maxTtlUs() {
    return maxTtlUs;
  }

  /** The kind of that number; null: one of a later version. */
  public static EntryType fromCode(final int code) {
    for (final EntryType kind : values()) {
      if (kind.code == code) {
        return kind;
      }
    }
    return null;
  }
}
