package thistleturn.courier;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInEndpoint.Behavior;
import thistleturn.testkit.StandInWorld;

/**
 * Planned restarts, one after another, under clients that keep using their connections while these
 * are open. Signals are sent in series, and some restarts happen with many idle connections. Every
 * run plays a few seeds; {@code -Dshutdown.seeds} and {@code -Dshutdown.first} choose others.
 */
@Tag("faults")
final class ShutdownSoakTest {
  private static final int SEEDS = Integer.getInteger("shutdown.seeds", 4);
  private static final int FIRST_SEED = Integer.getInteger("shutdown.first", 1);
  private static final int ENDPOINTS = 4;
  private static final int RESTARTS = 3;
  private static final double RATE = 150;
  private static final long TIMEOUT_MS = 4000;

  @TempDir private Path folder;

  static Stream<Integer> seeds() {
    return IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS).boxed();
  }

  /** Guards against requests that a process reads and never answers during graceful shutdown. */
  @ParameterizedTest
  @MethodSource("seeds")
  void restartsUnderPersistentClients_loseNothing(final int seed) throws IOException {
    final Random random = new Random(seed);
    try (StandInWorld world = new StandInWorld(folder, seed)) {
      for (int index = 0; index < ENDPOINTS; index++) {
        final StandInEndpoint endpoint = world.endpoint(1 + index / 2);
        endpoint.setBehavior(Behavior.deliverAfter(5 + random.nextInt(100)));
        world.platform.announce(endpoint, "Ready", 2000);
      }
      try (RestartedCourier courier =
          new RestartedCourier(world, world.environment(CourierFiles.Size.usual()), random)) {
        courier.start();
        world.startLoad(RATE, TIMEOUT_MS, 1, 2);
        for (int restart = 0; restart < RESTARTS; restart++) {
          courier.restart(false, 500, 1500);
        }
        courier.waitUnderLoad(500);
        courier.assertNoRuleBroken("seed " + seed, TIMEOUT_MS, false);
      }
    }
  }
}
