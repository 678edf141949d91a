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
 * What is harmless in one courier and harmful when all of a fleet do it: several, each with a seed
 * of its own.
 */
@Tag("fleet")
final class LargeFleetTest {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;
  private static final int SAFE = 0;

  /** Of so many couriers that have each had one call served, those that keep its connection. */
  private static List<ScriptedController> keepers(final int couriers) {
    final List<ScriptedController> keepers = new ArrayList<>();
    for (int index = 0; index < couriers; index++) {
      final ScriptedController one =
          new ScriptedController(
              ScriptedController.fleetOf(couriers), ScriptedController.seed(index));
      one.applyEndpointList(
          EndpointUpdate.RESTORED_SNAPSHOT,
          ScriptedController.endpoint(1, ScriptedController.DESTINATION, "b"),
          ScriptedController.endpoint(2, ScriptedController.DESTINATION, "a"));
      one.accept("m0", SAFE);
      one.advance(200 * MS);
      one.endAttempt("m0", AttemptResult.DELIVERED);
      if (one.endpointsClosedIdle.isEmpty()) {
        keepers.add(one);
      }
    }
    return keepers;
  }

  /** Fleet days: each call of fourteen couriers paid a handshake, since none kept a connection. */
  @Test
  void largeFleet_keepsNoMoreConnectionsThanEndpointAllows() {
    for (final int couriers : List.of(8, 14, 25)) {
      final int most = keepers(couriers).size();
      assertTrue(
          most >= 3 && most <= 14,
          couriers + " couriers keep " + most + " connections to two endpoints");
    }
  }

  /**
   * Days of a hundred couriers: idle connections took a fifth of the endpoints' places, and one
   * call in ten met none.
   */
  @Test
  void vastFleet_keepsNoUnneededConnections() {
    for (final int couriers : List.of(26, 100)) {
      assertEquals(0, keepers(couriers).size());
    }
    final ScriptedController one = new ScriptedController(ScriptedController.fleetOf(100), 1);
    one.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT,
        ScriptedController.endpoint(1, ScriptedController.DESTINATION, "a"));
    for (int index = 0; index < 16; index++) {
      one.accept("m" + index, SAFE);
    }
    final int atOnce = one.sentCalls.size();
    assertTrue(atOnce < 16, "all go at once");
    one.advance(200 * MS);
    one.endAttempt("m0", AttemptResult.DELIVERED);
    assertEquals(List.of(), one.endpointsClosedIdle, "the next message is there already");
    assertTrue(one.sentCalls.size() > atOnce, "sent " + one.sentCalls.size());
  }

  /** Of a lane's endpoints one is kept open, a near one: the next message goes there again. */
  @Test
  void keptConnection_isReused() {
    final List<ScriptedController> keepers = keepers(14);
    assertTrue(keepers.size() >= 2, "keepers: " + keepers.size());
    for (final ScriptedController one : keepers) {
      assertEquals(2, one.lastCall("m0").endpoint(), "the near one");
      one.advance(SECOND);
      one.accept("m1", SAFE);
      one.accept("m2", SAFE);
      assertEquals(2, one.lastCall("m1").endpoint());
      one.advance(200 * MS);
      one.endAttempt("m1", AttemptResult.DELIVERED);
      one.endAttempt("m2", AttemptResult.DELIVERED);
      assertEquals(
          1,
          one.endpointsClosedIdle.size(),
          "of two that were open at once one is closed: " + one.endpointsClosedIdle);
    }
  }

  /**
   * A list that is refused a hundred times in a row is asked for ever more rarely, and by each in
   * its own moments.
   */
  @Test
  void unavailableEndpointList_isRequestedWithinBoundsAndWithJitter() {
    final List<Long> lastAsked = new ArrayList<>();
    for (int index = 0; index < 14; index++) {
      final ScriptedController one =
          new ScriptedController(
              ScriptedController.settings(16, 1, false, true), ScriptedController.seed(index));
      one.applyEndpointList(
          EndpointUpdate.RESTORED_SNAPSHOT,
          ScriptedController.endpoint(1, ScriptedController.DESTINATION, "a"));
      int lost = 0;
      while (lost < 100) {
        if (one.subscriptions > lost) {
          lost = one.subscriptions;
          one.applyEndpointList(EndpointUpdate.UNAVAILABLE);
        }
        one.advance(10 * MS);
      }
      assertTrue(
          one.nowUs - 5 * SECOND > 100 * SECOND,
          "a hundred calls within " + one.nowUs / SECOND + " s");
      lastAsked.add(one.nowUs);
      one.accept("m", SAFE);
      assertEquals(1, one.attempts("m"), "it serves from the list that it knows");
    }
    assertTrue(lastAsked.stream().distinct().count() > 10, "in step: " + lastAsked);
  }

  /** A rate of 0 is none told: there is no part to keep to, and none to divide by. */
  @Test
  void reportedRateOfZero_isNoLimit() {
    final ScriptedController one =
        new ScriptedController(ScriptedController.fleetWithReportedLimit(14), 1);
    one.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT,
        new Endpoint(1, EndpointState.LISTED, "a", 0, 0, ScriptedController.DESTINATION));
    for (int index = 0; index < 4; index++) {
      one.accept("m" + index, SAFE);
    }
    assertEquals(4, one.sentCalls.size());
    // With a rate told, a fourteenth of it: one call now, the next in half a minute.
    one.applyEndpointList(
        EndpointUpdate.CHANGES,
        new Endpoint(1, EndpointState.LISTED, "a", 0.5, 0, ScriptedController.DESTINATION));
    for (int index = 0; index < 4; index++) {
      one.endAttempt("m" + index, AttemptResult.DELIVERED);
      one.accept("n" + index, SAFE);
    }
    assertEquals(5, one.sentCalls.size());
    one.advance(10 * SECOND);
    assertEquals(5, one.sentCalls.size());
  }

  /** A fleet of no courier is refused in one line, where the settings are read. */
  @Test
  void fleetWithoutCouriers_isRejected() {
    final IllegalArgumentException refused =
        assertThrows(IllegalArgumentException.class, () -> ScriptedController.fleetOf(0));
    assertEquals("a fleet has at least one courier, not 0", refused.getMessage());
  }
}
