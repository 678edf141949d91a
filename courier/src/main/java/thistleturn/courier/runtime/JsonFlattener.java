package thistleturn.courier.runtime;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/**
 * Flattens JSON to a map from paths to texts, with the paths by which the simulator's lines name
 * settings: member names are joined by dots, values of a plain array by commas; an object in an
 * array has its index in the path, and {@code count} holds their number.
 */
final class JsonFlattener {
  private JsonFlattener() {}

  /** Adds the value at a path; the root's path is empty. */
  static void flatten(final String path, final JsonNode value, final Map<String, String> into) {
    if (value.isObject()) {
      value
          .properties()
          .forEach(entry -> flatten(prefix(path) + entry.getKey(), entry.getValue(), into));
    } else if (value.isArray() && !value.isEmpty() && value.get(0).isObject()) {
      into.put(prefix(path) + "count", Integer.toString(value.size()));
      for (int index = 0; index < value.size(); index++) {
        flatten(prefix(path) + index, value.get(index), into);
      }
    } else if (value.isArray()) {
      into.put(path, joined(value));
    } else if (value.isValueNode() && !value.isNull()) {
      into.put(path, text(value));
    }
  }

  private static String prefix(final String path) {
    return path.isEmpty() ? "" : path + ".";
  }

  private static String joined(final JsonNode array) {
    final StringBuilder texts = new StringBuilder();
    array.forEach(item -> texts.append(texts.isEmpty() ? "" : ",").append(item.asText()));
    return texts.toString();
  }

  /** Returns a value's text, with an integral number in plain form: 1e3 becomes 1000. */
  private static String text(final JsonNode value) {
    return value.isNumber() && value.canConvertToExactIntegral()
        ? value.bigIntegerValue().toString()
        : value.asText();
  }
}
