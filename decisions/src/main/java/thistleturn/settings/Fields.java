package thistleturn.settings;

import java.util.HashMap;
import java.util.Map;

/**
 * Values by name, of one line or of a file of settings. Absent ones read as their defaults; unknown
 * ones are never asked for.
 */
public final class Fields {
  private final String tag;
  private final Map<String, String> values;
  private final String source;

  private Fields(final String tag, final Map<String, String> values, final String source) {
    this.tag = tag;
    this.values = values;
    this.source = source;
  }

  /**
   * Values that come from elsewhere than the wire; {@code source} is named in what is said of a bad
   * one.
   */
  public static Fields of(final Map<String, String> values, final String source) {
    return new Fields(source, values, source);
  }

  /** Splits a line at its tabs; a part without {@code =} is malformed. */
  public static Fields parse(final String text, final long line) {
    int end = text.indexOf('\t');
    final String source = "line " + line;
    final String tag = end < 0 ? text : text.substring(0, end);
    final Map<String, String> values = new HashMap<>();
    while (end >= 0) {
      final int start = end + 1;
      end = text.indexOf('\t', start);
      final int stop = end < 0 ? text.length() : end;
      final int equals = text.indexOf('=', start);
      if (equals < 0 || equals >= stop) {
        throw new MalformedLineException(source, "no '=' in '" + text.substring(start, stop) + "'");
      }
      values.put(text.substring(start, equals), text.substring(equals + 1, stop));
    }
    return new Fields(tag, values, source);
  }

  public String tag() {
    return tag;
  }

  /** The value as text, or what stands for its absence. */
  public String text(final String name, final String absent) {
    return values.getOrDefault(name, absent);
  }

  /** The value as text; malformed without it. */
  public String text(final String name) {
    final String value = values.get(name);
    if (value == null) {
      throw malformed("'" + tag + "' lacks '" + name + "'");
    }
    return value;
  }

  /** The value as a whole number, or what stands for its absence. */
  public long integer(final String name, final long absent) {
    final String value = values.get(name);
    if (value == null) {
      return absent;
    }
    try {
      return Long.parseLong(value);
    } catch (final NumberFormatException e) {
      throw malformed("'" + name + "' is no whole number: '" + value + "'");
    }
  }

  /** The value as a whole number; malformed without it. */
  public long integer(final String name) {
    text(name);
    return integer(name, 0);
  }

  public double decimal(final String name, final double absent) {
    final String value = values.get(name);
    return value == null ? absent : decimal(value);
  }

  public double decimal(final String value) {
    try {
      return Double.parseDouble(value);
    } catch (final NumberFormatException e) {
      throw malformed("no number: '" + value + "'");
    }
  }

  public boolean flag(final String name) {
    final String value = values.getOrDefault(name, "0");
    return value.equals("1") || value.equals("true");
  }

  /** A list of plain values joined by commas; absent or empty is a list of none. */
  public String[] list(final String name) {
    final String value = values.getOrDefault(name, "");
    return value.isEmpty() ? new String[0] : value.split(",", -1);
  }

  /** What to throw at a value that cannot be used. */
  public MalformedLineException malformed(final String reason) {
    return new MalformedLineException(source, reason);
  }
}
