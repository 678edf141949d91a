package thistleturn.decisions.replicas;

/**
 * What entries are about. Codes stand for types on the wire, and names appear in the operators'
 * pages; entries of types that are not known here are kept and forwarded.
 */
public enum EntryType {
  /**
   * An operator disabled an endpoint or enabled it: {@code disabled, operator, superseded
   * versions...}. Permanent.
   */
  MAINTENANCE(1, 0),
  /** A destination told a courier to wait: no fields; it lasts as long as the entry. */
  WAIT(2, 3_600_000_000L),
  /** A destination was found to have failed, or to serve again: {@code isOut}. */
  OUTAGE(3, 120_000_000L),
  /**
   * A destination stated how many calls a second it accepts from all couriers: {@code perSecond}.
   */
  LIMIT(4, 60_000_000L),
  /**
   * A courier was rejected, and learned how many calls a second it should keep to: {@code
   * perSecond}.
   */
  LEARNT(5, 5_000_000L),
  /** The version of the platform's endpoint list that a courier received last: {@code sequence}. */
  LIST(6, 300_000_000L);

  private final int code;
  private final long maxTtlUs;

  EntryType(final int code, final long maxTtlUs) {
    this.code = code;
    this.maxTtlUs = maxTtlUs;
  }

  /** Returns the code that stands for the type. */
  public int code() {
    return code;
  }

  /** Returns the longest time that entries are valid; 0: until they are superseded. */
  public long maxTtlUs() {
    return maxTtlUs;
  }

  /** Returns true if entries are valid until they are superseded. */
  boolean isPermanent() {
    return maxTtlUs == 0;
  }

  /** Returns the type of a code; null: one of a later version. */
  public static EntryType fromCode(final int code) {
    for (final EntryType type : values()) {
      if (type.code == code) {
        return type;
      }
    }
    return null;
  }
}
