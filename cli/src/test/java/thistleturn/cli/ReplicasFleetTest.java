package thistleturn.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.testkit.StandInClient;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInEndpoint.Action;
import thistleturn.testkit.StandInEndpoint.Behavior;
import thistleturn.testkit.StandInWorld;
import thistleturn.testkit.rig.RealFleet;
import thistleturn.testkit.rig.Schedule;

/**
 * Replication among real couriers under load, each pair of which is connected by a relay in each
 * direction that injects faults.
 */
@Tag("replicas")
final class ReplicasFleetTest {
  /** The number of members in each schedule. */
  private static final int COURIERS = 4;

  private static final long AWAIT_MS = 15_000;
  private static final long TIMEOUT_MS = 8000;
  private static final String REPLICAS = "[replicas]\nenabled = true\n";

  @TempDir private Path folder;

  private StandInWorld world;
  private RealFleet fleet;
  private final List<StandInClient> clients = new ArrayList<>();
  private final List<StandInEndpoint> endpoints = new ArrayList<>();

  private interface Script {
    void play() throws IOException;
  }

  private void play(final String schedule, final Script script) throws IOException {
    final Schedule parsed = Schedule.parse(schedule);
    try (StandInWorld opened = new StandInWorld(folder, parsed.seed())) {
      world = opened;
      for (final int destination : new int[] {1, 1, 2}) {
        final StandInEndpoint endpoint = world.endpoint(destination);
        world.platform.announce(endpoint, "Ready", 1000);
        endpoints.add(endpoint);
      }
      try (RealFleet started =
          new RealFleet(
              folder, parsed, world.platform.address(), world.platform.known(), REPLICAS, 5000)) {
        fleet = started;
        fleet.onAgreement(
            () -> {
              for (int number = 0; number < parsed.members(); number++) {
                final StandInClient client = world.client("c" + number + "-");
                client.setCourierAddress(fleet.clientAddress(number));
                clients.add(client);
              }
            });
        script.play();
        fleet.run();
        assertEquals(List.of(), fleet.checker().violations(), () -> fleet.recentLines().toString());
      } finally {
        clients.forEach(StandInClient::close);
      }
    }
  }

