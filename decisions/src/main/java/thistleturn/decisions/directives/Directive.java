package thistleturn.decisions.directives;

import java.util.Objects;

/**
 * An instruction of a subsystem for an endpoint or a destination. A later directive of the same
 * source and kind replaces the earlier one; one that has already expired withdraws it.
 *
 * @param kind the kind of instruction
 * @param value its value, in the unit of the kind; ignored for an exclusion and a wait
 * @param source the issuer: a subsystem's name, and on whose behalf
 * @param expiresUs its expiry, us on the clock of the events; {@link Long#MAX_VALUE} if it holds
 *     until it is withdrawn
 */
public record Directive(Kind kind, double value, String source, long expiresUs) {
  /** Maximum length of a source, in characters. */
  public static final int MAX_SOURCE_LENGTH = 80;

  /**
   * The kinds of directive, and which of several sources' directives takes effect. The names are
   * part of the operators' JSON.
   */
  public enum Kind {
    /**
     * Calls a second that a destination accepts from all couriers together; above 0. The latest
     * takes effect, whatever its source.
     */
    LIMIT,
    /** Calls a second of this courier to a destination; above 0. The lowest takes effect. */
    RATE,
    /** Calls of this courier in flight to a destination; at least 1. The lowest takes effect. */
    CEILING,
    /** No new calls are sent there. One source suffices. */
    EXCLUSION,
    /**
     * No calls are sent there before the directive expires, as after a Retry-After. The latest
     * expiry takes effect.
     */
    WAIT,
    /**
     * It is in an outage: single trial calls only, until one succeeds. One source suffices. Value:
     * start of the outage, us.
     */
    OUTAGE,
    /**
     * It serves again and its load is ramped up slowly. The latest takes effect. Value: start of
     * the recovery, us.
     */
    RETURN,
    /**
     * Its weight among otherwise equal endpoints, above 0 and at most 1. The lowest takes effect.
     */
    WEIGHT
  }

  /** Rejects an invalid source or value. */
  public Directive {
    Objects.requireNonNull(kind, "kind");
    if (source.isBlank() || source.length() > MAX_SOURCE_LENGTH) {
      throw new IllegalArgumentException(
          "the source of a directive must have 1 to "
              + MAX_SOURCE_LENGTH
              + " characters, not '"
              + source
              + "'");
    }
    if (!isValid(kind, value)) {
      throw new IllegalArgumentException(
          kind + ": " + value + " is out of range (source " + source + ")");
    }
  }

  private static boolean isValid(final Kind kind, final double value) {
    return switch (kind) {
      case RATE, LIMIT -> value > 0 && value < Double.POSITIVE_INFINITY;
      case CEILING -> value >= 1 && value < Double.POSITIVE_INFINITY;
      case WEIGHT -> value > 0 && value <= 1;
      case OUTAGE, RETURN -> value >= 0 && value < Long.MAX_VALUE;
      case EXCLUSION, WAIT -> true;
    };
  }

  /** Returns a directive of a kind without a value. */
  public static Directive of(final Kind kind, final String source, final long expiresUs) {
    return new Directive(kind, 0, source, expiresUs);
  }

  /** Returns the directive that withdraws this one. */
  public Directive withdrawn() {
    return new Directive(kind, value, source, Long.MIN_VALUE);
  }

  /** Returns true while the directive is in effect. */
  public boolean isActive(final long nowUs) {
    return nowUs < expiresUs;
  }

  /** Returns whether the other directive has the same source and kind and so replaces this one. */
  boolean isReplacedBy(final Directive other) {
    return kind == other.kind && source.equals(other.source);
  }
}
