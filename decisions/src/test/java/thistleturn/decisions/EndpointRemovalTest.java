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

/** Memory does not grow with the endpoints and destinations that have been removed. */
@Tag("mass")
final class EndpointRemovalTest {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;
  private static final int SAFE = 0;
  private static final int ROUNDS = 10;
  private static final int ENDPOINTS_PER_ROUND = 100;
  private static final long FIRST_DESTINATION = 10_000;

  private static Endpoint endpoint(final int round, final int index, final EndpointState state) {
    final long number = 1L + round * ((long) ENDPOINTS_PER_ROUND) + index;
    return new Endpoint(number, state, "a", 20, 0, FIRST_DESTINATION + number);
  }

  /**
   * Memory bound for runs of 45 minutes, checked in a shorter one: a thousand endpoints, each of
   * its own destination, are listed and removed in ten rounds, 90 s apart.
   */
  @Test
  void removedEndpoints_leaveNoStateBehind() {
    final ScriptedController scripted =
        new ScriptedController(ScriptedController.fleetWithReportedLimit(100), 3);
    scripted.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT,
        ScriptedController.endpoint(5_000_000, ScriptedController.DESTINATION, "a"));
    int mostDestinations = 0;
    int messages = 0;
    for (int round = 0; round < ROUNDS; round++) {
      final List<Endpoint> added = new ArrayList<>();
      final List<Endpoint> removed = new ArrayList<>();
      for (int index = 0; index < ENDPOINTS_PER_ROUND; index++) {
        added.add(endpoint(round, index, EndpointState.LISTED));
        removed.add(endpoint(round, index, EndpointState.GONE));
      }
      scripted.applyEndpointList(EndpointUpdate.CHANGES, added.toArray(Endpoint[]::new));
      for (int index = 0; index < ENDPOINTS_PER_ROUND; index++) {
        final String id = "m" + messages++;
        scripted.acceptFor(
            id, SAFE, FIRST_DESTINATION + 1L + round * ((long) ENDPOINTS_PER_ROUND) + index);
        scripted.controller.decide(scripted.nowUs);
        assertEquals(1, scripted.attempts(id), "sent at once");
        scripted.advance(10 * MS);
        scripted.endAttempt(id, index % 3 == 0 ? AttemptResult.TIMED_OUT : AttemptResult.DELIVERED);
      }
      mostDestinations = Math.max(mostDestinations, scripted.controller.destinationCount());
      scripted.applyEndpointList(EndpointUpdate.CHANGES, removed.toArray(Endpoint[]::new));
      scripted.advance(90 * SECOND);
    }
    assertTrue(
        mostDestinations >= ENDPOINTS_PER_ROUND && mostDestinations <= 2 * ENDPOINTS_PER_ROUND,
        "destinations known at most: " + mostDestinations);
    assertEquals(
        1,
        scripted.controller.destinationCount(),
        "only the destination whose endpoint stays is known");
    assertEquals(1, scripted.controller.routes().size());
    assertEquals(List.of(), scripted.controller.learnedState().endpoints());
    assertEquals(List.of(), scripted.controller.avoidedEndpoints());
    assertEquals(0, scripted.controller.callsInFlight());
  }
}
