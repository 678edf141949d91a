package thistleturn.courier.runtime;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import thistleturn.settings.Fields;
import thistleturn.settings.MalformedLineException;
import thistleturn.settings.SettingsReader;

/**
 * Reads a {@link CourierConfig} from a JSON file and the environment. Unknown keys are ignored; an
 * invalid value is an error that names it.
 */
final class ConfigurationReader {
  private static final String SOURCE = "configuration";
  private static final String FILE_VARIABLE = "PROXY_CONFIG";
  private static final String INITIAL_LIST = "known";
  private static final String SETTINGS = "settings";
  private static final int SEED_RADIX = 16;
  private static final long DEFAULT_MAX_SOCKETS = 1024;
  private static final long DEFAULT_DISK_MB = 1;
  private static final long DEFAULT_CONNECT_TIMEOUT_US = 1_000_000;
  private static final long BYTES_PER_MB = 1_000_000;

  private ConfigurationReader() {}

  /** Reads the file that the environment names. */
  static CourierConfig read(final Map<String, String> environment) throws ConfigurationException {
    final String file = environment.get(FILE_VARIABLE);
    if (file == null) {
      throw new ConfigurationException(FILE_VARIABLE + " is not set");
    }
    final JsonNode root;
    try {
      root = Json.read(Files.readAllBytes(Path.of(file)));
    } catch (final IOException e) {
      final String firstLine = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
      throw new ConfigurationException("cannot read " + file + ": " + firstLine, e);
    }
    return parse(root, environment);
  }

  private static CourierConfig parse(final JsonNode root, final Map<String, String> environment)
      throws ConfigurationException {
    if (root == null || !root.isObject()) {
      throw new ConfigurationException(SOURCE + ": not a JSON object");
    }
    // Two name spaces: "discovery" is an address outside the settings and an update mode inside.
    final Fields fields = Fields.of(processValues(root, environment), SOURCE);
    final Fields settings = Fields.of(settingValues(root), SOURCE);
    try {
      return new CourierConfig(
          fields.text("name", "courier"),
          CourierConfig.parseAddress("listen", fields.text("listen")),
          operatorAddress(fields),
          CourierConfig.parseAddress("discovery", fields.text("discovery")),
          Path.of(fields.text("state")),
          seed(fields.text("seed", "0")),
          (int) atLeastOne(fields, "limits.sockets", DEFAULT_MAX_SOCKETS),
          atLeastOne(fields, "limits.disk_mb", DEFAULT_DISK_MB) * BYTES_PER_MB,
          root.path(INITIAL_LIST),
          SettingsReader.read(settings),
          atLeastOne(settings, "limits.connect_timeout", DEFAULT_CONNECT_TIMEOUT_US));
    } catch (final MalformedLineException e) {
      throw new ConfigurationException(e.getMessage(), e);
    } catch (final IllegalArgumentException e) {
      throw new ConfigurationException(SOURCE + ": " + e.getMessage(), e);
    }
  }

  /** Returns the values outside the settings by path, with the environment's overrides. */
  private static Map<String, String> processValues(
      final JsonNode root, final Map<String, String> environment) {
    final Map<String, String> values = new HashMap<>();
    root.properties()
        .forEach(
            entry -> {
              if (!entry.getKey().equals(INITIAL_LIST) && !entry.getKey().equals(SETTINGS)) {
                JsonFlattener.flatten(entry.getKey(), entry.getValue(), values);
              }
            });
    environment.forEach((variable, value) -> applyOverride(variable, value, values));
    return values;
  }

  private static void applyOverride(
      final String variable, final String value, final Map<String, String> values) {
    switch (variable) {
      case "PROXY_NAME" -> values.put("name", value);
      case "PROXY_LISTEN" -> values.put("listen", value);
      case "PROXY_OPERATOR" -> values.put("operator", value);
      // Not an override: the file can be replaced while the process runs, whose environment keeps
      // the old address.
      case "PROXY_DISCOVERY" -> values.putIfAbsent("discovery", value);
      case "PROXY_STATE" -> values.put("state", value);
      default -> {}
    }
  }

  private static Map<String, String> settingValues(final JsonNode root) {
    final Map<String, String> values = new HashMap<>();
    JsonFlattener.flatten("", root.path(SETTINGS), values);
    // The platform does not push over sockets: whatever the settings say, the courier opens the
    // watch itself.
    values.put("discovery", "on_request");
    return values;
  }

  private static InetSocketAddress operatorAddress(final Fields fields) {
    final String operator = fields.text("operator", "");
    return operator.isEmpty() ? null : CourierConfig.parseAddress("operator", operator);
  }

  private static long atLeastOne(final Fields fields, final String name, final long defaultValue) {
    final long value = fields.integer(name, defaultValue);
    if (value < 1) {
      throw fields.malformed("'" + name + "' must be at least 1, not " + value);
    }
    return value;
  }

  private static long seed(final String text) {
    try {
      return Long.parseUnsignedLong(text, SEED_RADIX);
    } catch (final NumberFormatException e) {
      throw new IllegalArgumentException("'seed' is not a hexadecimal number: '" + text + "'", e);
    }
  }
}
