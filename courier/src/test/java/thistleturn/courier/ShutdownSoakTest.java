package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
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
import thistleturn.testkit.rig.ChildProcess;

/**
 * Planned restarts, one after another, under clients that keep using their connections while these
 * are open. Signals are sent in series, and some restarts happen with many idle connections. Every
 * run plays a few seeds; {@code -Dshutdown.seeds} and {@code -Dshutdown.first} choose others.
 */
@Tag("faults")
final class ShutdownSoakTest {
  private static final int SEEDS = Integer.getInteger("shutdown.seeds", 4);
  private static final int FIRST_SEED = Integer.getInteger("shutdown.first", 1);
  private static final String MAIN = "thistleturn.courier.Main";
  private static final int ENDPOINTS = 4;
  private static final int RESTARTS = 3;
  private static final int IDLE_CLIENTS = 300;
  private static final double RATE = 150;
  private static final long TIMEOUT_MS = 4000;
  private static final long US_PER_MS = 1000;

  /** The shortest time from SIGTERM to SIGKILL that the platform documents. */
  private static final long KILL_AFTER_US = 3_700_000;

  /** The time from SIGKILL to the next start. */
  private static final long START_AFTER_US = 600_000;

  private static final Pattern ID = Pattern.compile(" id=(\\S+)");

  @TempDir private Path folder;
  private final List<Socket> idleClients = new ArrayList<>();
  private final List<ChildProcess> couriers = new ArrayList<>();

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
      final Map<String, String> environment = world.environment(CourierFiles.Size.usual());
      ChildProcess courier = start(world, environment);
      world.startLoad(RATE, TIMEOUT_MS, 1, 2);
      for (int restart = 0; restart < RESTARTS; restart++) {
        if (random.nextInt(3) == 0) {
          connectIdleClients(courier);
        }
        waitUnderLoad(world, 500 + random.nextInt(1000));
        sendHangupSignals(world, courier, random);
        shutDown(world, courier, random);
        courier = start(world, environment);
        world.ruleChecker.recordRestart(world.clock.nowUs(), true);
        world.client.openConnections(true);
      }
      waitUnderLoad(world, 500);
      assertEquals(
          List.of(), world.stopLoadAndCheck(TIMEOUT_MS), () -> "seed " + seed + logExcerpt());
      assertEquals(Set.of(), readButUnansweredIds(world), () -> "seed " + seed + logExcerpt());
    } finally {
      couriers.forEach(ChildProcess::close);
      for (final Socket client : idleClients) {
        client.close();
      }
    }
  }

  private ChildProcess start(final StandInWorld world, final Map<String, String> environment)
      throws IOException {
    final ChildProcess courier = ChildProcess.java(environment, "", MAIN);
    couriers.add(courier);
    world.client.setCourierAddress(address(courier));
    return courier;
  }

  private static String address(final ChildProcess courier) {
    final String ready = courier.await(line -> line.contains("is ready at "));
    return ready.substring(ready.lastIndexOf(' ') + 1);
  }

  private static void waitUnderLoad(final StandInWorld world, final long ms) {
    world.waitUntil(world.clock.nowUs() + ms * US_PER_MS);
  }

  /** Clients that never send anything. */
  private void connectIdleClients(final ChildProcess courier) throws IOException {
    final String address = address(courier);
    final int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    for (int number = 0; number < IDLE_CLIENTS; number++) {
      idleClients.add(new Socket(InetAddress.getLoopbackAddress(), port));
    }
  }

  private static void sendHangupSignals(
      final StandInWorld world, final ChildProcess courier, final Random random)
      throws IOException {
    for (int count = random.nextInt(4); count > 0; count--) {
      courier.hangUp();
      waitUnderLoad(world, random.nextInt(30));
    }
  }

  /** Sends SIGTERM, in some runs more signals, and checks that the process exits before SIGKILL. */
  private static void shutDown(
      final StandInWorld world, final ChildProcess courier, final Random random)
      throws IOException {
    final long terminatedUs = world.clock.nowUs();
    world.ruleChecker.recordRestart(terminatedUs, false);
    courier.terminate();
    if (random.nextBoolean()) {
      waitUnderLoad(world, random.nextInt(100));
      courier.terminate();
    }
    sendHangupSignals(world, courier, random);
    world.waitUntil(terminatedUs + (200 + random.nextInt(200)) * US_PER_MS);
    world.client.openConnections(false);
    world.waitUntil(terminatedUs + KILL_AFTER_US);
    assertFalse(courier.isAlive(), () -> "the process has not exited: " + courier.lines());
    world.resetConnections();
    world.ruleChecker.recordRestart(world.clock.nowUs(), false);
    world.waitUntil(world.clock.nowUs() + START_AFTER_US);
  }

  /**
   * Returns the ids of unanswered requests that a courier has logged. Requests that were under way
   * when an idle connection was closed were never read, so no courier has logged them.
   */
  private Set<String> readButUnansweredIds(final StandInWorld world) {
    final Set<String> logged =
        couriers.stream()
            .flatMap(courier -> courier.lines().stream())
            .map(ID::matcher)
            .filter(Matcher::find)
            .map(id -> id.group(1))
            .collect(Collectors.toSet());
    logged.retainAll(world.client.unansweredIds());
    return logged;
  }

  private String logExcerpt() {
    return couriers.stream()
        .flatMap(courier -> courier.lines().stream())
        .filter(line -> line.contains("request_unanswered") || !line.contains(" id="))
        .limit(60)
        .collect(Collectors.joining("\n", "\n", ""));
  }
}
