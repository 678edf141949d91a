package thistleturn.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import thistleturn.eureka.RegistrySettings;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInRegistry;
import thistleturn.testkit.StandInRegistry.Fault;

/**
 * Failing registries: endpoints stay in use, messages are delivered, and no delivery rule is
 * broken.
 */
@Tag("membership")
final class RegistryFaultTest {
  private static final long TIMEOUT_MS = 3000;

  @TempDir private Path folder;

  /** Two destinations, one listed by the registry only, the other by the platform as well. */
  private StandInEndpoint[] twoDestinations(final CourierUnderTest courier) {
    final StandInEndpoint registered = courier.world.endpoint(1);
    final StandInEndpoint both = courier.world.endpoint(2);
    courier.world.registry.register(
        StandInRegistry.endpoint("heat", "i1", registered.port(), 1, "UP"));
    courier.world.registry.register(StandInRegistry.endpoint("heat", "i2", both.port(), 2, "UP"));
    courier.world.platform.announce(both, "Ready", 1000);
    return new StandInEndpoint[] {registered, both};
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void registryFault_keepsEndpointsUp(final Fault fault) throws Exception {
    try (CourierUnderTest courier = new CourierUnderTest(folder, fault.ordinal())) {
      final StandInEndpoint[] endpoints = twoDestinations(courier);
      courier.start();
      courier.awaitState(endpoints[0].address(), "up");
      courier.awaitState(endpoints[1].address(), "up");
      courier.world.registry.setFault(fault);
      final int requestsBefore =
          courier.world.registry.requests().values().stream().mapToInt(Integer::intValue).sum();
      courier.world.startLoad(200, TIMEOUT_MS, 1, 2);
      // Several polls have to take place during the fault.
      courier.world.await(
          "polls during the fault",
          () ->
              courier.world.registry.requests().values().stream().mapToInt(Integer::intValue).sum()
                  >= requestsBefore + 4);
      courier.world.await(
          "deliveries",
          () -> courier.world.ruleChecker.outcomeCounts().getOrDefault("delivered", 0) >= 100);
      assertEquals("up", courier.member(endpoints[0].address()).path("state").asText());
      assertEquals("up", courier.member(endpoints[1].address()).path("state").asText());
      assertEquals(List.of(), courier.world.stopLoadAndCheck());
      assertTrue(endpoints[0].calls() > 0 && endpoints[1].calls() > 0);
      assertEquals(0, courier.world.ruleChecker.outcomeCounts().getOrDefault("undeliverable", 0));
      courier.world.registry.setFault(Fault.NONE);
      courier.world.registry.setStatus("heat", "i1", "DOWN");
      courier.awaitState(endpoints[0].address(), "draining");
    }
  }

  @Test
  void unreachableRegistryThenEmptyRestart_keepsEndpointsInUse() throws Exception {
    try (CourierUnderTest courier = new CourierUnderTest(folder, 20)) {
      final StandInEndpoint[] endpoints = twoDestinations(courier);
      courier.start();
      courier.awaitState(endpoints[0].address(), "up");
      courier.world.startLoad(200, TIMEOUT_MS, 1, 2);
      courier.world.registry.server().down();
      courier.awaitMember(
          endpoints[0].address(), member -> member.path("because").asText().equals("stale"));
      courier.world.registry.restart();
      courier.world.registry.server().up();
      courier.awaitMember(
          endpoints[0].address(), member -> member.path("because").asText().equals("doubted"));
      final long calls = endpoints[0].calls();
      courier.world.await(
          "calls while the registry is empty", () -> endpoints[0].calls() > calls + 20);
      courier.world.registry.register(
          StandInRegistry.endpoint("heat", "i1", endpoints[0].port(), 1, "UP"));
      courier.world.registry.register(
          StandInRegistry.endpoint("heat", "i2", endpoints[1].port(), 2, "UP"));
      courier.awaitMember(
          endpoints[0].address(), member -> member.path("because").asText().equals("said"));
      assertEquals(List.of(), courier.world.stopLoadAndCheck());
    }
  }

  @Test
  void failingAddress_isReplacedByTheNext() throws Exception {
    try (CourierUnderTest courier = new CourierUnderTest(folder, 21)) {
      final StandInEndpoint endpoint = courier.world.endpoint(1);
      final StandInRegistry second = courier.world.registry();
      courier.world.registry.server().down();
      second.register(StandInRegistry.endpoint("heat", "i1", endpoint.port(), 1, "UP"));
      courier.registries =
          List.of(CourierUnderTest.registry("eureka", 50, courier.world.registry, second));
      courier.start();
      courier.awaitState(endpoint.address(), "up");
      second.server().down();
      courier.world.registry.server().up();
      courier.world.registry.register(
          StandInRegistry.endpoint("heat", "i1", endpoint.port(), 1, "DOWN"));
      courier.awaitState(endpoint.address(), "draining");
    }
  }

  @Test
  void deltaWithHashMismatch_causesFullPoll() throws Exception {
    try (CourierUnderTest courier = new CourierUnderTest(folder, 22)) {
      final StandInEndpoint endpoint = courier.world.endpoint(1);
      courier.start();
      courier.world.await(
          "deltas", () -> courier.world.registry.requests().getOrDefault("GET apps/delta", 0) > 1);
      final int fullPolls = courier.world.registry.requests().get("GET apps");
      courier.world.registry.register(
          StandInRegistry.endpoint("heat", "i1", endpoint.port(), 1, "UP"));
      // By then no delta contains the change any more, so only the hash reveals it.
      courier.world.registry.advanceTime(1000);
      courier.awaitState(endpoint.address(), "up");
      assertTrue(courier.world.registry.requests().get("GET apps") > fullPolls);
      assertTrue(courier.source("eureka").path("registry").path("mismatches").asInt() > 0);
    }
  }

  @Test
  void registryWithoutDeltas_isPolledInFull() throws Exception {
    try (CourierUnderTest courier = new CourierUnderTest(folder, 23)) {
      final StandInEndpoint endpoint = courier.world.endpoint(1);
      courier.world.registry.refuseDeltas(true);
      courier.start();
      courier.world.registry.register(
          StandInRegistry.endpoint("heat", "i1", endpoint.port(), 1, "UP"));
      courier.awaitState(endpoint.address(), "up");
      courier.world.registry.setStatus("heat", "i1", "OUT_OF_SERVICE");
      courier.awaitState(endpoint.address(), "draining");
    }
  }

  @Test
  void scopeOfApplicationsAndVips_limitsMembers() throws Exception {
    try (CourierUnderTest courier = new CourierUnderTest(folder, 24)) {
      final StandInEndpoint heat = courier.world.endpoint(1);
      final StandInEndpoint pump = courier.world.endpoint(2);
      final StandInEndpoint other = courier.world.endpoint(3);
      courier.world.registry.register(StandInRegistry.endpoint("heat", "i1", heat.port(), 1, "UP"));
      courier.world.registry.register(StandInRegistry.endpoint("pump", "i2", pump.port(), 2, "UP"));
      courier.world.registry.register(
          StandInRegistry.endpoint("other", "i3", other.port(), 3, "UP"));
      final RegistrySettings all = courier.registries.get(0);
      courier.registries =
          List.of(
              new RegistrySettings(
                  "eureka",
                  all.addresses(),
                  List.of("apps/HEAT", "apps/ABSENT", "vips/pump"),
                  all.pollIntervalUs(),
                  all.maxBackoffUs(),
                  all.responseTimeoutUs(),
                  all.maxResponseBytes(),
                  true,
                  all.metadata()));
      courier.start();
      courier.awaitState(heat.address(), "up");
      courier.awaitState(pump.address(), "up");
      assertEquals(2, courier.status().path("members").size());
      courier.world.registry.setStatus("pump", "i2", "DOWN");
      courier.awaitState(pump.address(), "draining");
    }
  }

  @Test
  void unusableInstances_areSkippedAndCounted() throws Exception {
    try (CourierUnderTest courier = new CourierUnderTest(folder, 25)) {
      final StandInEndpoint good = courier.world.endpoint(1);
      courier.world.registry.register(
          StandInRegistry.endpoint("heat", "good", good.port(), 1, "UP"));
      courier.world.registry.register(
          StandInRegistry.instance("heat", "none", "127.0.0.1", 80, "UP"));
      courier.world.registry.register(
          StandInRegistry.instance(
              "heat", "word", "127.0.0.1", 80, "UP", "thistleturn.destination", "seven"));
      courier.world.registry.register(
          StandInRegistry.instance(
              "heat", "name", "heat.example", 80, "UP", "thistleturn.destination", "7"));
      courier.world.registry.register(
          StandInRegistry.instance(
              "heat", "port", "127.0.0.1", 70_000, "UP", "thistleturn.destination", "7"));
      courier.world.registry.register(
          StandInRegistry.instance(
              "heat",
              "rate",
              "127.0.0.1",
              80,
              "UP",
              "thistleturn.destination",
              "7",
              "thistleturn.rate",
              "many"));
      courier.start();
      courier.awaitState(good.address(), "up");
      assertEquals(1, courier.status().path("members").size());
      final String counts = courier.source("eureka").path("registry").toString();
      for (final String reason :
          List.of("\"NO_DESTINATION\":2", "\"NO_ADDRESS\":1", "\"NO_PORT\":1", "\"BAD_RATE\":1")) {
        assertTrue(counts.contains(reason), counts);
      }
    }
  }
}
