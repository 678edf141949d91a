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
 * Consecutive takeovers in which a process is killed at a seeded moment after the handover, while
 * handed-over calls are in flight and clients keep using their connections. Some seeds connect many
 * idle clients just before the handover, so that the connection between the two processes has a
 * higher descriptor than the calls and ends before them; some keep the killed process's core busy.
 * Every run plays a few seeds; {@code -Dtakeover.seeds} and {@code -Dtakeover.first} choose others.
 */
@Tag("faults")
@Timeout(300)
final class TakeoverKillSoakTest {
  private static final int SEEDS = Integer.getInteger("takeover.seeds", 2);
  private static final int FIRST_SEED = Integer.getInteger("takeover.first", 1);
  private static final int DESTINATIONS = 24;

  /**
   * As many descriptors as in the platform's example, so that idle clients keep their connections.
   */
  private static final CourierFiles.Size SIZE = new CourierFiles.Size(2000, 64, 4096);

  private static final int IDLE_CLIENTS = 1150;

  /** Connections that use the descriptors freed since the other idle clients connected. */
  private static final int LATE_IDLE_CLIENTS = 50;

  /** The number of messages of a burst, each over a connection that its client keeps. */
  private static final int BURST = 60;

  private static final int KILL_WITHIN_MS = 300;
  private static final double RATE = 150;
  private static final long TIMEOUT_MS = 4000;

  /** Longer than a client's timeout, so that a busy machine does not make responses late. */
  private static final long RESPONSE_TIMEOUT_MS = 3000;

  private static final List<String> CLASSES = List.of("safe", "keyed", "once");

  @TempDir private Path folder;

  /** How a takeover is interrupted. */
  private enum Interruption {
    OLDER_KILLED,
    OLDER_TERMINATED_AND_KILLED,
    NEWER_KILLED
  }

  static Stream<Integer> seeds() {
    return IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS).boxed();
  }

  /** Guards against a repeat while the call of the process that is being killed is in flight. */
  @ParameterizedTest
  @MethodSource("seeds")
  void olderProcessKilled_rulesHold(final int seed) throws IOException {
    runTakeovers(
        seed,
        Interruption.OLDER_KILLED,
        Interruption.OLDER_TERMINATED_AND_KILLED,
        Interruption.OLDER_KILLED);
  }

  /** Guards against the same for the newer process, and against unanswered requests. */
  @ParameterizedTest
  @MethodSource("seeds")
  void newerProcessKilled_rulesHold(final int seed) throws IOException {
    runTakeovers(
        seed, Interruption.NEWER_KILLED, Interruption.NEWER_KILLED, Interruption.OLDER_KILLED);
  }

  private void runTakeovers(final int seed, final Interruption... interruptions)
      throws IOException {
    final Random random = new Random(seed);
    final List<Interruption> inOrder = new ArrayList<>(List.of(interruptions));
    Collections.shuffle(inOrder, random);
    try (StandInWorld world = world(seed, random);
        TakeoverScenario scenario = new TakeoverScenario(world, SIZE)) {
      if (random.nextBoolean()) {
        scenario.keepCoreBusy();
      }
      ChildProcess serving = scenario.launch();
      scenario.awaitReady(serving);
      world.client.setCourierAddress(scenario.address());
      world.client.setAnswerTimeoutMs(RESPONSE_TIMEOUT_MS);
      world.startLoad(RATE, TIMEOUT_MS, LongStream.rangeClosed(1, DESTINATIONS).toArray());
      for (final Interruption interruption : inOrder) {
        scenario.waitUnderLoad(300 + random.nextInt(700));
        serving = takeOver(scenario, serving, interruption, random);
        scenario.disconnectIdleClients();
      }
      scenario.waitUnderLoad(500);
      world.stopSubmitting();
      world.await("the end of every request", () -> world.client.pendingRequests() == 0);
      final List<Violation> violations = scenario.violations(TIMEOUT_MS);
      final String timeline = "seed " + seed + ", " + inOrder + scenario.timeline();
      assertAll(
          () -> assertEquals(List.of(), violations, timeline),
          () -> assertEquals(List.of(), scenario.unansweredByRunningProcess(), timeline));
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

  /** Lets a newer process take over, ends one of the two, and returns the other. */
  private static ChildProcess takeOver(
      final TakeoverScenario scenario,
      final ChildProcess older,
      final Interruption interruption,
      final Random random)
      throws IOException {
    final long handovers = TakeoverScenario.handovers(older);
    if (random.nextBoolean()) {
      submitBurst(scenario, random);
    }
    final boolean withIdleClients = random.nextInt(3) > 0;
    if (withIdleClients) {
      scenario.connectIdleClients(IDLE_CLIENTS);
    }
    final ChildProcess newer = scenario.launch();
    scenario.awaitWarmUp(newer);
    if (withIdleClients) {
      scenario.connectIdleClients(LATE_IDLE_CLIENTS);
    }
    scenario.awaitHandover(older, handovers);
    return switch (interruption) {
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
        final long resumptions = TakeoverScenario.resumptions(older);
        scenario.kill(newer, random.nextInt(KILL_WITHIN_MS));
        scenario.awaitResumed(older, resumptions);
        yield older;
      }
    };
  }

  /** Submits messages at once, each over a connection that its client keeps using. */
  private static void submitBurst(final TakeoverScenario scenario, final Random random) {
    for (int number = 0; number < BURST; number++) {
      scenario.world.client.submit(
          CLASSES.get(random.nextInt(CLASSES.size())), 1 + number % DESTINATIONS, TIMEOUT_MS);
    }
  }
}
