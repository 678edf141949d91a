package thistleturn.courier.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInEndpoint.Behavior;
import thistleturn.testkit.StandInWorld;
import thistleturn.testkit.rig.ChildProcess;

/**
 * A courier process that is paused and resumed (SIGSTOP, SIGCONT) with calls in flight to healthy
 * endpoints.
 */
@Tag("health")
final class PausedCourierTest {
  private static final long TIMEOUT_MS = 4000;
  private static final int RATE = 150;
  private static final long PENDING_DEADLINE_MS = 15_000;
  private static final int PENDING_PER_SECOND = 500;
  private static final int SLICES = 60;

  @TempDir private Path folder;

  /**
   * Guards against timers that run before the input is read after a pause: answers that arrived
   * meanwhile were taken for time-outs, delivered messages were sent again, and every destination
   * was considered out.
   */
  @ParameterizedTest
  @ValueSource(longs = {300, 1000, 2500})
  void pausedCourier_readsResponsesBeforeEvaluatingTimeouts(final long pauseMs) throws Exception {
    try (StandInWorld world = new StandInWorld(folder, pauseMs)) {
      for (int index = 0; index < 4; index++) {
        final StandInEndpoint endpoint = world.endpoint(1 + index / 2);
        endpoint.setBehavior(Behavior.deliverAfter(40));
        world.platform.announce(endpoint, "Ready", 2000);
      }
      try (ChildProcess courier =
          ChildProcess.java(
              world.environment(CourierFiles.Size.usual()), "", "thistleturn.courier.Main")) {
        world.client.setCourierAddress(courier.awaitReadyAddress());
        world.startLoad(RATE, TIMEOUT_MS, 1, 2);
        for (int pause = 1; pause <= 3; pause++) {
          // Time-outs are learned after some calls; only learned ones could expire too soon.
          final int before = delivered(world);
          world.await("calls between the pauses", () -> delivered(world) > before + 2 * RATE);
          final long fromUs = world.clock.nowUs();
          courier.pause();
          final long untilUs = world.clock.nowUs() + pauseMs * 1000;
          world.await("the end of the pause", () -> world.clock.nowUs() >= untilUs);
          courier.resume();
          // On a slow machine messages may be waiting at the pause, whose deadlines pass during it.
          world.ruleChecker.recordCourierPause(fromUs, world.clock.nowUs());
        }
        final int before = delivered(world);
        world.await("calls after the last pause", () -> delivered(world) > before + RATE);
        assertEquals(List.of(), world.stopLoadAndCheck(TIMEOUT_MS));
        final Map<String, Integer> ends = world.ruleChecker.outcomeCounts();
        final int submitted = ends.values().stream().mapToInt(Integer::intValue).sum();
        assertTrue(
            ends.getOrDefault("delivered", 0) >= 0.98 * submitted,
            () -> "ends " + ends + summarizeEvents(courier));
      }
    }
  }

  /** Returns how often the courier logged each event, and the first log lines of each. */
  private static String summarizeEvents(final ChildProcess courier) {
    final Map<String, List<String>> linesByEvent =
        courier.lines().stream()
            .filter(line -> line.contains("event="))
            .collect(Collectors.groupingBy(line -> line.replaceFirst(".*event=(\\S+).*", "$1")));
    final StringBuilder text = new StringBuilder();
    linesByEvent.forEach(
        (event, lines) ->
            text.append('\n')
                .append(event)
                .append(' ')
                .append(lines.size())
                .append(": ")
                .append(lines.subList(0, Math.min(3, lines.size()))));
    return text.toString();
  }

  /**
   * A courier that gets a fifth of a core, and is paused throughout its start, still starts and
   * delivers the 2,000 messages that it holds.
   */
  @Test
  void pausedOrStarvedStart_completesInTime() throws Exception {
    final int pending = 2000;
    try (StandInWorld world = new StandInWorld(folder, 7)) {
      final StandInEndpoint endpoint = world.endpoint(1);
      endpoint.setBehavior(Behavior.of(StandInEndpoint.Action.NO_ANSWER));
      world.platform.announce(endpoint, "Ready", 2000);
      final Map<String, String> environment =
          world.environment(new CourierFiles.Size(2 * pending, 64, 1024));
      try (ChildProcess first = ChildProcess.java(environment, "", "thistleturn.courier.Main")) {
        world.client.setCourierAddress(first.awaitReadyAddress());
        world.startLoad(PENDING_PER_SECOND, PENDING_DEADLINE_MS, 1);
        world.await(
            "pending messages",
            () -> world.ruleChecker.outcomeCounts().getOrDefault("open", 0) >= pending);
        world.stopSubmitting();
        first.kill();
        world.ruleChecker.recordRestart(world.clock.nowUs(), false);
      }
      world.resetConnections();
      endpoint.setBehavior(Behavior.deliverAfter(1));
      try (ChildProcess second = ChildProcess.java(environment, "", "thistleturn.courier.Main")) {
        // A fifth of a core until it is ready and a while longer.
        boolean ready = false;
        for (int slice = 0; slice < SLICES; slice++) {
          second.pause();
          final long thenUs = world.clock.nowUs() + 80_000;
          world.await("a slice", () -> world.clock.nowUs() >= thenUs);
          second.resume();
          final long nextUs = world.clock.nowUs() + 20_000;
          world.await("a slice", () -> world.clock.nowUs() >= nextUs);
          if (!ready && second.lines().stream().anyMatch(line -> line.contains("is ready at "))) {
            ready = true;
            world.ruleChecker.recordRestart(world.clock.nowUs(), true);
          }
        }
        second.await(line -> line.contains("is ready at "));
        if (!ready) {
          world.ruleChecker.recordRestart(world.clock.nowUs(), true);
        }
        assertTrue(
            second.lines().stream().anyMatch(line -> line.contains("resumed ")),
            second.lines().toString());
        assertEquals(List.of(), world.stopLoadAndCheck());
        assertTrue(delivered(world) >= 0.95 * pending, "ends " + world.ruleChecker.outcomeCounts());
      }
    }
  }

  private static int delivered(final StandInWorld world) {
    return world.ruleChecker.outcomeCounts().getOrDefault("delivered", 0);
  }
}
