package thistleturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Formats fields of an admin page's JSON objects as table cells. */
final class JsonFields {
  /** The cell of a value that is absent or does not apply. */
  static final String NONE = "-";

  private JsonFields() {}

  /** A field as it is; empty if it is absent. */
  static String text(final JsonNode object, final String field) {
    return object.path(field).asText();
  }

  /** A numeric field in a {@link String#format} format; 0 if it is absent. */
  static String decimal(final JsonNode object, final String field, final String format) {
    return String.format(Locale.ROOT, format, object.path(field).asDouble());
  }

  /** A numeric field in a {@link String#format} format, or {@code absent} if it is absent. */
  static String decimalOr(
      final String absent, final JsonNode object, final String field, final String format) {
    return object.has(field) ? decimal(object, field, format) : absent;
  }

  /** The elements of an array field; empty if it is absent. */
  static List<String> texts(final JsonNode object, final String field) {
    final List<String> texts = new ArrayList<>();
    object.path(field).forEach(element -> texts.add(element.asText()));
    return texts;
  }

  /** The elements of an array field, separated by spaces. */
  static String joined(final JsonNode object, final String field) {
    return String.join(" ", texts(object, field));
  }
}
