package thistleturn.cli.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads one table of the settings file strictly: a value of the wrong type or outside its bounds is
 * an error, and so is every key that was not read before {@link #rejectUnknownKeys}. Each error is
 * one line that names the file, the key, the value and what was expected.
 */
final class StrictTable {
  private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m|h)");
  private static final Pattern SIZE = Pattern.compile("(\\d{1,9})(B|KiB|MiB)");

  private static final long US_PER_MS = 1000;
  private static final long US_PER_SECOND = 1000 * US_PER_MS;
  private static final long US_PER_MINUTE = 60 * US_PER_SECOND;
  private static final long US_PER_HOUR = 60 * US_PER_MINUTE;

  /** Below every minimum, so that a text that cannot be parsed is out of bounds. */
  private static final long INVALID = -1;

  private final String file;
  private final String path;
  private final JsonNode table;
  private final Set<String> knownKeys = new TreeSet<>();

  StrictTable(final String file, final String path, final JsonNode table) {
    this.file = file;
    this.path = path;
    this.table = table;
  }

  private String qualified(final String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  /** The error for a value that cannot be used. */
  InvalidSettingException invalid(final String key, final Object value, final String expected) {
    return new InvalidSettingException(
        file + ": " + qualified(key) + " = " + value + ": expected " + expected);
  }

  /** Formats a string for an error message. */
  static String quoted(final String text) {
    return '"' + text + '"';
  }

  /** Formats a duration for an error message. */
  static String milliseconds(final long durationUs) {
    return durationUs / US_PER_MS + "ms";
  }

  private JsonNode get(final String key) {
    knownKeys.add(key);
    return table.path(key);
  }

  /** Reads a subtable; an empty one if it is absent. */
  StrictTable table(final String key) {
    final JsonNode value = get(key);
    if (!value.isMissingNode() && !value.isObject()) {
      throw invalid(key, value, "a table");
    }
    return new StrictTable(file, qualified(key), value);
  }

  /** Reads an array of tables; an empty list if it is absent. */
  List<StrictTable> tables(final String key) {
    final JsonNode value = get(key);
    if (!value.isMissingNode() && !value.isArray()) {
      throw invalid(key, value, "a list of tables, each under [[" + qualified(key) + "]]");
    }
    final List<StrictTable> tables = new ArrayList<>();
    for (final JsonNode item : value) {
      if (!item.isObject()) {
        throw invalid(key, value, "a list of tables, each under [[" + qualified(key) + "]]");
      }
      tables.add(new StrictTable(file, qualified(key) + "[" + tables.size() + "]", item));
    }
    return tables;
  }

  /** Reads a boolean. */
  boolean flag(final String key, final boolean defaultValue) {
    final JsonNode value = get(key);
    if (value.isMissingNode()) {
      return defaultValue;
    }
    if (!value.isBoolean()) {
      throw invalid(key, value, "true or false");
    }
    return value.booleanValue();
  }

  /** Reads a string that is not blank; it is required if {@code defaultValue} is null. */
  String text(final String key, final String defaultValue) {
    final JsonNode value = get(key);
    if (value.isMissingNode() && defaultValue != null) {
      return defaultValue;
    }
    if (!value.isTextual() || value.textValue().isBlank()) {
      throw invalid(key, value.isMissingNode() ? "(absent)" : value, "a text");
    }
    return value.textValue();
  }

  /** Reads an array of strings that are not blank; an empty list if it is absent. */
  List<String> texts(final String key, final boolean required) {
    final JsonNode value = get(key);
    final List<String> texts = new ArrayList<>();
    if (value.isMissingNode() && !required) {
      return texts;
    }
    for (final JsonNode item : value) {
      if (item.isTextual() && !item.textValue().isBlank()) {
        texts.add(item.textValue());
      }
    }
    if (!value.isArray() || texts.size() != value.size() || (required && texts.isEmpty())) {
      throw invalid(
          key,
          value.isMissingNode() ? "(absent)" : value,
          "a list of texts" + (required ? ", at least one" : ""));
    }
    return texts;
  }

  /** Reads an integer from {@code min} to {@code max}. */
  int integer(final String key, final int defaultValue, final int min, final int max) {
    final JsonNode value = get(key);
    if (value.isMissingNode()) {
      return defaultValue;
    }
    if (!value.isIntegralNumber() || value.longValue() < min || value.longValue() > max) {
      throw invalid(key, value, "a whole number from " + min + " to " + max);
    }
    return value.intValue();
  }

  /** Reads a fraction, at least 0 and below 1. */
  double fraction(final String key, final double defaultValue) {
    final JsonNode value = get(key);
    if (value.isMissingNode()) {
      return defaultValue;
    }
    if (!value.isNumber() || value.doubleValue() < 0 || value.doubleValue() >= 1) {
      throw invalid(key, value, "a share from 0 to below 1, such as 0.15");
    }
    return value.doubleValue();
  }

  /** Reads a duration with a unit, in microseconds. */
  long durationUs(final String key, final String defaultValue, final String min, final String max) {
    final JsonNode value = get(key);
    final String text = value.isMissingNode() ? defaultValue : value.asText();
    final long durationUs = durationUs(text);
    if (durationUs < durationUs(min) || durationUs > durationUs(max)) {
      throw invalid(
          key,
          value,
          "a duration from \""
              + min
              + "\" to \""
              + max
              + "\", such as \""
              + defaultValue
              + "\" (units: ms, s, m, h)");
    }
    return durationUs;
  }

  private static long durationUs(final String text) {
    final Matcher matcher = DURATION.matcher(text);
    if (!matcher.matches()) {
      return INVALID;
    }
    final long unitUs =
        switch (matcher.group(2)) {
          case "ms" -> US_PER_MS;
          case "s" -> US_PER_SECOND;
          case "m" -> US_PER_MINUTE;
          default -> US_PER_HOUR;
        };
    return Long.parseLong(matcher.group(1)) * unitUs;
  }

  /** Reads a size with a unit, in bytes. */
  long bytes(final String key, final String defaultValue, final String min, final String max) {
    final JsonNode value = get(key);
    final String text = value.isMissingNode() ? defaultValue : value.asText();
    final long bytes = bytes(text);
    if (bytes < bytes(min) || bytes > bytes(max)) {
      throw invalid(
          key,
          value,
          "a size from \""
              + min
              + "\" to \""
              + max
              + "\", such as \""
              + defaultValue
              + "\" (units: B, KiB, MiB)");
    }
    return bytes;
  }

  private static long bytes(final String text) {
    final Matcher matcher = SIZE.matcher(text);
    if (!matcher.matches()) {
      return INVALID;
    }
    final long unit =
        switch (matcher.group(2)) {
          case "B" -> 1L;
          case "KiB" -> 1L << 10;
          default -> 1L << 20;
        };
    return Long.parseLong(matcher.group(1)) * unit;
  }

  /** Fails on the first key that was never read. */
  void rejectUnknownKeys() {
    for (final Iterator<String> names = table.fieldNames(); names.hasNext(); ) {
      final String key = names.next();
      if (!knownKeys.contains(key)) {
        throw new InvalidSettingException(
            file
                + ": "
                + qualified(key)
                + " = "
                + table.get(key)
                + ": unknown key; expected one of "
                + String.join(", ", knownKeys));
      }
    }
  }
}
