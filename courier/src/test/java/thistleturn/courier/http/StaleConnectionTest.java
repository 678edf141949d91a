package thistleturn.courier.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.courier.CourierServer;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInWorld;

/**
 * Endpoints behind a middlebox that drops idle connections silently, so that only the reset of the
 * next call reveals the loss.
 */
@Tag("connections")
final class StaleConnectionTest {
  private static final long TIMEOUT_MS = 4000;

  /** Both endpoints of the destination drop all idle connections for two seconds. */
  @Test
  void staleConnections_doNotDelayDeliveries(@TempDir final Path folder) throws Exception {
    try (StandInWorld world = new StandInWorld(folder, 5)) {
      final List<StandInEndpoint> endpoints = List.of(world.endpoint(1), world.endpoint(1));
      for (final StandInEndpoint endpoint : endpoints) {
        endpoint.setBehavior(StandInEndpoint.Behavior.deliverAfter(100));
        world.platform.announce(endpoint, "Ready", 1000);
      }
      final CourierServer courier =
          CourierServer.start(world.environment(CourierFiles.Size.usual()));
      try {
        world.client.setCourierAddress(courier.ready().get(10, TimeUnit.SECONDS));
        world.startLoad(200, TIMEOUT_MS, 1);
        world.await("deliveries", () -> delivered(world) > 50);
        endpoints.forEach(endpoint -> endpoint.server().resetReusedConnections(true));
        final int before = delivered(world);
        final long fromUs = world.clock.nowUs();
        world.await("400 further deliveries", () -> delivered(world) > before + 400);
        final long tookMs = (world.clock.nowUs() - fromUs) / 1000;
        endpoints.forEach(endpoint -> endpoint.server().resetReusedConnections(false));
        assertEquals(List.of(), world.stopLoadAndCheck());
        // Non-idempotent messages sent over a stale connection fail; the others are delivered
        // almost at once, which takes 1.2 to 1.5 s. It would take over 7 s if stale connections
        // were counted as endpoint faults.
        assertTrue(tookMs < 4500, "400 deliveries took " + tookMs + " ms at 200 messages a second");
      } finally {
        courier.kill();
      }
    }
  }

  private static int delivered(final StandInWorld world) {
    return world.ruleChecker.outcomeCounts().getOrDefault("delivered", 0);
  }
}
