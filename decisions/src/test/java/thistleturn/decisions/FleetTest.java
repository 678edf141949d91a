package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.Courier.Result;

/**
 * What is harmless in one courier and harmful when all of a fleet do it: several, each with a seed
 * of its own.
 */
@Tag("fleet")
final class FleetTest {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;
  private static final int SAFE = 0;

  /** Of so many couriers that have each had one call served, those that keep its connection. */
  private static List<Scene> keepers(final int couriers) {
    final List<Scene> keepers = new ArrayList<>();
    for (int index = 0; index < couriers; index++) {
      final Scene one = new Scene(Scene.fleetOf(couriers), Scene.seed(index));
      one.list(
          Courier.Update.RESTORED,
          Scene.endpoint(1, Scene.DEST, "b"),
          Scene.endpoint(2, Scene.DEST, "a"));
      one.take("m0", SAFE);
      one.pass(200 * MS);
      one.end("m0", Result.DELIVERED);
      if (one.closed.isEmpty()) {
        keepers.add(one);
      }
    }
    return keepers;
  }

  /** Fleet days: each call of fourteen couriers paid a handshake, since none kept a connection. */
  @Test
  void aFewOfAManyKeepAConnectionAndNoMoreThanAnEndpointBears() {
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
  void noneOfAVastFleetKeepsAConnectionThatNothingWaitsFor() {
    for (final int couriers : List.of(26, 100)) {
      assertEquals(0, keepers(couriers).size());
    }
    final Scene one = new Scene(Scene.fleetOf(100), 1);
    one.list(Courier.Update.RESTORED, Scene.endpoint(1, Scene.DEST, "a"));
    for (int index = 0; index < 16; index++) {
      one.take("m" + index, SAFE);
    }
    final int atOnce = one.sent.size();
    assertTrue(atOnce < 16, "all go at once");
    one.pass(200 * MS);
    one.end("m0", Result.DELIVERED);
    assertEquals(List.of(), one.closed, "the next message is there already");
    assertTrue(one.sent.size() > atOnce, "sent " + one.sent.size());
  }

  /** Of a lane's endpoints one is kept open, a near one: the next message goes there again. */
  @Test
  void whoKeepsAConnectionUsesItAgain() {
    final List<Scene> keepers = keepers(14);
    assertTrue(keepers.size() >= 2, "keepers: " + keepers.size());
    for (final Scene one : keepers) {
      assertEquals(2, one.last("m0").endpoint(), "the near one");
      one.pass(SECOND);
      one.take("m1", SAFE);
      one.take("m2", SAFE);
      assertEquals(2, one.last("m1").endpoint());
      one.pass(200 * MS);
      one.end("m1", Result.DELIVERED);
      one.end("m2", Result.DELIVERED);
      assertEquals(
          1, one.closed.size(), "of two that were open at once one is closed: " + one.closed);
    }
  }

  /**
   * A list that is refused a hundred times in a row is asked for ever more rarely, and by each in
   * its own moments.
   */
  @Test
  void aListThatIsNeverHadIsAskedForWithinBoundsAndNotInStep() {
    final List<Long> lastAsked = new ArrayList<>();
    for (int index = 0; index < 14; index++) {
      final Scene one = new Scene(Scene.settings(16, 1, false, true), Scene.seed(index));
      one.list(Courier.Update.RESTORED, Scene.endpoint(1, Scene.DEST, "a"));
      int lost = 0;
      while (lost < 100) {
        if (one.follows > lost) {
          lost = one.follows;
          one.list(Courier.Update.LOST);
        }
        one.pass(10 * MS);
      }
      assertTrue(
          one.nowUs - 5 * SECOND > 100 * SECOND,
          "a hundred calls within " + one.nowUs / SECOND + " s");
      lastAsked.add(one.nowUs);
      one.take("m", SAFE);
      assertEquals(1, one.count("m"), "it serves from the list that it knows");
    }
    assertTrue(lastAsked.stream().distinct().count() > 10, "in step: " + lastAsked);
  }

  /** A rate of 0 is none told: there is no part to keep to, and none to divide by. */
  @Test
  void aToldRateOfNothingIsNoRate() {
    final Scene one = new Scene(Scene.toldFleetOf(14), 1);
    one.list(
        Courier.Update.RESTORED,
        new Courier.Endpoint(1, Courier.Condition.LISTED, "a", 0, 0, Scene.DEST));
    for (int index = 0; index < 4; index++) {
      one.take("m" + index, SAFE);
    }
    assertEquals(4, one.sent.size());
    // With a rate told, a fourteenth of it: one call now, the next in half a minute.
    one.list(
        Courier.Update.CHANGES,
        new Courier.Endpoint(1, Courier.Condition.LISTED, "a", 0.5, 0, Scene.DEST));
    for (int index = 0; index < 4; index++) {
      one.end("m" + index, Result.DELIVERED);
      one.take("n" + index, SAFE);
    }
    assertEquals(5, one.sent.size());
    one.pass(10 * SECOND);
    assertEquals(5, one.sent.size());
  }

  /** A fleet of no courier is refused in one line, where the settings are read. */
  @Test
  void aFleetWithoutCouriersIsRefused() {
    final IllegalArgumentException refused =
        assertThrows(IllegalArgumentException.class, () -> Scene.fleetOf(0));
    assertEquals("a fleet has at least one courier, not 0", refused.getMessage());
  }
}
