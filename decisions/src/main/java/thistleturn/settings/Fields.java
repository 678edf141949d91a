package thistleturn.settings;

import java.util.HashMap;
import java.util.Map;

/**
 * Named values of one line, or of a settings file. An absent value reads as the default that the
 * caller passes; unused values are ignored. Values that cannot be parsed cause a {@link
 * MalformedLineException} that names the source.
 */
public final class Fields {
  private static final char FIELD_SEPARATOR = '\t';
  private static final char NAME_SEPARATOR = '=';
  private static final String LIST_SEPARATOR = ",";

  private final String tag;
  private final Map<String, String> values;
  private final String source;

  private Fields(final String tag, final Map<String, String> values, final String source) {
    this.tag = tag;
    this.values = values;
    this.source = source;
  }

  /**
   * Returns values that do not come from a line.
   *
   * @param source where they come from, for messages about malformed ones
   */
  public static Fields of(final Map<String, String> values, final String source) {
    return new Fields(source, values, source);
  }

  /**
   * Parses a line: a tag, and fields of the form {@code name=value}, separated by tabs.
   *
   * @param lineNumber the number of the line, for messages about malformed values
   */
  public static Fields parse(final String line, final long lineNumber) {
    final String source = "line " + lineNumber;
    final Map<String, String> values = new HashMap<>();
    int end = line.indexOf(FIELD_SEPARATOR);
    final String tag = end < 0 ? line : line.substring(0, end);
    while (end >= 0) {
      final int start = end + 1;
      end = line.indexOf(FIELD_SEPARATOR, start);
      putField(line, start, end < 0 ? line.length() : end, values, source);
    }
    return new Fields(tag, values, source);
  }

  private static void putField(
      final String line,
      final int start,
      final int end,
      final Map<String, String> values,
      final String source) {
    final int separator = line.indexOf(NAME_SEPARATOR, start);
    if (separator < 0 || separator >= end) {
      throw new MalformedLineException(source, "no '=' in '" + line.substring(start, end) + "'");
    }
    values.put(line.substring(start, separator), line.substring(separator + 1, end));
  }

  /** Returns the tag of the line, or the source of values that do not come from a line. */
  public String tag() {
    return tag;
  }

  /** Returns the value as text, or {@code defaultValue} if it is absent. */
  public String text(final String name, final String defaultValue) {
    return values.getOrDefault(name, defaultValue);
  }

  /** Returns the value as text; throws if it is absent. */
  public String text(final String name) {
    final String value = values.get(name);
    if (value == null) {
      throw malformed("'" + tag + "' lacks '" + name + "'");
    }
    return value;
  }

  /** Returns the value as an integer, or {@code defaultValue} if it is absent. */
  public long integer(final String name, final long defaultValue) {
    final String value = values.get(name);
    if (value == null) {
      return defaultValue;
    }
    try {
      return Long.parseLong(value);
    } catch (final NumberFormatException e) {
      throw malformed("'" + name + "' is no whole number: '" + value + "'", e);
    }
  }

  /** Returns the value as an integer; throws if it is absent. */
  public long integer(final String name) {
    text(name);
    return integer(name, 0);
  }

  /** Returns the value as a decimal number, or {@code defaultValue} if it is absent. */
  public double decimal(final String name, final double defaultValue) {
    final String value = values.get(name);
    return value == null ? defaultValue : decimal(value);
  }

  /** Parses a decimal number that is part of a value. */
  public double decimal(final String value) {
    try {
      return Double.parseDouble(value);
    } catch (final NumberFormatException e) {
      throw malformed("not a number: '" + value + "'", e);
    }
  }

  /** Returns the value as a flag: true for {@code 1} or {@code true}, false if it is absent. */
  public boolean flag(final String name) {
    final String value = values.getOrDefault(name, "0");
    return value.equals("1") || value.equals("true");
  }

  /** Returns the value as a comma-separated list; an empty list if it is absent or empty. */
  public String[] list(final String name) {
    final String value = values.getOrDefault(name, "");
    return value.isEmpty() ? new String[0] : value.split(LIST_SEPARATOR, -1);
  }

  /** Returns the exception to throw for an invalid value. */
  public MalformedLineException malformed(final String problem) {
    return new MalformedLineException(source, problem);
  }

  private MalformedLineException malformed(final String problem, final Throwable cause) {
    return new MalformedLineException(source, problem, cause);
  }
}
