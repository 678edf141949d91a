package thistleturn.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.eureka.RegistrationSettings;
import thistleturn.testkit.StandInRegistry.Fault;

/** The courier's registration of itself as an instance in a registry. */
@Tag("membership")
final class RegistrationTest {
  private static final String APP = "THISTLETURN";

  @TempDir private Path folder;

  private CourierUnderTest registeringCourier() {
    final CourierUnderTest courier = new CourierUnderTest(folder, 1);
    courier.registration =
        new RegistrationSettings(
            List.of(CourierUnderTest.address(courier.world.registry)),
            APP,
            "thistleturn",
            100 * CourierUnderTest.MS,
            300 * CourierUnderTest.MS);
    return courier;
  }

  private static String id(final CourierUnderTest courier) {
    return courier.status().path("registration").path("id").asText();
  }

  private static JsonNode instance(final CourierUnderTest courier) {
    return courier.world.registry.entry(APP, id(courier));
  }

  private static int count(final CourierUnderTest courier, final String request) {
    return courier.world.registry.requests().getOrDefault(request, 0);
  }

  @Test
  void startedCourier_registersOnceAndRenews() throws Exception {
    try (CourierUnderTest courier = registeringCourier().start()) {
      courier.world.await("the registration", () -> instance(courier) != null);
      assertEquals("UP", instance(courier).path("status").asText());
      assertEquals("127.0.0.1", instance(courier).path("ipAddr").asText());
      courier.world.await("renewals", () -> count(courier, "PUT apps/{app}/{id}") >= 3);
      assertEquals(1, count(courier, "POST apps/{app}"));
    }
  }

  @Test
  void registryThatLostTheInstance_getsItAgain() throws Exception {
    try (CourierUnderTest courier = registeringCourier().start()) {
      courier.world.await("the registration", () -> instance(courier) != null);
      courier.world.registry.restart();
      courier.world.await("the registration after the restart", () -> instance(courier) != null);
      assertEquals(2, count(courier, "POST apps/{app}"));
    }
  }

  @Test
  void rejectedRenewals_areRetriedWithBackoff() throws Exception {
    try (CourierUnderTest courier = registeringCourier().start()) {
      courier.world.await("the registration", () -> instance(courier) != null);
      courier.world.registry.refuseRenewals(true);
      final int renewalsBefore = count(courier, "PUT apps/{app}/{id}");
      final long startUs = courier.world.clock.nowUs();
      courier.world.await(
          "rejected renewals", () -> count(courier, "PUT apps/{app}/{id}") >= renewalsBefore + 8);
      // The backoff starts at a thirtieth of the interval and doubles up to the interval.
      assertTrue(courier.world.clock.nowUs() - startUs >= 250 * CourierUnderTest.MS);
      courier.world.registry.refuseRenewals(false);
      final int rejected = count(courier, "PUT apps/{app}/{id}");
      courier.world.await(
          "a renewal",
          () ->
              count(courier, "PUT apps/{app}/{id}") > rejected
                  && courier.status().path("registration").path("registered").asBoolean());
      assertEquals(1, count(courier, "POST apps/{app}"));
    }
  }

  @Test
  void shutdown_marksOutOfServiceThenRemovesInstance() throws Exception {
    try (CourierUnderTest courier = registeringCourier().start()) {
      courier.world.await("the registration", () -> instance(courier) != null);
      final String id = id(courier);
      final Thread stopping = new Thread(courier::stop);
      stopping.start();
      courier.world.await(
          "out of service",
          () -> {
            final JsonNode instance = courier.world.registry.entry(APP, id);
            return instance == null || instance.path("status").asText().equals("OUT_OF_SERVICE");
          });
      stopping.join();
      assertNull(courier.world.registry.entry(APP, id));
      assertEquals(1, count(courier, "PUT apps/{app}/{id}/status"));
      assertEquals(1, count(courier, "DELETE apps/{app}/{id}"));
    }
  }

  @Test
  void shutdownDuringRegistration_isNotDelayed() throws Exception {
    try (CourierUnderTest courier = registeringCourier()) {
      courier.world.registry.setFault(Fault.HUNG);
      courier.start();
      courier.world.await("a registration request", () -> count(courier, "POST apps/{app}") > 0);
      final long startUs = courier.world.clock.nowUs();
      courier.stop();
      assertTrue(
          courier.world.clock.nowUs() - startUs < 4000 * CourierUnderTest.MS,
          "the shutdown does not wait for the registry");
    }
  }

  @Test
  void killedCourier_replacesItsInstanceOrLetsItExpire() throws Exception {
    try (CourierUnderTest courier = registeringCourier().start()) {
      courier.world.await("the registration", () -> instance(courier) != null);
      final String oldId = id(courier);
      courier.killAndRestart();
      courier.world.await("the new registration", () -> instance(courier) != null);
      courier.world.registry.advanceTime(250);
      courier.world.await("a renewal", () -> instance(courier) != null);
      if (!oldId.equals(id(courier))) {
        courier.world.registry.advanceTime(1000);
        assertNull(courier.world.registry.entry(APP, oldId));
      }
    }
  }

  @Test
  void courierKilledDuringRegistration_registersAfterRestart() throws Exception {
    try (CourierUnderTest courier = registeringCourier()) {
      courier.world.registry.setFault(Fault.HUNG);
      courier.start();
      courier.world.await("a registration request", () -> count(courier, "POST apps/{app}") > 0);
      courier.killAndRestart();
      courier.world.await(
          "another registration request", () -> count(courier, "POST apps/{app}") > 1);
      courier.world.registry.setFault(Fault.NONE);
      courier.world.await("the registration", () -> instance(courier) != null);
    }
  }
}
