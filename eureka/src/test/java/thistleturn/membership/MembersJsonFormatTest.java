package thistleturn.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.eureka.RegistrationSettings;

/**
 * The keys and their order on the admin page of members and registries. Operators' scripts depend
 * on them.
 */
@Tag("membership")
@Timeout(120)
final class MembersJsonFormatTest {
  @TempDir private Path folder;

  /** The keys of an object, the shape of an array's last element, the type of a value. */
  private static String shape(final JsonNode node) {
    if (node.isObject()) {
      final List<String> fields = new ArrayList<>();
      node.properties()
          .forEach(field -> fields.add(field.getKey() + ":" + shape(field.getValue())));
      return "{" + String.join(" ", fields) + "}";
    }
    if (node.isArray()) {
      return node.isEmpty() ? "[]" : "[" + shape(node.get(node.size() - 1)) + "]";
    }
    return node.isTextual() ? "text" : node.isBoolean() ? "flag" : "number";
  }

  private static JsonNode registry(final JsonNode status) {
    return status.path("sources").path(1).path("registry");
  }

  @Test
  void membersPage_hasTheseKeys() throws Exception {
    try (CourierUnderTest courier = new CourierUnderTest(folder, 1)) {
      courier.registration =
          new RegistrationSettings(
              List.of(CourierUnderTest.address(courier.world.registry)),
              "THISTLETURN",
              "thistleturn",
              100 * CourierUnderTest.MS,
              300 * CourierUnderTest.MS);
      courier.world.platform.announce(courier.world.endpoint(1), "Ready", 1000);
      courier.start();
      courier.world.await(
          "a member, a response of the registry with the courier's own instance, and a renewal",
          () -> {
            final JsonNode status = courier.status();
            return !status.path("members").isEmpty()
                && registry(status).path("whole").asLong() > 0
                && registry(status).path("unusable").path("NO_DESTINATION").asLong() > 0
                && status.path("registration").path("renew").asLong() > 0;
          });
      final JsonNode status = courier.status();
      assertEquals(
          "{sources:[{name:text rank:number state:text heard_ms_ago:number entries:number"
              + " doubted:number dropped:number implausible:number registry:{address:text"
              + " bytes:number deltas:number failures:number instances:number last_failure:text"
              + " mismatches:number read_anew:number unusable:{NO_DESTINATION:number}"
              + " whole:number}}] members:[{destination:number address:text zone:text kind:text"
              + " rate:number state:text because:text by:text since_ms_ago:number"
              + " heard_ms_ago:number}] registration:{id:text register:number registered:flag"
              + " renew:number}}",
          shape(status));
      assertEquals("discovery", status.path("sources").get(0).path("name").asText());
      assertEquals("heard", status.path("sources").get(0).path("state").asText());
      assertEquals("up", status.path("members").get(0).path("state").asText());
      assertEquals("said", status.path("members").get(0).path("because").asText());
    }
  }
}
