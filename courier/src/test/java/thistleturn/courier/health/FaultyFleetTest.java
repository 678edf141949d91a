package thistleturn.courier.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.FreePorts;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInEndpoint.Action;
import thistleturn.testkit.StandInEndpoint.Behavior;
import thistleturn.testkit.StandInWorld;
import thistleturn.testkit.rig.ChildProcess;

/**
 * Couriers that lose all outgoing connectivity, or are paused while one takes over from the other.
 */
@Tag("health")
final class FaultyFleetTest {
  private static final long TIMEOUT_MS = 8000;

  @TempDir private Path folder;

  private static List<StandInEndpoint> endpoints(final StandInWorld world, final int destinations) {
    final List<StandInEndpoint> endpoints = new ArrayList<>();
    for (int index = 0; index < 2 * destinations; index++) {
      final StandInEndpoint endpoint = world.endpoint(1 + index / 2);
      endpoint.setBehavior(Behavior.deliverAfter(10));
      world.platform.announce(endpoint, "Ready", 2000);
      endpoints.add(endpoint);
    }
    return endpoints;
  }

  private static int delivered(final StandInWorld world) {
    return world.ruleChecker.outcomeCounts().getOrDefault("delivered", 0);
  }

  /**
   * Clients reach the courier, but it reaches neither destinations nor the platform. It must report
   * that as its own fault rather than as outages, and resume calls to all destinations with the
   * first answer.
   */
  @Test
  void egressLost_isReportedAndRecoversTogether() throws Exception {
    try (StandInWorld world = new StandInWorld(folder, 3)) {
      final List<StandInEndpoint> endpoints = endpoints(world, 3);
      try (ChildProcess courier =
          ChildProcess.java(
              world.environment(CourierFiles.Size.usual()), "", "thistleturn.courier.Main")) {
        world.client.setCourierAddress(courier.awaitReadyAddress());
        world.startLoad(30, TIMEOUT_MS, 1, 2, 3);
        world.await("calls", () -> delivered(world) > 200);
        world.platform.setUnresponsive(true);
        endpoints.forEach(endpoint -> endpoint.setBehavior(Behavior.of(Action.NO_ANSWER)));
        courier.await(line -> line.contains("own health: cut_off"));
        final int before = delivered(world);
        final long restoredUs = world.clock.nowUs();
        world.platform.setUnresponsive(false);
        endpoints.forEach(endpoint -> endpoint.setBehavior(Behavior.deliverAfter(10)));
        courier.await(line -> line.contains("had no way out for "));
        world.await("calls after the recovery", () -> delivered(world) > before + 60);
        final long recoveryMs = (world.clock.nowUs() - restoredUs) / 1000;
        assertTrue(recoveryMs < 6000, "recovered after " + recoveryMs + " ms");
        final long otherViolations =
            world.stopLoadAndCheck(TIMEOUT_MS).stream()
                .filter(violation -> !violation.toString().contains("sent after it was delivered"))
                .count();
        assertEquals(
            0, otherViolations, () -> world.ruleChecker.finish(world.clock.nowUs()).toString());
      }
    }
  }

  /**
   * A newer process takes over while it, or the older one, is paused at a random moment for longer
   * than any step of the takeover takes.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4})
  void handoverWithPausedProcess_losesNothing(final int seed) throws Exception {
    final Random random = new Random(seed);
    try (StandInWorld world = new StandInWorld(folder, seed)) {
      endpoints(world, 2);
      final Map<String, String> older = new HashMap<>(world.environment(CourierFiles.Size.usual()));
      older.put("PROXY_LISTEN", "127.0.0.1:" + FreePorts.next());
      older.put("PROXY_OPERATOR", "127.0.0.1:" + FreePorts.next());
      final Map<String, String> newer = new HashMap<>(older);
      newer.put("PROXY_OPERATOR", "127.0.0.1:" + FreePorts.next());
      try (ChildProcess first = ChildProcess.java(older, "", "thistleturn.courier.Main")) {
        world.client.setCourierAddress(first.awaitReadyAddress());
        world.startLoad(60, TIMEOUT_MS, 1, 2);
        world.await("calls", () -> delivered(world) > 100);
        try (ChildProcess second = ChildProcess.java(newer, "", "thistleturn.courier.Main")) {
          second.await(line -> line.contains("takes over"));
          final ChildProcess paused = seed % 2 == 0 ? first : second;
          final long pauseUs = world.clock.nowUs() + random.nextInt(400_000);
          world.await("the start of the pause", () -> world.clock.nowUs() >= pauseUs);
          paused.pause();
          final long resumeUs = world.clock.nowUs() + 500_000 + random.nextInt(1_000_000);
          world.await("the end of the pause", () -> world.clock.nowUs() >= resumeUs);
          paused.resume();
          second.awaitReadyAddress();
          first.terminate();
          final int before = delivered(world);
          world.await("calls by the newer process", () -> delivered(world) > before + 100);
          assertEquals(List.of(), world.stopLoadAndCheck(TIMEOUT_MS));
        }
      }
    }
  }
}
