package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInEndpoint.Behavior;
import thistleturn.testkit.StandInWorld;
import thistleturn.testkit.Violation;
import thistleturn.testkit.rig.ChildProcess;

/**
 * Takeovers, one after another, in which a process is killed at a seeded moment from the handover
 * on, while calls that were handed over are out and clients go on using the connections that they
 * have. Some seeds connect a crowd just before the handover, so that the line between the two
 * processes has a higher descriptor than the calls and ends before them, and some keep the killed
 * process from its core. A few seeds in every run; by hand as many as {@code -Dtakeover.seeds} and
 * {@code -Dtakeover.first} say.
 */
@Tag("faults")
@Timeout(300)
final class TakeoverKillSoakTest {
  private static final int SEEDS = Integer.getInteger("takeover.seeds", 2);
  private static final int FIRST_SEED = Integer.getInteger("takeover.first", 1);
  private static final int DESTINATIONS = 24;

  /**
   * As many descriptors as in the platform's example: a crowd of these is not idle for too long.
   */
  private static final CourierFiles.Size SIZE = new CourierFiles.Size(2000, 64, 4096);

  private static final int CROWD = 1150;

  /** Connections that take the descriptors which have become free since the crowd came. */
  private static final int LATE_CROWD = 50;

  /** So many messages at once have each a connection that its client keeps. */
  private static final int BURST = 60;

  private static final int KILL_WITHIN_MS = 300;
  private static final double RATE = 150;
  private static final long TIMEOUT_MS = 4000;

  /** Longer than a client's, so that a machine that is busy makes no answer late: none came. */
  private static final long PATIENCE_MS = 3000;

  private static final List<String> CLASSES = List.of("safe", "keyed", "once");

  @TempDir private Path folder;

  /** How a takeover is broken off. */
  private enum Ending {
    OLDER_KILLED,
    OLDER_TERMINATED_AND_KILLED,
    NEWER_KILLED
  }

  static Stream<Integer> seeds() {
    return IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS).boxed();
  }

  /** Guards against a repeat while the first copy is out at the process that is being killed. */
  @ParameterizedTest
  @MethodSource("seeds")
  void olderProcessKilled_breaksNoRule(final int seed) throws IOException {
    play(seed, Ending.OLDER_KILLED, Ending.OLDER_TERMINATED_AND_KILLED, Ending.OLDER_KILLED);
  }

  /** Guards the same the other way round, and against requests that nobody answers then. */
  @ParameterizedTest
  @MethodSource("seeds")
  void newerProcessKilled_breaksNoRule(final int seed) throws IOException {
    play(seed, Ending.NEWER_KILLED, Ending.NEWER_KILLED, Ending.OLDER_KILLED);
  }

  private void play(final int seed, final Ending... endings) throws IOException {
    final Random random = new Random(seed);
    final List<Ending> inOrder = new ArrayList<>(List.of(endings));
    Collections.shuffle(inOrder, random);
    try (StandInWorld world = world(seed, random);
        TakeoverScenario scenario = new TakeoverScenario(world, SIZE)) {
      if (random.nextBoolean()) {
        scenario.keepCoreBusy();
      }
      ChildProcess serving = scenario.launch();
      scenario.awaitReady(serving);
      world.client.setCourierAddress(scenario.address());
      world.client.setAnswerTimeoutMs(PATIENCE_MS);
      world.startLoad(RATE, TIMEOUT_MS, LongStream.rangeClosed(1, DESTINATIONS).toArray());
      for (final Ending ending : inOrder) {
        scenario.pass(300 + random.nextInt(700));
        serving = takeOver(scenario, serving, ending, random);
        scenario.disconnectCrowd();
      }
      scenario.pass(500);
      world.stopSubmitting();
      world.await("an end of every request", () -> world.client.pendingRequests() == 0);
      final List<Violation> violations = scenario.violations(TIMEOUT_MS);
      final String story = "seed " + seed + ", " + inOrder + scenario.story();
      assertAll(
          () -> assertEquals(List.of(), violations, story),
          () -> assertEquals(List.of(), scenario.unansweredByLivingProcess(), story));
    }
  }

  private StandInWorld world(final int seed, final Random random) {
    final StandInWorld world = new StandInWorld(folder, seed);
    for (int index = 0; index < DESTINATIONS; index++) {
      final StandInEndpoint endpoint = world.endpoint(1 + index);
      endpoint.setBehavior(Behavior.deliverAfter(200 + random.nextInt(300)));
      world.platform.announce(endpoint, "Ready", 2000);
    }
    return world;
  }

  /** A newer process takes over and one of the two ends; returns the other. */
  private static ChildProcess takeOver(
      final TakeoverScenario scenario,
      final ChildProcess older,
      final Ending ending,
      final Random random)
      throws IOException {
    final long handovers = TakeoverScenario.handovers(older);
    if (random.nextBoolean()) {
      useManyConnections(scenario, random);
    }
    final boolean crowded = random.nextInt(3) > 0;
    if (crowded) {
      scenario.connectCrowd(CROWD);
    }
    final ChildProcess newer = scenario.launch();
    scenario.awaitWarmUp(newer);
    if (crowded) {
      scenario.connectCrowd(LATE_CROWD);
    }
    scenario.awaitHandover(older, handovers);
    return switch (ending) {
      case OLDER_KILLED -> {
        scenario.kill(older, random.nextInt(KILL_WITHIN_MS));
        scenario.awaitReady(newer);
        yield newer;
      }
      case OLDER_TERMINATED_AND_KILLED -> {
        scenario.awaitReady(newer);
        scenario.terminate(older);
        scenario.kill(older, random.nextInt(KILL_WITHIN_MS));
        scenario.awaitReady(newer);
        yield newer;
      }
      case NEWER_KILLED -> {
        final long takeBacks = TakeoverScenario.takeBacks(older);
        scenario.kill(newer, random.nextInt(KILL_WITHIN_MS));
        scenario.awaitTakeBack(older, takeBacks);
        yield older;
      }
    };
  }

  /** Messages at once, each of which opens a connection that its client goes on using. */
  private static void useManyConnections(final TakeoverScenario scenario, final Random random) {
    for (int number = 0; number < BURST; number++) {
      scenario.world.client.submit(
          CLASSES.get(random.nextInt(CLASSES.size())), 1 + number % DESTINATIONS, TIMEOUT_MS);
    }
  }
}
