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
import java.util.Map;

/**
 * JSON as trees, by the library's parser and generator alone. Its object mapper does the same and
 * more, but finds out how to map classes first, and that costs each start a tenth of a second of a
 * core.
 */
public final class Json {
  private static final JsonFactory FACTORY = new JsonFactory();
  private static final JsonNodeFactory NODE_FACTORY = JsonNodeFactory.instance;

  /** Nothing here is nested as deep: what is, is refused before it can fill the stack. */
  private static final int MAX_DEPTH = 64;

  private Json() {}

  /**
   * Reads one value; what stands behind it is not looked at. A missing node if there is none.
   *
   * @throws IOException if it is no JSON
   */
  public static JsonNode read(final byte[] bytes) throws IOException {
    try (JsonParser parser = FACTORY.createParser(bytes)) {
      return read(parser);
    }
  }

  /** The same, from a text. */
  public static JsonNode read(final String text) throws IOException {
    try (JsonParser parser = FACTORY.createParser(text)) {
      return read(parser);
    }
  }

  private static JsonNode read(final JsonParser parser) throws IOException {
    return parser.nextToken() == null ? MissingNode.getInstance() : readValue(parser, 0);
  }

  private static JsonNode readValue(final JsonParser parser, final int depth) throws IOException {
    if (depth > MAX_DEPTH) {
      throw new JsonParseException(parser, "nested over " + MAX_DEPTH + " deep");
    }
    switch (parser.currentToken()) {
      case START_OBJECT -> {
        final ObjectNode object = NODE_FACTORY.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
          final String name = parser.currentName();
          parser.nextToken();
          object.set(name, readValue(parser, depth + 1));
        }
        return object;
      }
      case START_ARRAY -> {
        final ArrayNode array = NODE_FACTORY.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
          array.add(readValue(parser, depth + 1));
        }
        return array;
      }
      case VALUE_STRING -> {
        return NODE_FACTORY.textNode(parser.getText());
      }
      case VALUE_NUMBER_INT -> {
        return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
            ? NODE_FACTORY.numberNode(parser.getBigIntegerValue())
            : NODE_FACTORY.numberNode(parser.getLongValue());
      }
      case VALUE_NUMBER_FLOAT -> {
        return NODE_FACTORY.numberNode(parser.getDoubleValue());
      }
      case VALUE_TRUE -> {
        return NODE_FACTORY.booleanNode(true);
      }
      case VALUE_FALSE -> {
        return NODE_FACTORY.booleanNode(false);
      }
      default -> {
        return NODE_FACTORY.nullNode();
      }
    }
  }

  /** A tree as text, on one line. */
  public static String toText(final JsonNode node) {
    final StringWriter text = new StringWriter();
    try (JsonGenerator to = FACTORY.createGenerator(text)) {
      write(node, to);
    } catch (final IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
    return text.toString();
  }

  private static void write(final JsonNode node, final JsonGenerator to) throws IOException {
    if (node.isObject()) {
      to.writeStartObject();
      for (final Map.Entry<String, JsonNode> entry : node.properties()) {
        to.writeFieldName(entry.getKey());
        write(entry.getValue(), to);
      }
      to.writeEndObject();
    } else if (node.isArray()) {
      to.writeStartArray();
      for (final JsonNode item : node) {
        write(item, to);
      }
      to.writeEndArray();
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
}
