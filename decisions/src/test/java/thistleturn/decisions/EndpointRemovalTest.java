package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;

/** A long day: what has left is not kept, however much has come and gone. */
@Tag("mass")
final class EndpointRemovalTest {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;
  private static final int SAFE = 0;
  private static final int ROUNDS = 10;
  private static final int AT_ONCE = 100;
  private static final long OTHER = 10_000;

  private static Endpoint endpoint(
      final int round, final int index, final EndpointState condition) {
    final long number = 1L + round * ((long) AT_ONCE) + index;
    return new Endpoint(number, condition, "a", 20, 0, OTHER + number);
  }

  /**
   * Memory over 45 minutes: a thousand endpoints, each of a destination of its own, in ten waves a
   * minute apart.
   */
  @Test
  void removedEndpoints_leaveNothingBehind() {
    final ScriptedController one =
        new ScriptedController(ScriptedController.fleetWithReportedLimit(100), 3);
    one.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT,
        ScriptedController.endpoint(5_000_000, ScriptedController.DESTINATION, "a"));
    int most = 0;
    int messages = 0;
    for (int round = 0; round < ROUNDS; round++) {
      final List<Endpoint> come = new ArrayList<>();
      final List<Endpoint> go = new ArrayList<>();
      for (int index = 0; index < AT_ONCE; index++) {
        come.add(endpoint(round, index, EndpointState.LISTED));
        go.add(endpoint(round, index, EndpointState.GONE));
      }
      one.applyEndpointList(EndpointUpdate.CHANGES, come.toArray(Endpoint[]::new));
      for (int index = 0; index < AT_ONCE; index++) {
        final String id = "m" + messages++;
        one.acceptFor(id, SAFE, OTHER + 1L + round * ((long) AT_ONCE) + index);
        one.controller.decide(one.nowUs);
        assertEquals(1, one.attempts(id), "goes at once");
        one.advance(10 * MS);
        one.endAttempt(id, index % 3 == 0 ? AttemptResult.TIMED_OUT : AttemptResult.DELIVERED);
      }
      most = Math.max(most, one.controller.destinationCount());
      one.applyEndpointList(EndpointUpdate.CHANGES, go.toArray(Endpoint[]::new));
      one.advance(90 * SECOND);
    }
    assertTrue(most >= AT_ONCE && most <= 2 * AT_ONCE, "known at most " + most);
    assertEquals(1, one.controller.destinationCount(), "the one that stayed");
    assertEquals(1, one.controller.routes().size());
    assertEquals(List.of(), one.controller.learnedState().endpoints());
    assertEquals(List.of(), one.controller.avoidedEndpoints());
    assertEquals(0, one.controller.callsInFlight());
  }
}
