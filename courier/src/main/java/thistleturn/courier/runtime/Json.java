package thistleturn.courier.runtime;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads and writes JSON trees with Jackson's parser and generator only. Its object mapper first
 * determines how to map classes, which costs a tenth of a second of processor time at each start.
 */
public final class Json {
  private static final JsonFactory FACTORY = new JsonFactory();
  private static final JsonNodeFactory NODE_FACTORY = JsonNodeFactory.instance;

  /** Deeper values are rejected before they can overflow the stack; no valid input is that deep. */
  private static final int MAX_DEPTH = 64;

  private Json() {}

  /**
   * Reads one value and ignores what follows it.
   *
   * @return the value, or a missing node if there is none
   * @throws IOException if it is not valid JSON
   */
  public static JsonNode read(final byte[] bytes) throws IOException {
    try (JsonParser parser = FACTORY.createParser(bytes)) {
      return read(parser);
    }
  }

  /** Reads one value from a text, like {@link #read(byte[])}. */
  public static JsonNode read(final String text) throws IOException {
    try (JsonParser parser = FACTORY.createParser(text)) {
      return read(parser);
    }
  }

  private static JsonNode read(final JsonParser parser) throws IOException {
    return parser.nextToken() == null ? MissingNode.getInstance() : readValue(parser, 0);
  }

  /**
   * The elements of an array as far as it can be read.
   *
   * @param isComplete whether the end of the array was read
   */
  public record ArrayPrefix(List<JsonNode> elements, boolean isComplete) {}

  /** Reads the elements of an array until it ends or cannot be read any further. */
  public static ArrayPrefix readArrayPrefix(final byte[] bytes) {
    final List<JsonNode> elements = new ArrayList<>();
    try (JsonParser parser = FACTORY.createParser(bytes)) {
      if (parser.nextToken() != JsonToken.START_ARRAY) {
        return new ArrayPrefix(elements, false);
      }
      while (parser.nextToken() != JsonToken.END_ARRAY) {
        elements.add(readValue(parser, 1));
      }
      return new ArrayPrefix(elements, true);
    } catch (final IOException e) {
      return new ArrayPrefix(elements, false);
    }
  }

  private static JsonNode readValue(final JsonParser parser, final int depth) throws IOException {
    if (depth > MAX_DEPTH) {
      throw new JsonParseException(parser, "nested more than " + MAX_DEPTH + " levels deep");
    }
    return switch (parser.currentToken()) {
      case START_OBJECT -> readObject(parser, depth);
      case START_ARRAY -> readArray(parser, depth);
      case VALUE_STRING -> NODE_FACTORY.textNode(parser.getText());
      case VALUE_NUMBER_INT -> readInteger(parser);
      case VALUE_NUMBER_FLOAT -> NODE_FACTORY.numberNode(parser.getDoubleValue());
      case VALUE_TRUE -> NODE_FACTORY.booleanNode(true);
      case VALUE_FALSE -> NODE_FACTORY.booleanNode(false);
      default -> NODE_FACTORY.nullNode();
    };
  }

  private static ObjectNode readObject(final JsonParser parser, final int depth)
      throws IOException {
    final ObjectNode object = NODE_FACTORY.objectNode();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      final String name = parser.currentName();
      parser.nextToken();
      object.set(name, readValue(parser, depth + 1));
    }
    return object;
  }

  private static ArrayNode readArray(final JsonParser parser, final int depth) throws IOException {
    final ArrayNode array = NODE_FACTORY.arrayNode();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      array.add(readValue(parser, depth + 1));
    }
    return array;
  }

  private static JsonNode readInteger(final JsonParser parser) throws IOException {
    return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
        ? NODE_FACTORY.numberNode(parser.getBigIntegerValue())
        : NODE_FACTORY.numberNode(parser.getLongValue());
  }

  /** Returns a tree as text on one line. */
  public static String toText(final JsonNode node) {
    final StringWriter text = new StringWriter();
    try (JsonGenerator generator = FACTORY.createGenerator(text)) {
      write(node, generator);
    } catch (final IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
    return text.toString();
  }

  private static void write(final JsonNode node, final JsonGenerator to) throws IOException {
    if (node.isObject()) {
      writeObject(node, to);
    } else if (node.isArray()) {
      writeArray(node, to);
    } else if (node.isTextual()) {
      to.writeString(node.textValue());
    } else if (node.isBinary()) {
      to.writeBinary(node.binaryValue());
    } else if (node.isIntegralNumber()) {
      to.writeNumber(node.bigIntegerValue());
    } else if (node.isNumber()) {
      to.writeNumber(node.doubleValue());
    } else if (node.isBoolean()) {
      to.writeBoolean(node.booleanValue());
    } else {
      to.writeNull();
    }
  }

  private static void writeObject(final JsonNode object, final JsonGenerator to)
      throws IOException {
    to.writeStartObject();
    for (final Map.Entry<String, JsonNode> member : object.properties()) {
      to.writeFieldName(member.getKey());
      write(member.getValue(), to);
    }
    to.writeEndObject();
  }

  private static void writeArray(final JsonNode array, final JsonGenerator to) throws IOException {
    to.writeStartArray();
    for (final JsonNode item : array) {
      write(item, to);
    }
    to.writeEndArray();
  }
}
