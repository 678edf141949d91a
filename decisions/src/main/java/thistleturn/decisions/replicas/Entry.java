package thistleturn.decisions.replicas;

import java.util.List;

/**
 * One writer's word on one subject. Of two by the same writer the higher version counts; no other
 * copy of it can differ but in when it is thought to have been made: that is as much too late as it
 * was on its way.
 *
 * @param typeCode the number of its {@link EntryType}
 * @param subject an endpoint's name, or a destination's number
 * @param writer who wrote it
 * @param version counts the writer's entries; above 0
 * @param ttlUs how long it holds; 0: until another takes its place
 * @param createdUs when it was made, on the clock of whoever keeps this copy
 * @param fields by place, each a {@link Long}, {@link Double}, {@link Boolean} or {@link String};
 *     those that are not known are kept
 */
public record Entry(
    int typeCode,
    String subject,
    WriterId writer,
    long version,
    long ttlUs,
    long createdUs,
    List<Object> fields) {
  /** Bounds of what a copy takes over from others. */
  static final int MAX_SUBJECT_LENGTH = 200;

  static final int MAX_FIELDS = 64;
  static final int MAX_TEXT_LENGTH = 200;
  static final long VERSION_LIMIT = 1L << 53;
  private static final int MAX_DESTINATION_DIGITS = 18;
  private static final int FIXED_BYTES = 40;
  private static final int NUMBER_BYTES = 9;

  /** When it ends, us; never, if it is kept. */
  public long expiresUs() {
    return ttlUs == 0 ? Long.MAX_VALUE : createdUs + ttlUs;
  }

  /** The same, thought to have been made at another moment. */
  Entry withCreatedUs(final long us) {
    return new Entry(typeCode, subject, writer, version, ttlUs, us, fields);
  }

  /** About how many bytes it takes on its way. */
  public int estimatedBytes() {
    int bytes = FIXED_BYTES + subject.length() + writer.name().length();
    for (int place = 0; place < fields.size(); place++) {
      bytes += fields.get(place) instanceof String text ? text.length() + 2 : NUMBER_BYTES;
    }
    return bytes;
  }

  /** A field as a yes or no; no, if it is not there. */
  boolean booleanField(final int place) {
    return place < fields.size() && Boolean.TRUE.equals(fields.get(place));
  }

  /** A field as a number; {@link Double#NaN}, if it is not there. */
  double doubleField(final int place) {
    return place < fields.size() && fields.get(place) instanceof Number number
        ? number.doubleValue()
        : Double.NaN;
  }

  /** A field as a whole number; 0, if it is not there. */
  long longField(final int place) {
    return place < fields.size() && fields.get(place) instanceof Long number ? number : 0;
  }

  /** A field as a text; empty, if it is not there. */
  String textField(final int place) {
    return place < fields.size() && fields.get(place) instanceof String text ? text : "";
  }

  /**
   * True if it can be meant: a wait of centuries or a rate of nothing is somebody's mistake, and
   * moves nothing.
   */
  boolean isValid(final long nowUs) {
    if (!writer.isValid()
        || subject.isEmpty()
        || subject.length() > MAX_SUBJECT_LENGTH
        || version <= 0
        || version >= VERSION_LIMIT
        || fields.size() > MAX_FIELDS
        || createdUs > nowUs
        || ttlUs < 0) {
      return false;
    }
    for (final Object field : fields) {
      if (field instanceof String text && text.length() > MAX_TEXT_LENGTH) {
        return false;
      }
    }
    final EntryType known = EntryType.fromCode(typeCode);
    if (known == null) {
      return ttlUs > 0 && ttlUs <= EntryType.WAIT.maxTtlUs();
    }
    return (known.maxTtlUs() == 0 ? ttlUs == 0 : ttlUs > 0 && ttlUs <= known.maxTtlUs())
        && switch (known) {
          case MAINTENANCE ->
              !fields.isEmpty()
                  && fields.get(0) instanceof Boolean
                  && DisableEntry.fromEntry(this) != null;
          case OUTAGE -> isDestination() && !fields.isEmpty() && fields.get(0) instanceof Boolean;
          case LIMIT, LEARNT -> isDestination() && isRate(doubleField(0));
          case LIST -> !fields.isEmpty() && fields.get(0) instanceof Long;
          case WAIT -> isDestination();
        };
  }

  /** True if it is about a destination, by its number. */
  private boolean isDestination() {
    return subject.length() <= MAX_DESTINATION_DIGITS
        && subject.chars().allMatch(one -> one >= '0' && one <= '9');
  }

  private static boolean isRate(final double perSecond) {
    return perSecond > 0 && perSecond <= 1_000_000;
  }
}
