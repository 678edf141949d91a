package thistleturn.decisions.directives;

import java.util.Objects;

/**
 * What a subsystem says of an endpoint or a destination. A later word of one speaker and kind takes
 * the place of the one before; one that is over by its own time takes it back.
 *
 * @param kind what is said
 * @param value how much, in the kind's unit; of no meaning for an exclusion and a wait
 * @param source who says it: a subsystem's name, and whose word it passes on
 * @param expiresUs until when it holds, us on the clock of the events; {@link Long#MAX_VALUE}:
 *     until it is taken back
 */
public record Directive(Kind kind, double value, String source, long expiresUs) {
  /** The longest name of a speaker. */
  public static final int MAX_SOURCE_LENGTH = 80;

  /** What can be said, and which of several speakers' words wins. */
  public enum Kind {
    /**
     * Calls a second that a destination takes from all couriers together; above 0. What is told
     * last counts, by whomever.
     */
    LIMIT,
    /** Calls a second of this courier to a destination; above 0. The least wins. */
    RATE,
    /** Calls of this courier in flight to a destination; 1 or more. The least wins. */
    CEILING,
    /** Nothing new goes there. One speaker is enough. */
    EXCLUSION,
    /** Nothing goes there before its end, as if it had been told to wait. The latest end wins. */
    WAIT,
    /**
     * It does not serve: single trials only, until one succeeds. One speaker is enough. Value:
     * since when, us.
     */
    OUTAGE,
    /**
     * It has begun to serve again: it is paced as one that is cold. The latest wins. Value: since
     * when, us.
     */
    RETURN,
    /**
     * Its part of the calls among endpoints that are alike, between 0 (not reached) and 1. The
     * least wins.
     */
    WEIGHT
  }

  /** Turns down what cannot be meant. */
  public Directive {
    Objects.requireNonNull(kind, "kind");
    if (source.isBlank() || source.length() > MAX_SOURCE_LENGTH) {
      throw new IllegalArgumentException(
          "a word has a speaker of 1 to " + MAX_SOURCE_LENGTH + " letters, not '" + source + "'");
    }
    final boolean usable =
        switch (kind) {
          case RATE, LIMIT -> value > 0 && value < Double.POSITIVE_INFINITY;
          case CEILING -> value >= 1 && value < Double.POSITIVE_INFINITY;
          case WEIGHT -> value > 0 && value <= 1;
          case OUTAGE, RETURN -> value >= 0 && value < Long.MAX_VALUE;
          case EXCLUSION, WAIT -> true;
        };
    if (!usable) {
      throw new IllegalArgumentException(kind + ": " + value + " cannot be meant (" + source + ")");
    }
  }

  /** A word without a value of its own. */
  public static Directive of(final Kind kind, final String by, final long untilUs) {
    return new Directive(kind, 0, by, untilUs);
  }

  /** What takes this word back. */
  public Directive withdrawn() {
    return new Directive(kind, value, source, Long.MIN_VALUE);
  }

  /** True while it holds. */
  public boolean isActive(final long nowUs) {
    return nowUs < expiresUs;
  }
}
