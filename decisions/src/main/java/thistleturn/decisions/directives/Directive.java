package thistleturn.decisions.directives;

import java.util.Objects;

/**
 * What a subsystem orders for an endpoint or a destination. A later directive of the same source
 * and kind replaces the one before; one that has expired already withdraws it.
 *
 * @param kind what is ordered
 * @param value how much, in the unit of the kind; without meaning for an exclusion and a wait
 * @param source who orders it: a subsystem's name, and on whose behalf
 * @param expiresUs until when it holds, us on the clock of the events; {@link Long#MAX_VALUE} if
 *     until it is withdrawn
 */
public record Directive(Kind kind, double value, String source, long expiresUs) {
  /** The longest name of a source. */
  public static final int MAX_SOURCE_LENGTH = 80;

  /**
   * What can be ordered, and which of several sources' directives wins. The names are part of the
   * operators' JSON.
   */
  public enum Kind {
    /**
     * Calls a second that a destination takes from all couriers together; above 0. The latest
     * counts, whoever it is from.
     */
    LIMIT,
    /** Calls a second of this courier to a destination; above 0. The least wins. */
    RATE,
    /** Calls of this courier in flight to a destination; 1 or more. The least wins. */
    CEILING,
    /** Nothing new is sent there. One source is enough. */
    EXCLUSION,
    /** Nothing is sent there before the directive expires, as by a Retry-After. The latest wins. */
    WAIT,
    /**
     * It does not serve: single trial calls only, until one succeeds. One source is enough. Value:
     * since when, us.
     */
    OUTAGE,
    /**
     * It has begun to serve again, and is ramped up slowly. The latest wins. Value: since when, us.
     */
    RETURN,
    /**
     * Its weight among endpoints that are otherwise alike, above 0 and at most 1. The least wins.
     */
    WEIGHT
  }

  /** Rejects what cannot be meant. */
  public Directive {
    Objects.requireNonNull(kind, "kind");
    if (source.isBlank() || source.length() > MAX_SOURCE_LENGTH) {
      throw new IllegalArgumentException(
          "a directive has a source of 1 to "
              + MAX_SOURCE_LENGTH
              + " characters, not '"
              + source
              + "'");
    }
    if (!isValid(kind, value)) {
      throw new IllegalArgumentException(kind + ": " + value + " cannot be meant (" + source + ")");
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

  /** A directive of a kind that has no value. */
  public static Directive of(final Kind kind, final String source, final long expiresUs) {
    return new Directive(kind, 0, source, expiresUs);
  }

  /** The directive that withdraws this one. */
  public Directive withdrawn() {
    return new Directive(kind, value, source, Long.MIN_VALUE);
  }

  /** True while the directive holds. */
  public boolean isActive(final long nowUs) {
    return nowUs < expiresUs;
  }

  /** True if the other directive is of the same source and kind, and so replaces this one. */
  boolean isReplacedBy(final Directive other) {
    return kind == other.kind && source.equals(other.source);
  }
}
