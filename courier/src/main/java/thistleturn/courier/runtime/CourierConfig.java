package thistleturn.courier.runtime;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.settings.Fields;
import thistleturn.settings.MalformedLineException;
import thistleturn.settings.SettingsReader;

/**
 * What a courier is told at its start: the file of the configuration, with the environment's word
 * on addresses and folders. Unknown keys are ignored; a value that cannot be read ends the start
 * with one line that names it.
 */
public record CourierConfig(
    String name,
    InetSocketAddress listenAddress,
    InetSocketAddress operatorAddress,
    InetSocketAddress discoveryAddress,
    Path stateFolder,
    long seed,
    int maxSockets,
    long diskBudgetBytes,
    JsonNode initialEndpointList,
    DeliverySettings settings,
    long connectTimeoutUs) {

  private static final int MAX_PORT = 65_535;
  private static final int HEX_RADIX = 16;
  private static final long BYTES_PER_MB = 1_000_000;
  private static final String SOURCE = "configuration";

  /** Reads the file that the environment names. */
  public static CourierConfig read(final Map<String, String> environment)
      throws ConfigurationException {
    final String file = environment.get("PROXY_CONFIG");
    if (file == null) {
      throw new ConfigurationException("PROXY_CONFIG is not set");
    }
    final JsonNode root;
    try {
      root = Json.read(Files.readAllBytes(Path.of(file)));
    } catch (final IOException e) {
      throw new ConfigurationException(
          "cannot read "
              + file
              + ": "
              + String.valueOf(e.getMessage()).lines().findFirst().orElse(""),
          e);
    }
    return parse(root, environment);
  }

  static CourierConfig parse(final JsonNode root, final Map<String, String> environment)
      throws ConfigurationException {
    if (root == null || !root.isObject()) {
      throw new ConfigurationException(SOURCE + ": not a JSON object");
    }
    // Two name spaces: "discovery" is an address outside the settings, and a way of asking inside
    // them.
    final Map<String, String> values = new HashMap<>();
    root.properties()
        .forEach(
            entry -> {
              if (!entry.getKey().equals("known") && !entry.getKey().equals("settings")) {
                flatten(entry.getKey(), entry.getValue(), values);
              }
            });
    final Map<String, String> settingValues = new HashMap<>();
    flatten("", root.path("settings"), settingValues);
    // On sockets nobody pushes: where the settings say so, too, changes come over a watch that the
    // courier has to open.
    settingValues.put("discovery", "on_request");
    environment.forEach(
        (variable, value) -> {
          switch (variable) {
            case "PROXY_NAME" -> values.put("name", value);
            case "PROXY_LISTEN" -> values.put("listen", value);
            case "PROXY_OPERATOR" -> values.put("operator", value);
            // The file can be replaced while the process runs; the environment then still has the
            // old address.
            case "PROXY_DISCOVERY" -> values.putIfAbsent("discovery", value);
            case "PROXY_STATE" -> values.put("state", value);
            default -> {}
          }
        });
    final Fields fields = Fields.of(values, SOURCE);
    final Fields settings = Fields.of(settingValues, SOURCE);
    try {
      final String operator = fields.text("operator", "");
      return new CourierConfig(
          fields.text("name", "courier"),
          parseAddress("listen", fields.text("listen")),
          operator.isEmpty() ? null : parseAddress("operator", operator),
          parseAddress("discovery", fields.text("discovery")),
          Path.of(fields.text("state")),
          seed(fields.text("seed", "0")),
          (int) atLeastOne(fields, "limits.sockets", 1024),
          atLeastOne(fields, "limits.disk_mb", 1) * BYTES_PER_MB,
          root.path("known"),
          SettingsReader.read(settings),
          atLeastOne(settings, "limits.connect_timeout", 1_000_000));
    } catch (final MalformedLineException e) {
      throw new ConfigurationException(e.getMessage());
    } catch (final IllegalArgumentException e) {
      throw new ConfigurationException(SOURCE + ": " + e.getMessage());
    }
  }

  /**
   * Nested values as the wire names them: paths with dots, plain lists joined, lists of objects
   * counted.
   */
  private static void flatten(
      final String path, final JsonNode value, final Map<String, String> into) {
    final String prefix = path.isEmpty() ? "" : path + ".";
    if (value.isObject()) {
      value.properties().forEach(entry -> flatten(prefix + entry.getKey(), entry.getValue(), into));
    } else if (value.isArray() && !value.isEmpty() && value.get(0).isObject()) {
      into.put(prefix + "count", Integer.toString(value.size()));
      for (int index = 0; index < value.size(); index++) {
        flatten(prefix + index, value.get(index), into);
      }
    } else if (value.isArray()) {
      final StringBuilder joined = new StringBuilder();
      value.forEach(item -> joined.append(joined.isEmpty() ? "" : ",").append(item.asText()));
      into.put(path, joined.toString());
    } else if (value.isValueNode() && !value.isNull()) {
      into.put(
          path,
          value.isNumber() && value.canConvertToExactIntegral()
              ? value.bigIntegerValue().toString()
              : value.asText());
    }
  }

  private static long atLeastOne(final Fields fields, final String name, final long absent) {
    final long value = fields.integer(name, absent);
    if (value < 1) {
      throw fields.malformed("'" + name + "' is at least 1, not " + value);
    }
    return value;
  }

  private static long seed(final String text) {
    try {
      return Long.parseUnsignedLong(text, HEX_RADIX);
    } catch (final NumberFormatException e) {
      throw new IllegalArgumentException("'seed' is no hexadecimal number: '" + text + "'", e);
    }
  }

  /**
   * An address with its port, both as figures: there is no DNS. Port 0 lets the system choose one
   * to listen on.
   */
  public static InetSocketAddress parseAddress(final String what, final String text) {
    final int colon = text.lastIndexOf(':');
    try {
      final int port = Integer.parseInt(text.substring(colon + 1));
      if (colon > 0 && port >= 0 && port <= MAX_PORT) {
        return new InetSocketAddress(text.substring(0, colon), port);
      }
    } catch (final NumberFormatException e) {
      throw new IllegalArgumentException("'" + what + "' is no address: '" + text + "'", e);
    }
    throw new IllegalArgumentException("'" + what + "' is no address: '" + text + "'");
  }
}
