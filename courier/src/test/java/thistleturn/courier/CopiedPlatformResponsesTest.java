package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.ResponseCopier;
import thistleturn.testkit.ResponseCopier.Plan;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInEndpoint.Action;
import thistleturn.testkit.StandInEndpoint.Behavior;
import thistleturn.testkit.StandInWorld;
import thistleturn.testkit.rig.ChildProcess;

/** A platform whose confirmations and list changes are delivered twice. */
@Tag("connections")
final class CopiedPlatformResponsesTest {
  private static final long SEED = 5;
  private static final double RATE = 150;
  private static final long LOAD_MS = 4000;
  private static final long TIMEOUT_MS = 1500;
  private static final long US_PER_MS = 1000;
  private static final double RESET_SHARE = 0.2;

  @TempDir private Path folder;

  private static ChildProcess start(final StandInWorld world) throws IOException {
    final ChildProcess courier =
        ChildProcess.java(
            world.environment(CourierFiles.Size.usual()), "", "thistleturn.courier.Main");
    world.client.setCourierAddress(courier.awaitReadyAddress());
    return courier;
  }

  /** Guards against a copied confirmation that ends outcomes which the platform never read. */
  @ParameterizedTest
  @ValueSource(longs = {0, 12, 400})
  void copiedConfirmation_confirmsNoLaterOutcome(final long lagMs) throws IOException {
    try (StandInWorld world = new StandInWorld(folder, SEED)) {
      final StandInEndpoint endpoint = world.endpoint(1);
      endpoint.setBehavior(Behavior.of(Action.UNAVAILABLE));
      world.platform.announce(endpoint, "Ready", 1000);
      final ResponseCopier copier =
          new ResponseCopier(Plan.ofShare(0.5, lagMs, lagMs + 5).ofStatus(204), SEED);
      world.platform.server().copyResponses(copier, () -> {});
      world.platform.resetNotices(RESET_SHARE, SEED);
      try (ChildProcess courier = start(world)) {
        world.startLoad(RATE, TIMEOUT_MS, 1);
        world.waitUntil(world.clock.nowUs() + LOAD_MS * US_PER_MS);
        assertEquals(
            List.of(), world.stopLoadAndCheck(TIMEOUT_MS), () -> courier.lines().toString());
        assertTrue(world.ruleChecker.outcomeCounts().toString().contains("deferred"));
      }
    }
  }

  /** Guards against an older line of the watch that makes a draining endpoint available again. */
  @ParameterizedTest
  @ValueSource(longs = {0, 5, 300})
  void repeatedOlderChange_bringsNoCallsToDrainingEndpoint(final long lagMs) throws IOException {
    try (StandInWorld world = new StandInWorld(folder, SEED)) {
      final StandInEndpoint draining = world.endpoint(1);
      world.platform.announce(world.endpoint(1), "Ready", 1000);
      world.platform.announce(draining, "Ready", 1000);
      try (ChildProcess courier = start(world)) {
        world.await("the watch", world.platform::isWatched);
        world.platform.announce(draining, "Ready", 999);
        world.startLoad(RATE, TIMEOUT_MS, 1);
        world.await("calls", () -> draining.calls() > 0);
        world.platform.announce(draining, "Terminating", 999);
        world.waitUntil(world.clock.nowUs() + lagMs * US_PER_MS);
        world.platform.repeatChange(1);
        world.waitUntil(world.clock.nowUs() + LOAD_MS * US_PER_MS);
        assertEquals(
            List.of(), world.stopLoadAndCheck(TIMEOUT_MS), () -> courier.lines().toString());
      }
    }
  }
}
