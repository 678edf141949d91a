package thistleturn.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInEndpoint.Behavior;
import thistleturn.testkit.StandInRegistry;
import thistleturn.testkit.Violation;

/** Endpoints that are added, drained and removed by their sources while messages are delivered. */
@Tag("membership")
final class DrainTest {
  private static final long TIMEOUT_MS = 3000;

  @TempDir private Path folder;

  private static void register(
      final CourierUnderTest courier,
      final String id,
      final StandInEndpoint endpoint,
      final String status) {
    courier.world.registry.register(
        StandInRegistry.endpoint("heat", id, endpoint.port(), endpoint.destination(), status));
  }

  /** Sets an endpoint to DOWN; the auditor counts it as draining once the registry reports it. */
  private static void drain(
      final CourierUnderTest courier, final String id, final StandInEndpoint endpoint) {
    courier.world.registry.setStatus(
        "heat",
        id,
        "DOWN",
        () ->
            courier.world.ruleChecker.recordDraining(courier.world.clock.nowUs(), endpoint.name()));
  }

  @Test
  void endpointThatGoesDownUnderLoad_getsNoNewCalls() throws Exception {
    try (CourierUnderTest courier = new CourierUnderTest(folder, 1)) {
      final StandInEndpoint slow = courier.world.endpoint(1);
      final StandInEndpoint other = courier.world.endpoint(1);
      slow.setBehavior(Behavior.deliverAfter(150));
      register(courier, "slow", slow, "UP");
      register(courier, "other", other, "UP");
      courier.start();
      courier.awaitState(slow.address(), "up");
      courier.world.startLoad(150, TIMEOUT_MS, 1);
      courier.world.await("calls in flight", () -> slow.calls() > 10);
      drain(courier, "slow", slow);
      courier.awaitState(slow.address(), "draining");
      final long callsBefore = other.calls();
      courier.world.await("calls at the other", () -> other.calls() > callsBefore + 300);
      assertEquals(List.of(), courier.world.stopLoadAndCheck());
    }
  }

  @Test
  void callToDrainingEndpoint_isReportedByAuditor() throws Exception {
    try (CourierUnderTest courier = new CourierUnderTest(folder, 2)) {
      final StandInEndpoint endpoint = courier.world.endpoint(1);
      register(courier, "i", endpoint, "UP");
      courier.start();
      courier.awaitState(endpoint.address(), "up");
      // The courier does not know of the drain: its further calls are violations.
      courier.world.ruleChecker.recordDraining(courier.world.clock.nowUs(), endpoint.name());
      courier.world.startLoad(50, TIMEOUT_MS, 1);
      courier.world.await(
          "a violation",
          () ->
              courier.world.ruleChecker.finish(courier.world.clock.nowUs()).stream()
                  .anyMatch(violation -> violation.rule() == Violation.Rule.DRAIN));
    }
  }

  @Test
  void sourcesThatDisagree_moreCautiousStatusCounts() throws Exception {
    try (CourierUnderTest courier = new CourierUnderTest(folder, 3)) {
      final StandInEndpoint first = courier.world.endpoint(1);
      final StandInEndpoint second = courier.world.endpoint(1);
      final StandInEndpoint steady = courier.world.endpoint(1);
      courier.world.platform.announce(first, "Ready", 1000);
      courier.world.platform.announce(second, "Ready", 1000);
      courier.world.platform.announce(steady, "Ready", 1000);
      register(courier, "i1", first, "UP");
      register(courier, "i2", second, "UP");
      courier.start();
      courier.awaitState(second.address(), "up");
      courier.world.startLoad(100, TIMEOUT_MS, 1);
      drain(courier, "i1", first);
      courier.awaitMember(
          first.address(),
          member ->
              member.path("because").asText().equals("caution")
                  && member.path("by").asText().equals("eureka"));
      courier.world.platform.announce(second, "Terminating", 1000);
      courier.awaitMember(
          second.address(),
          member ->
              member.path("because").asText().equals("caution")
                  && member.path("by").asText().equals("discovery"));
      final long callsBefore = steady.calls();
      courier.world.await("calls at the steady one", () -> steady.calls() > callsBefore + 250);
      assertEquals(List.of(), courier.world.stopLoadAndCheck());
    }
  }

  @Test
  void endpointRemovedAndAddedAgain_serves() throws Exception {
    try (CourierUnderTest courier = new CourierUnderTest(folder, 4)) {
      final StandInEndpoint endpoint = courier.world.endpoint(1);
      register(courier, "i", endpoint, "UP");
      courier.start();
      courier.awaitState(endpoint.address(), "up");
      courier.world.startLoad(100, TIMEOUT_MS, 1);
      courier.world.registry.cancel("heat", "i");
      courier.awaitState(endpoint.address(), "gone");
      register(courier, "i", endpoint, "UP");
      courier.awaitState(endpoint.address(), "up");
      final long callsBefore = endpoint.calls();
      courier.world.await("calls again", () -> endpoint.calls() > callsBefore + 50);
      assertEquals(List.of(), courier.world.stopLoadAndCheck());
    }
  }

