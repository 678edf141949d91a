package thistleturn.benchmarks;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import thistleturn.testkit.StandInRegistry;

/** Generates registry responses of a given size. */
final class RegistryText {
  private static final int INSTANCES_PER_APP = 20;

  private RegistryText() {}

  /**
   * Returns a response that lists the instances numbered {@code from} up to but excluding {@code
   * to}, all with the same status; {@code action} is their action in a delta, or null in a complete
   * response.
   */
  static byte[] of(
      final int from, final int to, final String status, final String hash, final String action) {
    final ObjectNode root = new ObjectMapper().createObjectNode();
    final ObjectNode applications =
        root.putObject("applications").put("versions__delta", "1").put("apps__hashcode", hash);
    final ArrayNode apps = applications.putArray("application");
    ArrayNode instances = null;
    for (int index = from; index < to; index++) {
      final String app = "APP" + index / INSTANCES_PER_APP;
      if (instances == null || index % INSTANCES_PER_APP == 0) {
        instances = apps.addObject().put("name", app).putArray("instance");
      }
      final ObjectNode instance =
          StandInRegistry.instance(
              app,
              "host-" + index + ":" + app + ":8080",
              "10." + (index >> 16 & 255) + "." + (index >> 8 & 255) + "." + (index & 255),
              8080,
              status,
              "thistleturn.destination",
              Integer.toString(index / 4),
              "thistleturn.kind",
              "std",
              "zone",
              index % 2 == 0 ? "a" : "b",
              "thistleturn.rate",
              "20",
              "build",
              "2026.11",
              "team",
              "heat");
      instance
          .put("homePageUrl", "http://host-" + index + ":8080/")
          .put("statusPageUrl", "http://host-" + index + ":8080/info")
          .put("healthCheckUrl", "http://host-" + index + ":8080/health")
          .put("lastUpdatedTimestamp", "1700000000000")
          .put("lastDirtyTimestamp", action == null ? "1700000000000" : "1700000000001");
      if (action != null) {
        instance.put("actionType", action);
      }
      instances.add(instance);
    }
    return root.toString().getBytes(StandardCharsets.UTF_8);
  }
}
