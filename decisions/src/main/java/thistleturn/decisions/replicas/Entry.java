package thistleturn.decisions.replicas;

import java.util.List;

/**
 * One writer's statement on one subject. Of two entries of the same writer the one with the higher
 * version counts. Copies of an entry differ only in their creation time, which is too late by the
 * time that the copy took to arrive.
 *
 * @param typeCode the code of its {@link EntryType}, which may be one of a later version
 * @param subject an endpoint's name, or a destination's number
 * @param writer the id of its writer
 * @param version the number of the entry among those of its writer, from 1
 * @param ttlUs how long it is valid; 0: until superseded
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

  /** Versions are below this, so that they are exact as double-precision numbers. */
  static final long VERSION_LIMIT = 1L << 53;

  /** The field with the value of an entry, in all known types except WAIT. */
  private static final int VALUE_FIELD = 0;

  private static final int MAX_DESTINATION_DIGITS = 18;
  private static final double MAX_CALLS_PER_SECOND = 1_000_000;
  private static final int FIXED_BYTES = 40;
  private static final int NUMBER_BYTES = 9;
  private static final int TEXT_HEAD_BYTES = 2;

  /** Returns when it expires; {@link Long#MAX_VALUE}: never. */
  public long expiresUs() {
    return ttlUs == 0 ? Long.MAX_VALUE : createdUs + ttlUs;
  }

  /** Returns the same entry with another creation time. */
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
    return booleanField(VALUE_FIELD);
  }

  /** Returns whether an entry of type OUTAGE reports an outage; otherwise it reports a recovery. */
  boolean isFailure() {
    return booleanField(VALUE_FIELD);
  }

  /** Returns the calls per second of an entry of type LIMIT or LEARNT. */
  double callsPerSecond() {
    return doubleField(VALUE_FIELD);
  }

  /** Returns the list version of an entry of type LIST. */
  long listVersion() {
    return longField(VALUE_FIELD);
  }

  // ---------------------------------------------------------------- validation

  /**
   * Returns true if the entry is plausible. Others are rejected, for example a wait of centuries or
   * a rate of zero.
   */
  boolean isValid(final long nowUs) {
    if (!hasValidHeader(nowUs) || !hasValidTexts()) {
      return false;
    }
    final EntryType type = EntryType.fromCode(typeCode);
    if (type == null) {
      // A type of a later version is forwarded, but not kept longer than the longest known type.
      return ttlUs > 0 && ttlUs <= EntryType.WAIT.maxTtlUs();
    }
    return hasValidTtl(type) && hasValidContent(type);
  }

  private boolean hasValidHeader(final long nowUs) {
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