  @Test
  void thousandFlappingEndpoints_costNeitherServiceNorMemory() throws Exception {
    try (CourierUnderTest courier = new CourierUnderTest(folder, 5)) {
      final StandInEndpoint steady = courier.world.endpoint(1);
      register(courier, "steady", steady, "UP");
      // Nothing listens at these addresses: an attempt costs a refused connection at most.
      for (int index = 0; index < 1000; index++) {
        courier.world.registry.register(
            StandInRegistry.endpoint("flap", "f" + index, 1, 100 + index, "UP"));
      }
      courier.start();
      courier.awaitState(steady.address(), "up");
      courier.world.startLoad(100, TIMEOUT_MS, 1);
      for (int round = 0; round < 10; round++) {
        for (int index = 0; index < 1000; index++) {
          courier.world.registry.setStatus("flap", "f" + index, round % 2 == 0 ? "DOWN" : "UP");
        }
        final int deltasBefore =
            courier.world.registry.requests().getOrDefault("GET apps/delta", 0);
        courier.world.await(
            "the next delta",
            () ->
                courier.world.registry.requests().getOrDefault("GET apps/delta", 0)
                    > deltasBefore + 1);
      }
      assertEquals(1001, courier.source("eureka").path("entries").asInt());
      final long callsBefore = steady.calls();
      courier.world.await("calls after the flapping", () -> steady.calls() > callsBefore + 50);
      assertEquals(List.of(), courier.world.stopLoadAndCheck());
      assertEquals(0, courier.world.ruleChecker.outcomeCounts().getOrDefault("undeliverable", 0));
    }
  }

  @Test
  void registryAddedOrRemovedByReload_takesEffectAtOnce() throws Exception {
    try (CourierUnderTest courier = new CourierUnderTest(folder, 6)) {
      final StandInEndpoint first = courier.world.endpoint(1);
      final StandInEndpoint second = courier.world.endpoint(1);
      final StandInRegistry east = courier.world.registry();
      register(courier, "i1", first, "UP");
      east.register(StandInRegistry.endpoint("heat", "i2", second.port(), 1, "UP"));
      courier.start();
      courier.awaitState(first.address(), "up");
      assertNull(courier.member(second.address()));
      courier.world.startLoad(100, TIMEOUT_MS, 1);
      final var eureka = courier.registries.get(0);
      courier.registries =
          new ArrayList<>(List.of(eureka, CourierUnderTest.registry("east", 50, east)));
      courier.reload();
      courier.awaitState(second.address(), "up");
      courier.registries = List.of(courier.registries.get(1));
      courier.reload();
      courier.awaitState(first.address(), "gone");
      courier.world.ruleChecker.recordDraining(courier.world.clock.nowUs(), first.name());
      final long callsBefore = second.calls();
      courier.world.await("calls at the other", () -> second.calls() > callsBefore + 250);
      assertEquals(List.of(), courier.world.stopLoadAndCheck());
      assertNull(courier.source("eureka"));
    }
  }

  @Test
  void registriesThatDisagree_moreCautiousStatusCounts() throws Exception {
    try (CourierUnderTest courier = new CourierUnderTest(folder, 7)) {
      final StandInEndpoint endpoint = courier.world.endpoint(1);
      final StandInRegistry east = courier.world.registry();
      register(courier, "i", endpoint, "UP");
      east.register(StandInRegistry.endpoint("heat", "i", endpoint.port(), 1, "OUT_OF_SERVICE"));
      courier.registries.add(CourierUnderTest.registry("east", 50, east));
      courier.start();
      courier.awaitMember(
          endpoint.address(),
          member ->
              member.path("because").asText().equals("caution")
                  && member.path("state").asText().equals("draining"));
      east.overrideStatus("heat", "i", null);
      courier.awaitState(endpoint.address(), "up");
    }
  }

  @Test
  void courierKilledWithRegistryDown_keepsDeliveryRules() throws Exception {
    try (CourierUnderTest courier = new CourierUnderTest(folder, 8)) {
      final StandInEndpoint endpoint = courier.world.endpoint(1);
      register(courier, "i", endpoint, "UP");
      courier.world.platform.announce(endpoint, "Ready", 1000);
      endpoint.setBehavior(Behavior.deliverAfter(30));
      courier.start();
      courier.awaitState(endpoint.address(), "up");
      courier.world.startLoad(100, TIMEOUT_MS, 1);
      courier.world.await("deliveries", () -> endpoint.calls() > 50);
      courier.world.registry.server().down();
      courier.killAndRestart();
      final long callsBefore = endpoint.calls();
      courier.world.await("deliveries again", () -> endpoint.calls() > callsBefore + 50);
      assertEquals(List.of(), courier.world.stopLoadAndCheck(TIMEOUT_MS));
      assertTrue(
          courier.world.ruleChecker.outcomeCounts().get("delivered") > 80,
          courier.world.ruleChecker.outcomeCounts().toString());
    }
  }
}
