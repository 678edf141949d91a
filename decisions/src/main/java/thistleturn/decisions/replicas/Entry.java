package thistleturn.decisions.replicas;

import java.util.List;

/**
 * One writer's word on one subject. Of two by the same writer the higher version counts; no other
 * copy of it can differ but in when it is thought to have been made: that is as much too late as it
 * was on its way.
 *
 * @param kind the number of its {@link Kind}
 * @param subject an endpoint's name, or a destination's number
 * @param writer who wrote it
 * @param version counts the writer's entries; above 0
 * @param lifeUs how long it holds; 0: until another takes its place
 * @param madeUs when it was made, on the clock of whoever keeps this copy
 * @param fields by place, each a {@link Long}, {@link Double}, {@link Boolean} or {@link String};
 *     those that are not known are kept
 */
public record Entry(
    int kind,
    String subject,
    Writer writer,
    long version,
    long lifeUs,
    long madeUs,
    List<Object> fields) {
  /** Bounds of what a copy takes over from others. */
  static final int MOST_SUBJECT = 200;

  static final int MOST_FIELDS = 64;
  static final int MOST_TEXT = 200;
  static final long MOST_VERSION = 1L << 53;
  private static final int MOST_FIGURES = 18;
  private static final int FIXED_BYTES = 40;
  private static final int NUMBER_BYTES = 9;

  /** When it ends, us; never, if it is kept. */
  public long endUs() {
    return lifeUs == 0 ? Long.MAX_VALUE : madeUs + lifeUs;
  }

  /** The same, thought to have been made at another moment. */
  Entry madeAt(final long us) {
    return new Entry(kind, subject, writer, version, lifeUs, us, fields);
  }

  /** About how many bytes it takes on its way. */
  public int bytes() {
    int bytes = FIXED_BYTES + subject.length() + writer.name().length();
    for (int place = 0; place < fields.size(); place++) {
      bytes += fields.get(place) instanceof String text ? text.length() + 2 : NUMBER_BYTES;
    }
    return bytes;
  }

  /** A field as a yes or no; no, if it is not there. */
  boolean flag(final int place) {
    return place < fields.size() && Boolean.TRUE.equals(fields.get(place));
  }

  /** A field as a number; {@link Double#NaN}, if it is not there. */
  double number(final int place) {
    return place < fields.size() && fields.get(place) instanceof Number number
        ? number.doubleValue()
        : Double.NaN;
  }

  /** A field as a whole number; 0, if it is not there. */
  long whole(final int place) {
    return place < fields.size() && fields.get(place) instanceof Long number ? number : 0;
  }

  /** A field as a text; empty, if it is not there. */
  String text(final int place) {
    return place < fields.size() && fields.get(place) instanceof String text ? text : "";
  }

  /**
   * True if it can be meant: a wait of centuries or a rate of nothing is somebody's mistake, and
   * moves nothing.
   */
  boolean isUsable(final long nowUs) {
    if (!writer.isUsable()
        || subject.isEmpty()
        || subject.length() > MOST_SUBJECT
        || version <= 0
        || version >= MOST_VERSION
        || fields.size() > MOST_FIELDS
        || madeUs > nowUs
        || lifeUs < 0) {
      return false;
    }
    for (final Object field : fields) {
      if (field instanceof String text && text.length() > MOST_TEXT) {
        return false;
      }
    }
    final Kind known = Kind.of(kind);
    if (known == null) {
      return lifeUs > 0 && lifeUs <= Kind.WAIT.mostUs();
    }
    return (known.mostUs() == 0 ? lifeUs == 0 : lifeUs > 0 && lifeUs <= known.mostUs())
        && switch (known) {
          case MAINTENANCE ->
              !fields.isEmpty() && fields.get(0) instanceof Boolean && Ban.of(this) != null;
          case OUTAGE -> isDestination() && !fields.isEmpty() && fields.get(0) instanceof Boolean;
          case LIMIT, LEARNT -> isDestination() && isRate(number(0));
          case LIST -> !fields.isEmpty() && fields.get(0) instanceof Long;
          case WAIT -> isDestination();
        };
  }

  /** True if it is about a destination, by its number. */
  private boolean isDestination() {
    return subject.length() <= MOST_FIGURES
        && subject.chars().allMatch(one -> one >= '0' && one <= '9');
  }

  private static boolean isRate(final double perSecond) {
    return perSecond > 0 && perSecond <= 1_000_000;
  }
}
