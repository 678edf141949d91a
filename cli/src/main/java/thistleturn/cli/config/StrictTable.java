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
 * One table of the product's file, read strictly: whatever is in it must be asked for, in the form
 * that is asked for and within its bounds. Each complaint is one line that names file, key, value
 * and what was expected.
 */
final class StrictTable {
  private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m|h)");
  private static final Pattern SIZE = Pattern.compile("(\\d{1,9})(B|KiB|MiB)");

  private final String file;
  private final String path;
  private final JsonNode table;
  private final Set<String> known = new TreeSet<>();

  StrictTable(final String file, final String path, final JsonNode table) {
    this.file = file;
    this.path = path;
    this.table = table;
  }

  private String name(final String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  /** What is said of a value that cannot be used. */
  IllegalArgumentException wrong(final String key, final Object value, final String expected) {
    return new IllegalArgumentException(
        file + ": " + name(key) + " = " + value + ": expected " + expected);
  }

  private JsonNode get(final String key) {
    known.add(key);
    return table.path(key);
  }

  /** A table in this one; an empty one if it is absent. */
  StrictTable table(final String key) {
    final JsonNode value = get(key);
    if (!value.isMissingNode() && !value.isObject()) {
      throw wrong(key, value, "a table");
    }
    return new StrictTable(file, name(key), value);
  }

  /** A list of tables; an empty one if it is absent. */
  List<StrictTable> tables(final String key) {
    final JsonNode value = get(key);
    if (!value.isMissingNode() && !value.isArray()) {
      throw wrong(key, value, "a list of tables, each under [[" + name(key) + "]]");
    }
    final List<StrictTable> tables = new ArrayList<>();
    for (final JsonNode item : value) {
      if (!item.isObject()) {
        throw wrong(key, value, "a list of tables, each under [[" + name(key) + "]]");
      }
      tables.add(new StrictTable(file, name(key) + "[" + tables.size() + "]", item));
    }
    return tables;
  }

  /** True or false. */
  boolean flag(final String key, final boolean absent) {
    final JsonNode value = get(key);
    if (value.isMissingNode()) {
      return absent;
    }
    if (!value.isBoolean()) {
      throw wrong(key, value, "true or false");
    }
    return value.booleanValue();
  }

  /** A text that is not empty; null stands for one that must be there. */
  String text(final String key, final String absent) {
    final JsonNode value = get(key);
    if (value.isMissingNode() && absent != null) {
      return absent;
    }
    if (!value.isTextual() || value.textValue().isBlank()) {
      throw wrong(key, value.isMissingNode() ? "(absent)" : value, "a text");
    }
    return value.textValue();
  }

  /** Texts. */
  List<String> texts(final String key, final boolean needed) {
    final JsonNode value = get(key);
    final List<String> texts = new ArrayList<>();
    if (value.isMissingNode() && !needed) {
      return texts;
    }
    for (final JsonNode item : value) {
      if (item.isTextual() && !item.textValue().isBlank()) {
        texts.add(item.textValue());
      }
    }
    if (!value.isArray() || texts.size() != value.size() || (needed && texts.isEmpty())) {
      throw wrong(
          key,
          value.isMissingNode() ? "(absent)" : value,
          "a list of texts" + (needed ? ", at least one" : ""));
    }
    return texts;
  }

  /** A whole number within its bounds. */
  int whole(final String key, final int absent, final int least, final int most) {
    final JsonNode value = get(key);
    if (value.isMissingNode()) {
      return absent;
    }
    if (!value.isIntegralNumber() || value.longValue() < least || value.longValue() > most) {
      throw wrong(key, value, "a whole number from " + least + " to " + most);
    }
    return value.intValue();
  }

  /** A share, at least 0 and below 1. */
  double share(final String key, final double absent) {
    final JsonNode value = get(key);
    if (value.isMissingNode()) {
      return absent;
    }
    if (!value.isNumber() || value.doubleValue() < 0 || value.doubleValue() >= 1) {
      throw wrong(key, value, "a share from 0 to below 1, such as 0.15");
    }
    return value.doubleValue();
  }

  /** A duration with its unit, in microseconds. */
  long durationUs(final String key, final String absent, final String least, final String most) {
    final JsonNode value = get(key);
    final String text = value.isMissingNode() ? absent : value.isTextual() ? value.textValue() : "";
    final long us = durationUs(text);
    if (us < durationUs(least) || us > durationUs(most)) {
      throw wrong(
          key,
          value,
          "a duration from \""
              + least
              + "\" to \""
              + most
              + "\", such as \""
              + absent
              + "\" (units: ms, s, m, h)");
    }
    return us;
  }

  private static long durationUs(final String text) {
    final Matcher matcher = DURATION.matcher(text);
    if (!matcher.matches()) {
      return -1;
    }
    final long unitUs =
        switch (matcher.group(2)) {
          case "ms" -> 1000L;
          case "s" -> 1_000_000L;
          case "m" -> 60_000_000L;
          default -> 3_600_000_000L;
        };
    return Long.parseLong(matcher.group(1)) * unitUs;
  }

  /** A size with its unit, in bytes. */
  long bytes(final String key, final String absent, final String least, final String most) {
    final JsonNode value = get(key);
    final String text = value.isMissingNode() ? absent : value.isTextual() ? value.textValue() : "";
    final long bytes = bytes(text);
    if (bytes < bytes(least) || bytes > bytes(most)) {
      throw wrong(
          key,
          value,
          "a size from \""
              + least
              + "\" to \""
              + most
              + "\", such as \""
              + absent
              + "\" (units: B, KiB, MiB)");
    }
    return bytes;
  }

  private static long bytes(final String text) {
    final Matcher matcher = SIZE.matcher(text);
    if (!matcher.matches()) {
      return -1;
    }
    final long unit =
        switch (matcher.group(2)) {
          case "B" -> 1L;
          case "KiB" -> 1L << 10;
          default -> 1L << 20;
        };
    return Long.parseLong(matcher.group(1)) * unit;
  }

  /** Complains of the first key that nobody asked for. */
  void finish() {
    for (final Iterator<String> names = table.fieldNames(); names.hasNext(); ) {
      final String key = names.next();
      if (!known.contains(key)) {
        throw new IllegalArgumentException(
            file
                + ": "
                + name(key)
                + " = "
                + table.get(key)
                + ": unknown key; expected one of "
                + String.join(", ", known));
      }
    }
  }
}
