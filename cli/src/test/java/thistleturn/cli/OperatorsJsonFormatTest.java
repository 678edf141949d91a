package thistleturn.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInWorld;
import thistleturn.testkit.rig.RealFleet;
import thistleturn.testkit.rig.Schedule;

/**
 * The keys, in their order, of the JSON pages that running couriers serve to operators. Operators'
 * scripts depend on the keys, so this test fails if one changes.
 */
@Tag("peers")
@Timeout(120)
final class OperatorsJsonFormatTest {
  private static final long AWAIT_S = 15;
  private static final String REPLICAS = "[replicas]\nenabled = true\n";

  @TempDir private Path folder;

  /** The keys of an object, the shape of an array's first element, the type of a value. */
  private static String shape(final JsonNode node) {
    if (node.isObject()) {
      final List<String> fields = new ArrayList<>();
      node.properties()
          .forEach(field -> fields.add(field.getKey() + ":" + shape(field.getValue())));
      return "{" + String.join(" ", fields) + "}";
    }
    if (node.isArray()) {
      return node.isEmpty() ? "[]" : "[" + shape(node.get(0)) + "]";
    }
    return node.isTextual() ? "text" : node.isBoolean() ? "flag" : "number";
  }

  private static void await(final RealFleet fleet, final BooleanSupplier condition) {
    final long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_S);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < untilNs, () -> "timed out: " + fleet.recentLines());
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
    }
  }

  /** The exclusion of an endpoint on the second courier's only route, or null if there is none. */
  private static JsonNode exclusion(final RealFleet fleet) {
    final JsonNode routes = fleet.fetchPage(1, "lanes");
    if (routes != null) {
      for (final JsonNode constraint : routes.path(0).path("said")) {
        if (constraint.path("what").asText().equals("exclusion")) {
          return constraint;
        }
      }
    }
    return null;
  }

  @Test
  void pagesOfTwoCouriers_haveTheseKeys() throws IOException {
    final Schedule schedule = Schedule.parse("members 2\nseed 61\nend 3s\n");
    try (StandInWorld world = new StandInWorld(folder, schedule.seed())) {
      final StandInEndpoint endpoint = world.endpoint(1);
      world.platform.announce(endpoint, "Ready", 1000);
      try (RealFleet fleet =
          new RealFleet(
              folder, schedule, world.platform.address(), world.platform.known(), REPLICAS, 5000)) {
        fleet.at(
            500,
            () -> {
              assertTrue(fleet.setDisabled(0, endpoint.name(), true));
              await(fleet, () -> exclusion(fleet) != null);
              assertPages(fleet, endpoint.name());
            });
        fleet.run();
        assertEquals(List.of(), fleet.checker().violations(), () -> fleet.recentLines().toString());
      }
    }
  }

  private static void assertPages(final RealFleet fleet, final String endpoint) {
    assertEquals(
        "{state:text for_s:number evidence:text away_share:number last_away_s:number holds:number"
            + " may_hold:number ended:number}",
        shape(fleet.fetchPage(1, "health")));

    assertEquals(
        "[{destination:number phase:text window:number in_flight:number silent:number"
            + " waiting:number served_per_s:number cause:text evidence:number"
            + " refused_share:number further_calls:number growing:flag why:text"
            + " said:[{what:text value:number by:text}] endpoints:[text]}]",
        shape(fleet.fetchPage(1, "lanes")));
    assertEquals("WELL", fleet.fetchPage(1, "lanes").path(0).path("phase").asText());
    assertEquals("UNSURE", fleet.fetchPage(1, "lanes").path(0).path("cause").asText());
    final JsonNode exclusion = exclusion(fleet);
    assertEquals("{what:text value:number by:text endpoint:text}", shape(exclusion));
    assertEquals(endpoint, exclusion.path("endpoint").asText());

    final JsonNode peers = fleet.fetchPage(1, "peers");
    assertEquals(
        "{name:text incarnation:number address:text standing:text reached:number sent:number"
            + " sent_bytes:number read:number malformed:number too_large:number"
            + " turned_down:number connections:number view:{generation:number founder:number"
            + " number:number members:[{name:text incarnation:number address:text}]"
            + " committee:[text]} peers:[{name:text incarnation:number address:text state:text"
            + " for_ms:number here:text round_trip_ms:number health:text away_ms:number"
            + " holds:number stuck:flag doubts:[]}]}",
        shape(peers));
    assertEquals("majority", peers.path("standing").asText());
    assertEquals("alive", peers.path("peers").get(0).path("state").asText());
    assertEquals("heard", peers.path("peers").get(0).path("here").asText());

    final JsonNode state = fleet.fetchPage(1, "state");
    assertEquals(
        "{writer:text entries:number sum:text caught_up:flag together_s:number"
            + " turned_down:number malformed:number sent_bytes:number known:{WRITERS}"
            + " subjects:[{kind:text subject:text state:text value:number for_s:number"
            + " conflict:flag rule:text by:[text] words:[{writer:text version:number"
            + " age_s:number fields:[flag]}]}]}",
        shape(state).replaceAll("known:\\{(n0\\d#\\d+:number ?)+}", "known:{WRITERS}"));
    assertEquals("maintenance", state.path("subjects").get(0).path("kind").asText());
    assertEquals("left out", state.path("subjects").get(0).path("state").asText());
  }
}
