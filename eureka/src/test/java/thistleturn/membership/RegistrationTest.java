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

/** The courier's own entry in a registry. */
@Tag("membership")
final class RegistrationTest {
  private static final String APP = "THISTLETURN";

  @TempDir private Path folder;

  private CourierUnderTest registering() {
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

  private static JsonNode entry(final CourierUnderTest courier) {
    return courier.world.registry.entry(APP, id(courier));
  }

  private static int count(final CourierUnderTest courier, final String request) {
    return courier.world.registry.requests().getOrDefault(request, 0);
  }

  @Test
  void itRegistersRenewsAndIsFoundWithItsAddress() throws Exception {
    try (CourierUnderTest courier = registering().start()) {
      courier.world.await("an entry", () -> entry(courier) != null);
      assertEquals("UP", entry(courier).path("status").asText());
      assertEquals("127.0.0.1", entry(courier).path("ipAddr").asText());
      courier.world.await("renewals", () -> count(courier, "PUT apps/{app}/{id}") >= 3);
      assertEquals(1, count(courier, "POST apps/{app}"));
    }
  }

  @Test
  void aRegistryThatForgotItGetsItAgain() throws Exception {
    try (CourierUnderTest courier = registering().start()) {
      courier.world.await("an entry", () -> entry(courier) != null);
      courier.world.registry.restart();
      courier.world.await("the entry again", () -> entry(courier) != null);
      assertEquals(2, count(courier, "POST apps/{app}"));
    }
  }

  @Test
  void refusedRenewalsDoNotMakeItAskMoreOften() throws Exception {
    try (CourierUnderTest courier = registering().start()) {
      courier.world.await("an entry", () -> entry(courier) != null);
      courier.world.registry.refuseRenewals(true);
      final int before = count(courier, "PUT apps/{app}/{id}");
      final long fromUs = courier.world.ticks.nowUs();
      courier.world.await(
          "refused renewals", () -> count(courier, "PUT apps/{app}/{id}") >= before + 8);
      // A pause of a thirtieth of the period at first, doubled each time, up to the period.
      assertTrue(courier.world.ticks.nowUs() - fromUs >= 250 * CourierUnderTest.MS);
      courier.world.registry.refuseRenewals(false);
      final int refused = count(courier, "PUT apps/{app}/{id}");
      courier.world.await(
          "a renewal",
          () ->
              count(courier, "PUT apps/{app}/{id}") > refused
                  && courier.status().path("registration").path("registered").asBoolean());
      assertEquals(1, count(courier, "POST apps/{app}"));
    }
  }

  @Test
  void onSigtermItIsOutOfServiceAtOnceAndGoneAtTheEnd() throws Exception {
    try (CourierUnderTest courier = registering().start()) {
      courier.world.await("an entry", () -> entry(courier) != null);
      final String id = id(courier);
      final Thread stopping = new Thread(courier::stop);
      stopping.start();
      courier.world.await(
          "out of service",
          () -> {
            final JsonNode entry = courier.world.registry.entry(APP, id);
            return entry == null || entry.path("status").asText().equals("OUT_OF_SERVICE");
          });
      stopping.join();
      assertNull(courier.world.registry.entry(APP, id));
      assertEquals(1, count(courier, "PUT apps/{app}/{id}/status"));
      assertEquals(1, count(courier, "DELETE apps/{app}/{id}"));
    }
  }

  @Test
  void sigtermInTheMiddleOfARegistrationLeavesNoEntryForLong() throws Exception {
    try (CourierUnderTest courier = registering()) {
      courier.world.registry.fault(Fault.HUNG);
      courier.start();
      courier.world.await("a registration", () -> count(courier, "POST apps/{app}") > 0);
      final long fromUs = courier.world.ticks.nowUs();
      courier.stop();
      assertTrue(
          courier.world.ticks.nowUs() - fromUs < 4000 * CourierUnderTest.MS,
          "the end waits for nobody");
    }
  }

  @Test
  void aKilledCourierReplacesItsOldEntryOrLeavesItToExpire() throws Exception {
    try (CourierUnderTest courier = registering().start()) {
      courier.world.await("an entry", () -> entry(courier) != null);
      final String old = id(courier);
      courier.killAndRestart();
      courier.world.await("the new entry", () -> entry(courier) != null);
      courier.world.registry.pass(250);
      courier.world.await("a renewal", () -> entry(courier) != null);
      if (!old.equals(id(courier))) {
        courier.world.registry.pass(1000);
        assertNull(courier.world.registry.entry(APP, old));
      }
    }
  }

  @Test
  void aCourierKilledInTheMiddleOfItsRegistrationRegistersInTheNextProcess() throws Exception {
    try (CourierUnderTest courier = registering()) {
      courier.world.registry.fault(Fault.HUNG);
      courier.start();
      courier.world.await("a registration", () -> count(courier, "POST apps/{app}") > 0);
      courier.killAndRestart();
      courier.world.await("another", () -> count(courier, "POST apps/{app}") > 1);
      courier.world.registry.fault(Fault.NONE);
      courier.world.await("an entry", () -> entry(courier) != null);
    }
  }
}
