package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.Courier.Condition;
import thistleturn.decisions.Courier.Result;

/** A long day: what has left is not kept, however much has come and gone. */
@Tag("mass")
final class ForgettingTest {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;
  private static final int SAFE = 0;
  private static final int ROUNDS = 10;
  private static final int AT_ONCE = 100;
  private static final long OTHER = 10_000;

  private static Courier.Endpoint endpoint(
      final int round, final int index, final Condition condition) {
    final long number = 1L + round * ((long) AT_ONCE) + index;
    return new Courier.Endpoint(number, condition, "a", 20, 0, OTHER + number);
  }

  /**
   * Memory over 45 minutes: a thousand endpoints, each of a destination of its own, in ten waves a
   * minute apart.
   */
  @Test
  void aThousandEndpointsComeAndGoAndNothingOfThemStays() {
    final Scene one = new Scene(Scene.toldFleetOf(100), 3);
    one.list(Courier.Update.RESTORED, Scene.endpoint(5_000_000, Scene.DEST, "a"));
    int most = 0;
    int messages = 0;
    for (int round = 0; round < ROUNDS; round++) {
      final List<Courier.Endpoint> come = new ArrayList<>();
      final List<Courier.Endpoint> go = new ArrayList<>();
      for (int index = 0; index < AT_ONCE; index++) {
        come.add(endpoint(round, index, Condition.LISTED));
        go.add(endpoint(round, index, Condition.GONE));
      }
      one.list(Courier.Update.CHANGES, come.toArray(Courier.Endpoint[]::new));
      for (int index = 0; index < AT_ONCE; index++) {
        final String id = "m" + messages++;
        one.takeFor(id, SAFE, OTHER + 1L + round * ((long) AT_ONCE) + index);
        one.control.decide(one.nowUs);
        assertEquals(1, one.count(id), "goes at once");
        one.pass(10 * MS);
        one.end(id, index % 3 == 0 ? Result.TIMED_OUT : Result.DELIVERED);
      }
      most = Math.max(most, one.control.destinationsKnown());
      one.list(Courier.Update.CHANGES, go.toArray(Courier.Endpoint[]::new));
      one.pass(90 * SECOND);
    }
    assertTrue(most >= AT_ONCE && most <= 2 * AT_ONCE, "known at most " + most);
    assertEquals(1, one.control.destinationsKnown(), "the one that stayed");
    assertEquals(1, one.control.lanes().size());
    assertEquals(List.of(), one.control.memory().nodes());
    assertEquals(List.of(), one.control.avoided());
    assertEquals(0, one.control.callsOut());
  }
}
