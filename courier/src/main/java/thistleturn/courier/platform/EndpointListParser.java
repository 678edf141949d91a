package thistleturn.courier.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import thistleturn.courier.port.EndpointDirectory.Entry;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.decisions.model.EndpointState;

/** Parses endpoint lists in the format of the discovery service and of the configuration. */
final class EndpointListParser {
  private EndpointListParser() {}

  /**
   * Parses the entries of a list.
   *
   * @throws IllegalArgumentException if one of them is invalid
   */
  static List<Entry> parseEntries(final JsonNode list) {
    final List<Entry> entries = new ArrayList<>();
    for (final JsonNode node : list.path("hosts")) {
      entries.add(parseEntry(node));
    }
    return entries;
  }

  private static Entry parseEntry(final JsonNode node) {
    final String name = node.path("host").asText();
    if (name.isEmpty() || !node.path("block").canConvertToLong()) {
      throw new IllegalArgumentException("endpoint list entry without host or block: " + node);
    }
    return new Entry(
        name,
        parseState(node),
        CourierConfig.parseAddress("dial", node.path("dial").asText()),
        node.path("site").asText(),
        node.path("share").asDouble(0),
        node.path("class").asText(),
        node.path("block").asLong());
  }

  private static EndpointState parseState(final JsonNode node) {
    return switch (node.path("health").asText()) {
      case "Ready" -> EndpointState.LISTED;
      case "Terminating" -> EndpointState.DRAINING;
      case "Gone" -> EndpointState.GONE;
      default ->
          throw new IllegalArgumentException("endpoint list entry with unknown health: " + node);
    };
  }
}
