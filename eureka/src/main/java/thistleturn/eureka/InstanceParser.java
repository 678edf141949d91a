package thistleturn.eureka;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;

/** Parses the text of one instance. Nesting and lengths are bounded; unknown fields are skipped. */
final class InstanceParser {
  static final JsonFactory FACTORY =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxNestingDepth(24)
                  .maxStringLength(1 << 16)
                  .maxNameLength(1024)
                  .maxNumberLength(40)
                  .build())
          .build();

  private final MetadataNames names;

  /** The fields found so far in the instance that is being parsed. */
  private Fields fields = new Fields();

  private static final class Fields {
    private String app = "";
    private String id = "";
    private String host = "";
    private String status = "";
    private String overridden = "";
    private String address = "";
    private int port = -1;
    private boolean portEnabled = true;
    private long dirtyMs;
    private String action = "";
    private String destination = "";
    private String kind = "";
    private String zone = "";
    private String rate = "";

    private EurekaInstance toInstance() {
      final String effectiveId = id.isEmpty() ? host : id;
      return new EurekaInstance(
          app,
          effectiveId,
          app + "/" + effectiveId,
          status,
          overridden,
          address,
          port,
          portEnabled,
          dirtyMs,
          action,
          destination,
          kind,
          zone,
          rate);
    }
  }

  InstanceParser(final MetadataNames names) {
    this.names = names;
  }

  /**
   * Parses an instance.
   *
   * @throws IOException if the text is not a JSON object
   */
  EurekaInstance parse(final byte[] bytes, final int from, final int length) throws IOException {
    fields = new Fields();
    try (JsonParser parser = FACTORY.createParser(bytes, from, length)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new IOException("an instance is not a JSON object");
      }
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        final String name = parser.currentName();
        final JsonToken value = parser.nextToken();
        if (value == JsonToken.START_OBJECT && name.equals("port")) {
          parseSection(parser, this::parsePortField);
        } else if (value == JsonToken.START_OBJECT && name.equals("metadata")) {
          parseSection(parser, this::parseMetadataField);
        } else if (value.isStructStart()) {
          parser.skipChildren();
        } else {
          parseField(parser, name);
        }
      }
    }
    return fields.toInstance();
  }

  @FunctionalInterface
  private interface FieldParser {
    void parse(JsonParser parser, String name) throws IOException;
  }

  private static void parseSection(final JsonParser parser, final FieldParser fieldParser)
      throws IOException {
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      final String name = parser.currentName();
      if (parser.nextToken().isStructStart()) {
        parser.skipChildren();
      } else {
        fieldParser.parse(parser, name);
      }
    }
  }

  private void parseField(final JsonParser parser, final String name) throws IOException {
    switch (name) {
      case "app" -> fields.app = parser.getText();
      case "instanceId" -> fields.id = parser.getText();
      case "hostName" -> fields.host = parser.getText();
      case "status" -> fields.status = parser.getText();
      case "overriddenstatus", "overriddenStatus" -> fields.overridden = parser.getText();
      case "ipAddr" -> fields.address = parser.getText();
      case "lastDirtyTimestamp" -> fields.dirtyMs = parseUnsigned(parser.getText());
      case "actionType" -> fields.action = parser.getText();
      // Older registries write the port as a plain number.
      case "port" -> fields.port = parsePort(parser.getText());
      default -> {}
    }
  }

  private void parsePortField(final JsonParser parser, final String name) throws IOException {
    if (name.equals("$")) {
      fields.port = parsePort(parser.getText());
    } else if (name.equals("@enabled")) {
      fields.portEnabled = parser.getText().equals("true");
    }
  }

  private void parseMetadataField(final JsonParser parser, final String name) throws IOException {
    if (name.equals(names.destination())) {
      fields.destination = parser.getText();
    } else if (name.equals(names.kind())) {
      fields.kind = parser.getText();
    } else if (name.equals(names.zone())) {
      fields.zone = parser.getText();
    } else if (name.equals(names.rate())) {
      fields.rate = parser.getText();
    }
  }

  private static int parsePort(final String text) {
    return (int) Math.min(parseUnsigned(text), Integer.MAX_VALUE);
  }

  /** Parses a non-negative integer; returns -1 for any other text. */
  static long parseUnsigned(final String text) {
    try {
      return Math.max(-1, Long.parseLong(text));
    } catch (final NumberFormatException e) {
      return -1;
    }
  }
}
