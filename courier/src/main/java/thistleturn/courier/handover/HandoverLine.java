package thistleturn.courier.handover;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import thistleturn.courier.runtime.Json;

/**
 * One line of the handover protocol: a JSON object whose field {@value #TYPE_FIELD} names its type.
 * Each record that implements this both writes and reads its own line.
 */
interface HandoverLine {
  /** The field with the type of a line. */
  String TYPE_FIELD = "t";

  /** Returns the line as the JSON object that is sent or stored. */
  ObjectNode toJson();

  /** Returns the line as text, without a line break. */
  default String toText() {
    return Json.toText(toJson());
  }

  /** Returns the type of a line; empty if the line has none. */
  static String typeOf(final JsonNode line) {
    return line.path(TYPE_FIELD).asText();
  }

  /** Returns a new object of this type without any other field. */
  static ObjectNode ofType(final String type) {
    return JsonNodeFactory.instance.objectNode().put(TYPE_FIELD, type);
  }

  /** Returns numbers as texts, since JSON has no number for infinity. */
  static ArrayNode doublesToTexts(final double[] values) {
    final ArrayNode texts = JsonNodeFactory.instance.arrayNode();
    Arrays.stream(values).forEach(value -> texts.add(Double.toString(value)));
    return texts;
  }

  /** Reverses {@link #doublesToTexts}. */
  static double[] doublesFromTexts(final JsonNode texts) {
    final double[] values = new double[texts.size()];
    Arrays.setAll(values, index -> Double.parseDouble(texts.get(index).asText()));
    return values;
  }

  /** Returns an array of integers. */
  static ArrayNode longsToArray(final long[] values) {
    final ArrayNode numbers = JsonNodeFactory.instance.arrayNode();
    Arrays.stream(values).forEach(numbers::add);
    return numbers;
  }

  /** Reverses {@link #longsToArray}. */
  static long[] longsFromArray(final JsonNode numbers) {
    final long[] values = new long[numbers.size()];
    Arrays.setAll(values, index -> numbers.get(index).asLong());
    return values;
  }

  /** Returns an array of texts. */
  static ArrayNode textsToArray(final List<String> values) {
    final ArrayNode texts = JsonNodeFactory.instance.arrayNode();
    values.forEach(texts::add);
    return texts;
  }

  /** Reverses {@link #textsToArray}. */
  static List<String> textsFromArray(final JsonNode texts) {
    final List<String> values = new ArrayList<>();
    texts.forEach(text -> values.add(text.asText()));
    return values;
  }
}
