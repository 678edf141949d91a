package thistleturn.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.testkit.StandInClient;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInWorld;
import thistleturn.testkit.rig.RealFleet;
import thistleturn.testkit.rig.Schedule;

/**
 * A fleet of real couriers under load, a third of which is paused at a time: no endpoint is
 * considered faulty because of a pause, and no message is lost.
 */
@Tag("health")
final class PausedFleetTest {
  private static final long TIMEOUT_MS = 8000;

  @Test
  void thirdOfFleetPausedInTurn_keepsDeliveryRules(@TempDir final Path folder) throws IOException {
    final Schedule schedule =
        Schedule.parse(
            """
                members 6
                seed 61
                end 17s
                at 2s pause 0,1 for 3s
                at 6s pause 2,3 for 3s
                at 10s pause 4,5 for 3s
                """);
    final List<StandInClient> clients = new ArrayList<>();
    try (StandInWorld world = new StandInWorld(folder, schedule.seed())) {
      for (int destination = 1; destination <= 3; destination++) {
        final StandInEndpoint endpoint = world.endpoint(destination);
        endpoint.setBehavior(StandInEndpoint.Behavior.deliverAfter(20));
        world.platform.announce(endpoint, "Ready", 1000);
      }
      try (RealFleet fleet =
          new RealFleet(
              folder, schedule, world.platform.address(), world.platform.known(), "", 5000)) {
        fleet.onAgreement(
            () -> {
              for (int number = 0; number < schedule.members(); number++) {
                final StandInClient client = world.client("c" + number + "-");
                client.setCourierAddress(fleet.clientAddress(number));
                clients.add(client);
                world.startLoad(client, 20, TIMEOUT_MS, 1, 2, 3);
              }
            });
        fleet.at(16_000, world::stopSubmitting);
        fleet.run();
        assertEquals(List.of(), fleet.checker().violations(), () -> fleet.recentLines().toString());
        world.await(
            "an outcome for every message",
            () ->
                clients.stream().allMatch(client -> client.pendingRequests() <= 0)
                    && world.ruleChecker.allEnded());
        assertEquals(
            List.of(),
            world.ruleChecker.finish(world.clock.nowUs()),
            () -> fleet.recentLines().toString());
        final Map<String, Integer> outcomes = world.ruleChecker.outcomeCounts();
        final int total = outcomes.values().stream().mapToInt(Integer::intValue).sum();
        assertTrue(
            total > 1000 && outcomes.getOrDefault("delivered", 0) >= 0.98 * total,
            outcomes::toString);
        assertTrue(
            fleet.recentLines().stream().anyMatch(line -> line.contains("did not run for")),
            "no courier noticed its pause");
      } finally {
        clients.forEach(StandInClient::close);
      }
    }
  }
}
