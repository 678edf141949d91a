package thistleturn.eureka;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;

/**
 * Reads one instance's text. Nesting and lengths are bounded; what is not asked for is passed over.
 */
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
  private String app;
  private String id;
  private String host;
  private String status;
  private String overridden;
  private String address;
  private int port;
  private boolean portEnabled;
  private long dirtyMs;
  private String action;
  private String destination;
  private String kind;
  private String zone;
  private String rate;

  InstanceParser(final MetadataNames names) {
    this.names = names;
  }

  EurekaInstance parse(final byte[] bytes, final int from, final int length) throws IOException {
    app = "";
    id = "";
    host = "";
    status = "";
    overridden = "";
    address = "";
    port = -1;
    portEnabled = true;
    dirtyMs = 0;
    action = "";
    destination = "";
    kind = "";
    zone = "";
    rate = "";
    try (JsonParser parser = FACTORY.createParser(bytes, from, length)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new IOException("an instance is no object");
      }
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        final String name = parser.currentName();
        final JsonToken value = parser.nextToken();
        if (value == JsonToken.START_OBJECT && (name.equals("port") || name.equals("metadata"))) {
          section(parser, name.equals("port"));
        } else if (value.isStructStart()) {
          parser.skipChildren();
        } else {
          own(parser, name);
        }
      }
    }
    final String own = id.isEmpty() ? host : id;
    return new EurekaInstance(
        app,
        own,
        app + "/" + own,
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

  private void section(final JsonParser parser, final boolean isPort) throws IOException {
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      final String name = parser.currentName();
      if (parser.nextToken().isStructStart()) {
        parser.skipChildren();
      } else if (isPort) {
        port(parser, name);
      } else {
        metadata(parser, name);
      }
    }
  }

  private void own(final JsonParser parser, final String name) throws IOException {
    switch (name) {
      case "app" -> app = parser.getText();
      case "instanceId" -> id = parser.getText();
      case "hostName" -> host = parser.getText();
      case "status" -> status = parser.getText();
      case "overriddenstatus", "overriddenStatus" -> overridden = parser.getText();
      case "ipAddr" -> address = parser.getText();
      case "lastDirtyTimestamp" -> dirtyMs = whole(parser.getText());
      case "actionType" -> action = parser.getText();
      // An older spelling: the port as a plain number.
      case "port" -> port = (int) Math.min(whole(parser.getText()), Integer.MAX_VALUE);
      default -> {}
    }
  }

  private void port(final JsonParser parser, final String name) throws IOException {
    if (name.equals("$")) {
      port = (int) Math.min(whole(parser.getText()), Integer.MAX_VALUE);
    } else if (name.equals("@enabled")) {
      portEnabled = parser.getText().equals("true");
    }
  }

  private void metadata(final JsonParser parser, final String name) throws IOException {
    if (name.equals(names.destination())) {
      destination = parser.getText();
    } else if (name.equals(names.kind())) {
      kind = parser.getText();
    } else if (name.equals(names.zone())) {
      zone = parser.getText();
    } else if (name.equals(names.rate())) {
      rate = parser.getText();
    }
  }

  /** A whole number that is not negative, or -1. */
  static long whole(final String text) {
    try {
      return Math.max(-1, Long.parseLong(text));
    } catch (final NumberFormatException e) {
      return -1;
    }
  }
}