  private static void await(
      final String what, final RealFleet of, final BooleanSupplier condition) {
    final long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_MS);
    while (!condition.getAsBoolean()) {
      assertTrue(
          System.nanoTime() < untilNs,
          () -> "timed out waiting for: " + what + ": " + of.recentLines());
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
    }
  }

  /** Whether a courier excludes an endpoint because of an operator's decision. */
  private boolean isExcluded(final int number, final String endpoint) {
    final JsonNode routes = fleet.fetchPage(number, "lanes");
    boolean found = false;
    for (final JsonNode route : routes == null ? List.<JsonNode>of() : routes) {
      for (final JsonNode constraint : route.path("said")) {
        found |=
            constraint.path("what").asText().equals("exclusion")
                && constraint.path("endpoint").asText().equals(endpoint);
      }
    }
    return found;
  }

  private void awaitExcludedEverywhere(final String endpoint) {
    for (int number = 0; number < COURIERS; number++) {
      final int courier = number;
      await("excluded at " + courier, fleet, () -> isExcluded(courier, endpoint));
    }
  }

  private void awaitServingEverywhere(final String endpoint) {
    for (int number = 0; number < COURIERS; number++) {
      final int courier = number;
      await("may serve at " + courier, fleet, () -> !isExcluded(courier, endpoint));
    }
  }

  private void deliver(final int number, final int count, final int destination) {
    for (int message = 0; message < count; message++) {
      clients.get(number).submit("safe", destination, TIMEOUT_MS);
    }
  }

  private String run(final int code, final String... args) {
    final StringWriter out = new StringWriter();
    assertEquals(
        code, Main.commandLine().setOut(new PrintWriter(out)).execute(args), out::toString);
    return out.toString();
  }

  /**
   * An endpoint that an operator excludes at one courier gets no calls from any, also after a
   * restart, until an operator lets it serve again.
   */
  @Test
  void endpointExcludedAtOneCourier_isExcludedByAll() throws IOException {
    play(
        """
                members 4
                seed 51
                end 15s
                at 0s loss 0.05
                at 4s kill 2
                at 6s start 2
                """,
        () -> {
          fleet.at(
              1000,
              () -> {
                final StandInEndpoint first = endpoint(0);
                assertTrue(fleet.setDisabled(0, first.name(), true));
                awaitExcludedEverywhere(first.name());
                final long before = first.calls();
                for (int number = 0; number < COURIERS; number++) {
                  deliver(number, 10, 1);
                }
                await("all delivered", fleet, () -> allEnded());
                assertEquals(before, first.calls(), "no call to the excluded endpoint");
              });
          fleet.at(
              9000,
              () -> {
                await(
                    "excluded again after the restart",
                    fleet,
                    () -> isExcluded(2, endpoint(0).name()));
                assertTrue(
                    run(0, "state", "why", endpoint(0).name(), "--at", fleet.adminAddress(2))
                        .contains("left out: the last word counts"));
                await(
                    "equal state everywhere",
                    fleet,
                    () ->
                        fleet
                            .fetchPage(2, "state")
                            .path("sum")
                            .equals(fleet.fetchPage(0, "state").path("sum")));
                assertTrue(
                    run(0, "state", "diff", fleet.adminAddress(0), fleet.adminAddress(2))
                        .startsWith("both hold the same"));
                // The decision at another courier is based on the first one, so it replaces it.
                assertTrue(fleet.setDisabled(3, endpoint(0).name(), false));
                awaitServingEverywhere(endpoint(0).name());
                assertTrue(
                    run(0, "state", "show", "--at", fleet.adminAddress(1)).contains("may serve"));
              });
        });
  }

  private StandInEndpoint endpoint(final int number) {
    return endpoints.get(number);
  }

  private boolean allEnded() {
    return clients.stream().allMatch(client -> client.pendingRequests() <= 0)
        && world.ruleChecker.allEnded();
  }

  /** Concurrent opposite decisions: the endpoint stays excluded, and all couriers report them. */
  @Test
  void oppositeDecisionsInSplit_keepEndpointExcludedAndAreReported() throws IOException {
    play(
        """
                members 4
                seed 52
                end 16s
                at 1s cut 0,1 <-> 2,3 for 6s
                """,
        () -> {
          fleet.at(500, () -> assertTrue(fleet.setDisabled(0, endpoint(0).name(), true)));
          fleet.at(
              3000,
              () -> {
                await("excluded before the cut", fleet, () -> isExcluded(3, endpoint(0).name()));
                assertTrue(fleet.setDisabled(1, endpoint(0).name(), false));
                assertTrue(fleet.setDisabled(2, endpoint(0).name(), true));
              });
          fleet.at(
              14_000,
              () -> {
                awaitExcludedEverywhere(endpoint(0).name());
                await(
                    "every courier reports the conflict",
                    fleet,
                    () ->
                        fleet.recentLines().stream()
                                .filter(line -> line.contains("neither knowing of the other"))
                                .map(line -> line.substring(0, 3))
                                .distinct()
                                .count()
                            == 4);
                assertTrue(
                    run(0, "state", "show", "--at", fleet.adminAddress(0))
                        .contains("left out, disputed"));
              });
        });
  }

  /** A Retry-After to one courier binds the others for its duration, and no longer. */
  @Test
  void retryAfterToOneCourier_bindsAll() throws IOException {
    play(
        """
                members 4
                seed 53
                end 10s
                """,
        () ->
            fleet.at(
                1000,
                () -> {
                  final StandInEndpoint third = endpoint(2);
                  deliver(0, 1, 2);
                  await("served", fleet, () -> allEnded());
                  third.setBehavior(new Behavior(Action.REJECT, 0, 3000));
                  final long before = third.calls();
                  deliver(0, 1, 2);
                  await("refused", fleet, () -> third.calls() == before + 1);
                  final long retryAfterNs = System.nanoTime();
                  third.setBehavior(Behavior.deliverAfter(0));
                  await(
                      "all others wait", fleet, () -> isWaiting(1) && isWaiting(2) && isWaiting(3));
                  assertTrue(
                      TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - retryAfterNs) < 1500,
                      "received too late to be useful");
                  for (int number = 1; number < COURIERS; number++) {
                    deliver(number, 2, 2);
                  }
                  await(
                      "the end of the wait",
                      fleet,
                      () -> {
                        if (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - retryAfterNs)
                            < 2900) {
                          assertEquals(before + 1, third.calls(), "a call during the wait");
                        }
                        return allEnded();
                      });
                  assertTrue(
                      TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - retryAfterNs) < 7500,
                      "bound for longer than the wait");
                }));
  }

  private boolean isWaiting(final int number) {
    final JsonNode routes = fleet.fetchPage(number, "lanes");
    boolean found = false;
    for (final JsonNode route : routes == null ? List.<JsonNode>of() : routes) {
      for (final JsonNode constraint : route.path("said")) {
        found |=
            constraint.path("what").asText().equals("wait")
                && constraint.path("by").asText().equals("fleet: n00");
      }
    }
    return found;
  }
}
