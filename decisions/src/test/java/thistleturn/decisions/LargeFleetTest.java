package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;

/**
 * Behaviour that is harmless in one courier but harmful if all couriers of a fleet share it. Each
 * test runs several couriers, each with its own seed.
 */
@Tag("fleet")
final class LargeFleetTest {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;
  private static final int SAFE = 0;

  /**
   * Returns, of a number of couriers that have each had one call served, those that keep its
   * connection.
   */
  private static List<ScriptedController> keepingCouriers(final int couriers) {
    final List<ScriptedController> keepingCouriers = new ArrayList<>();
    for (int index = 0; index < couriers; index++) {
      final ScriptedController scripted =
          new ScriptedController(
              ScriptedController.fleetOf(couriers), ScriptedController.seed(index));
      scripted.applyEndpointList(
          EndpointUpdate.RESTORED_SNAPSHOT,
          ScriptedController.endpoint(1, ScriptedController.DESTINATION, "b"),
          ScriptedController.endpoint(2, ScriptedController.DESTINATION, "a"));
      scripted.accept("m0", SAFE);
      scripted.advance(200 * MS);
      scripted.endAttempt("m0", AttemptResult.DELIVERED);
      if (scripted.endpointsClosedIdle.isEmpty()) {
        keepingCouriers.add(scripted);
      }
    }
    return keepingCouriers;
  }

  /**
   * In fleet scenarios each call of fourteen couriers needed a handshake, since none kept a
   * connection.
   */
  @Test
  void largeFleet_keepsNoMoreConnectionsThanEndpointAllows() {
    for (final int couriers : List.of(8, 14, 25)) {
      final int most = keepingCouriers(couriers).size();
      assertTrue(
          most >= 3 && most <= 14,
          couriers + " couriers keep " + most + " connections to two endpoints");
    }
  }

  /**
   * In scenarios of a hundred couriers idle connections occupied a fifth of the endpoints'
   * connection capacity, and one call in ten could not connect.
   */
  @Test
  void vastFleet_keepsNoUnneededConnections() {
    for (final int couriers : List.of(26, 100)) {
      assertEquals(0, keepingCouriers(couriers).size());
    }
    final ScriptedController scripted = new ScriptedController(ScriptedController.fleetOf(100), 1);
    scripted.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT,
        ScriptedController.endpoint(1, ScriptedController.DESTINATION, "a"));
    for (int index = 0; index < 16; index++) {
      scripted.accept("m" + index, SAFE);
    }
    final int atOnce = scripted.sentCalls.size();
    assertTrue(atOnce < 16, "all are sent at once");
    scripted.advance(200 * MS);
    scripted.endAttempt("m0", AttemptResult.DELIVERED);
    assertEquals(
        List.of(),
        scripted.endpointsClosedIdle,
        "kept for the next message, which is already waiting");
    assertTrue(scripted.sentCalls.size() > atOnce, "sent " + scripted.sentCalls.size());
  }

  /**
   * A courier keeps the connection to one endpoint of a route, in its own zone, and sends the next
   * message there again.
   */
  @Test
  void keptConnection_isReused() {
    final List<ScriptedController> keepingCouriers = keepingCouriers(14);
    assertTrue(
        keepingCouriers.size() >= 2, "couriers that keep a connection: " + keepingCouriers.size());
    for (final ScriptedController scripted : keepingCouriers) {
      assertEquals(2, scripted.lastCall("m0").endpoint(), "the endpoint in the local zone");
      scripted.advance(SECOND);
      scripted.accept("m1", SAFE);
      scripted.accept("m2", SAFE);
      assertEquals(2, scripted.lastCall("m1").endpoint());
      scripted.advance(200 * MS);
      scripted.endAttempt("m1", AttemptResult.DELIVERED);
      scripted.endAttempt("m2", AttemptResult.DELIVERED);
      assertEquals(
          1,
          scripted.endpointsClosedIdle.size(),
          "one of two open connections is closed: " + scripted.endpointsClosedIdle);
    }
  }

  /**
   * An endpoint list that is unavailable a hundred times in a row is requested at growing
   * intervals, and by each courier at different times.
   */
  @Test
  void unavailableEndpointList_isRequestedWithinBoundsAndWithJitter() {
    final List<Long> lastRequestsUs = new ArrayList<>();
    for (int index = 0; index < 14; index++) {
      final ScriptedController scripted =
          new ScriptedController(
              ScriptedController.settings(16, 1, false, true), ScriptedController.seed(index));
      scripted.applyEndpointList(
          EndpointUpdate.RESTORED_SNAPSHOT,
          ScriptedController.endpoint(1, ScriptedController.DESTINATION, "a"));
      int failures = 0;
      while (failures < 100) {
        if (scripted.subscriptions > failures) {
          failures = scripted.subscriptions;
          scripted.applyEndpointList(EndpointUpdate.UNAVAILABLE);
        }
        scripted.advance(10 * MS);
      }
      assertTrue(
          scripted.nowUs - 5 * SECOND > 100 * SECOND,
          "a hundred requests within " + scripted.nowUs / SECOND + " s");
      lastRequestsUs.add(scripted.nowUs);
      scripted.accept("m", SAFE);
      assertEquals(1, scripted.attempts("m"), "the courier serves from the list that it knows");
    }
    assertTrue(
        lastRequestsUs.stream().distinct().count() > 10,
        "couriers request the list at the same times: " + lastRequestsUs);
  }

  /**
   * A reported rate of 0 means that none is reported: there is no rate share to keep to or to
   * divide by.
   */
  @Test
  void reportedRateOfZero_isNoLimit() {
    final ScriptedController scripted =
        new ScriptedController(ScriptedController.fleetWithReportedLimit(14), 1);
    scripted.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT,
        new Endpoint(1, EndpointState.LISTED, "a", 0, 0, ScriptedController.DESTINATION));
    for (int index = 0; index < 4; index++) {
      scripted.accept("m" + index, SAFE);
    }
    assertEquals(4, scripted.sentCalls.size());
    // With a reported rate of 0.5 the share is a fourteenth: one call now, the next in half a
    // minute.
    scripted.applyEndpointList(
        EndpointUpdate.CHANGES,
        new Endpoint(1, EndpointState.LISTED, "a", 0.5, 0, ScriptedController.DESTINATION));
    for (int index = 0; index < 4; index++) {
      scripted.endAttempt("m" + index, AttemptResult.DELIVERED);
      scripted.accept("n" + index, SAFE);
    }
    assertEquals(5, scripted.sentCalls.size());
    scripted.advance(10 * SECOND);
    assertEquals(5, scripted.sentCalls.size());
  }

  /** Settings of a fleet without couriers are rejected with a message when they are read. */
  @Test
  void fleetWithoutCouriers_isRejected() {
    final IllegalArgumentException rejected =
        assertThrows(IllegalArgumentException.class, () -> ScriptedController.fleetOf(0));
    assertEquals("a fleet has at least one courier, not 0", rejected.getMessage());
  }
}
