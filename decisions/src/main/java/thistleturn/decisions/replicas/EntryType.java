package thistleturn.decisions.replicas;

/**
 * The types of entries. Codes identify them on the wire, and names appear in the operators' pages.
 * Entries of types that are unknown in this version are kept and forwarded.
 */
public enum EntryType {
  /**
   * An operator disabled or enabled an endpoint. Fields: {@code disabled, operator, superseded
   * versions...}. Permanent.
   */
  MAINTENANCE(1, 0),
  /** A destination asked a courier to wait until the entry expires. No fields. */
  WAIT(2, 3_600_000_000L),
  /** A destination was found to have failed, or to serve again. Field: {@code isOut}. */
  OUTAGE(3, 120_000_000L),
  /**
   * A destination reported how many calls per second it accepts from all couriers. Field: {@code
   * perSecond}.
   */
  LIMIT(4, 60_000_000L),
  /**
   * A courier was rejected, and learned how many calls per second it may make. Field: {@code
   * perSecond}.
   */
  LEARNT(5, 5_000_000L),
  /** A courier's latest version of the platform's endpoint list. Field: {@code sequence}. */
  LIST(6, 300_000_000L);

  private final int code;
  private final long maxTtlUs;

  EntryType(final int code, final long maxTtlUs) {
    this.code = code;
    this.maxTtlUs = maxTtlUs;
  }

  /** Returns the code of the type on the wire. */
  public int code() {
    return code;
  }

  /** Returns the maximum time to live of entries; 0: valid until superseded. */
  public long maxTtlUs() {
    return maxTtlUs;
  }

  /** Returns true if entries are valid until superseded. */
  boolean isPermanent() {
    return maxTtlUs == 0;
  }

  /** Returns the type with a code; null for a type of a later version. */
  public static EntryType fromCode(final int code) {
    for (final EntryType type : values()) {
      if (type.code == code) {
        return type;
      }
    }
    return null;
  }
}
