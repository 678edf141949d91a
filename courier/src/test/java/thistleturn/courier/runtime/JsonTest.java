package thistleturn.courier.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares reading and writing without Jackson's object mapper with the object mapper's results.
 */
final class JsonTest {
  private static final ObjectMapper REFERENCE_MAPPER = new ObjectMapper();

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"a\":[1,-2,9007199254740993,18446744073709551616],\"b\":{\"c\":null,\"d\":true}}",
        "[]",
        "{}",
        "\"\\u00e9\\n\\\"x\"",
        "1.5e300",
        "[[[],{}],false,0.1]"
      })
  void validText_matchesObjectMapper(final String text) throws IOException {
    final JsonNode tree = Json.read(text);
    assertEquals(REFERENCE_MAPPER.readTree(text).toString(), tree.toString());
    assertEquals(REFERENCE_MAPPER.readTree(text).toString(), Json.toText(tree));
    assertEquals(
        Json.toText(tree),
        Json.toText(Json.read(text.getBytes(java.nio.charset.StandardCharsets.UTF_8))));
  }

  @Test
  void binaryNode_isWrittenAsBase64() throws IOException {
    final JsonNode node = JsonNodeFactory.instance.objectNode().put("body", new byte[] {0, -1, 7});
    assertEquals(node.toString(), Json.toText(node));
  }

  @ParameterizedTest
  @ValueSource(strings = {"{", "[1,", "{\"a\"}", "nul", "\u0001"})
  void malformedText_isRejected(final String text) {
    assertThrows(IOException.class, () -> Json.read(text));
  }

  @Test
  void emptyText_isMissingNodeAndDepthIsBounded() throws IOException {
    assertTrue(Json.read("").isMissingNode());
    assertThrows(IOException.class, () -> Json.read("[".repeat(100_000)));
  }
}
