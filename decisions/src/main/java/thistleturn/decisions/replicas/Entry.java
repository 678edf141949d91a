package thistleturn.decisions.replicas;

import java.util.List;

/**
 * What one writer states on one subject. Of two entries of the same writer the higher version
 * counts. Copies of an entry differ in nothing but when it is thought to have been created: as much
 * too late as the copy took to arrive.
 *
 * @param typeCode the code of its {@link EntryType}, which may be one of a later version
 * @param subject an endpoint's name, or a destination's number
 * @param writer who wrote it
 * @param version counts the writer's entries; above 0
 * @param ttlUs how long it is valid; 0: until it is superseded
 * @param createdUs when it was created, on the clock of the courier that stores this copy
 * @param fields by position, each a {@link Long}, {@link Double}, {@link Boolean} or {@link
 *     String}; unknown ones are kept
 */
public record Entry(
    int typeCode,
    String subject,
    WriterId writer,
    long version,
    long ttlUs,
    long createdUs,
    List<Object> fields) {
  static final int MAX_SUBJECT_LENGTH = 200;
  static final int MAX_FIELDS = 64;
  static final int MAX_TEXT_LENGTH = 200;

  /** Versions are below this, so that they are exact in other number formats. */
  static final long VERSION_LIMIT = 1L << 53;

  /** The field in which an entry of every known type but WAIT states its matter. */
  private static final int STATEMENT_FIELD = 0;

  private static final int MAX_DESTINATION_DIGITS = 18;
  private static final double MAX_CALLS_PER_SECOND = 1_000_000;
  private static final int FIXED_BYTES = 40;
  private static final int NUMBER_BYTES = 9;
  private static final int TEXT_HEAD_BYTES = 2;

  /** Returns when it expires; {@link Long#MAX_VALUE}: never. */
  public long expiresUs() {
    return ttlUs == 0 ? Long.MAX_VALUE : createdUs + ttlUs;
  }

  /** Returns the same entry, thought to have been created at another time. */
  Entry withCreatedUs(final long us) {
    return new Entry(typeCode, subject, writer, version, ttlUs, us, fields);
  }

  /** Returns about how many bytes the entry takes once it is encoded. */
  public int estimatedBytes() {
    int bytes = FIXED_BYTES + subject.length() + writer.name().length();
    for (int index = 0; index < fields.size(); index++) {
      bytes +=
          fields.get(index) instanceof String text ? text.length() + TEXT_HEAD_BYTES : NUMBER_BYTES;
    }
    return bytes;
  }

  // ---------------------------------------------------------------- fields

  /** Returns a field as a boolean; false if there is none. */
  boolean booleanField(final int index) {
    return index < fields.size() && Boolean.TRUE.equals(fields.get(index));
  }

  /** Returns a field as a double; {@link Double#NaN} if there is none. */
  double doubleField(final int index) {
    return index < fields.size() && fields.get(index) instanceof Number number
        ? number.doubleValue()
        : Double.NaN;
  }

  /** Returns a field as a long; 0 if there is none. */
  long longField(final int index) {
    return index < fields.size() && fields.get(index) instanceof Long number ? number : 0;
  }

  /** Returns a field as a string; empty if there is none. */
  String textField(final int index) {
    return index < fields.size() && fields.get(index) instanceof String text ? text : "";
  }

  /** Returns whether an entry of type MAINTENANCE disables its endpoint. */
  boolean isDisabling() {
    return booleanField(STATEMENT_FIELD);
  }

  /** Returns whether an entry of type OUTAGE states a failure; if not, it states a recovery. */
  boolean isFailure() {
    return booleanField(STATEMENT_FIELD);
  }

  /** Returns the calls a second that an entry of type LIMIT or LEARNT states. */
  double callsPerSecond() {
    return doubleField(STATEMENT_FIELD);
  }

  /** Returns the list's version that an entry of type LIST states. */
  long listVersion() {
    return longField(STATEMENT_FIELD);
  }

  // ---------------------------------------------------------------- validation

  /**
   * Returns true if the entry can be meant: a wait of centuries or a rate of zero is a mistake, and
   * is ignored.
   */
  boolean isValid(final long nowUs) {
    if (!hasValidHead(nowUs) || !hasValidTexts()) {
      return false;
    }
    final EntryType type = EntryType.fromCode(typeCode);
    if (type == null) {
      // Of a later version: it is forwarded, but not kept for longer than the longest known.
      return ttlUs > 0 && ttlUs <= EntryType.WAIT.maxTtlUs();
    }
    return hasValidTtl(type) && hasValidContent(type);
  }

  private boolean hasValidHead(final long nowUs) {
    return writer.isValid()
        && !subject.isEmpty()
        && subject.length() <= MAX_SUBJECT_LENGTH
        && version > 0
        && version < VERSION_LIMIT
        && fields.size() <= MAX_FIELDS
        && createdUs <= nowUs
        && ttlUs >= 0;
  }

  private boolean hasValidTexts() {
    for (final Object field : fields) {
      if (field instanceof String text && text.length() > MAX_TEXT_LENGTH) {
        return false;
      }
    }
    return true;
  }

  private boolean hasValidTtl(final EntryType type) {
    return type.isPermanent() ? ttlUs == 0 : ttlUs > 0 && ttlUs <= type.maxTtlUs();
  }

  private boolean hasValidContent(final EntryType type) {
    return switch (type) {
      case MAINTENANCE -> hasBooleanFirst() && DisableEntry.fromEntry(this) != null;
      case OUTAGE -> isAboutDestination() && hasBooleanFirst();
      case LIMIT, LEARNT -> isAboutDestination() && isValidRate(callsPerSecond());
      case LIST -> !fields.isEmpty() && fields.get(0) instanceof Long;
      case WAIT -> isAboutDestination();
    };
  }

  private boolean hasBooleanFirst() {
    return !fields.isEmpty() && fields.get(0) instanceof Boolean;
  }

  /** Returns true if the subject is a destination's number. */
  private boolean isAboutDestination() {
    return subject.length() <= MAX_DESTINATION_DIGITS
        && subject.chars().allMatch(character -> character >= '0' && character <= '9');
  }

  private static boolean isValidRate(final double callsPerSecond) {
    return callsPerSecond > 0 && callsPerSecond <= MAX_CALLS_PER_SECOND;
  }
}
