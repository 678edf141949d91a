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
 * A courier as a process that is stopped and woken (SIGSTOP, SIGCONT) with calls out, among
 * partners that are well.
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
   * Answers that came while it was stopped lie unread when it wakes to its timers. Judged first,
   * they were time-outs, and what had been delivered was sent again; with every destination sent
   * out for its silence.
   */
  @ParameterizedTest
  @ValueSource(longs = {300, 1000, 2500})
  void pausedCourier_readsResponsesBeforeJudgingTimeouts(final long pauseMs) throws Exception {
    try (StandInWorld world = new StandInWorld(folder, pauseMs)) {
      for (int index = 0; index < 4; index++) {
        final StandInEndpoint endpoint = world.endpoint(1 + index / 2);
        endpoint.setBehavior(Behavior.deliverAfter(40));
        world.platform.announce(endpoint, "Ready", 2000);
      }
      try (ChildProcess courier =
          ChildProcess.java(
              world.environment(CourierFiles.Size.usual()), "", "thistleturn.courier.Main")) {
        final String ready = courier.await(line -> line.contains("is ready at "));
        world.client.setCourierAddress(ready.substring(ready.lastIndexOf(' ') + 1));
        world.startLoad(RATE, TIMEOUT_MS, 1, 2);
        for (int stop = 1; stop <= 3; stop++) {
          // Time-outs are learnt after some calls; they are what is judged too soon.
          final int before = delivered(world);
          world.await("calls between the stops", () -> delivered(world) > before + 2 * RATE);
          final long fromUs = world.clock.nowUs();
          courier.pause();
          final long untilUs = world.clock.nowUs() + pauseMs * 1000;
          world.await("the end of the stop", () -> world.clock.nowUs() >= untilUs);
          courier.resume();
          // On a slow machine a line may wait when it is stopped, whose time runs out within the
          // stop.
          world.ruleChecker.recordCourierPause(fromUs, world.clock.nowUs());
        }
        final int before = delivered(world);
        world.await("calls after the last stop", () -> delivered(world) > before + RATE);
        assertEquals(List.of(), world.stopLoadAndCheck(TIMEOUT_MS));
        final Map<String, Integer> ends = world.ruleChecker.outcomeCounts();
        final int handed = ends.values().stream().mapToInt(Integer::intValue).sum();
        assertTrue(
            ends.getOrDefault("delivered", 0) >= 0.98 * handed,
            () -> "ends " + ends + summarizeEvents(courier));
      }
    }
  }

  /** How often the courier told of each event, and its first lines of each. */
  private static String summarizeEvents(final ChildProcess courier) {
    final Map<String, List<String>> told =
        courier.lines().stream()
            .filter(line -> line.contains("event="))
            .collect(Collectors.groupingBy(line -> line.replaceFirst(".*event=(\\S+).*", "$1")));
    final StringBuilder text = new StringBuilder();
    told.forEach(
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
   * Stopped at any moment of its start, it starts; and so it does on a starved core with 2,000
   * messages that it holds.
   */
  @Test
  void pausedOrStarvedStart_completesInTime() throws Exception {
    final int held = 2000;
    try (StandInWorld world = new StandInWorld(folder, 7)) {
      final StandInEndpoint endpoint = world.endpoint(1);
      endpoint.setBehavior(Behavior.of(StandInEndpoint.Action.NO_ANSWER));
      world.platform.announce(endpoint, "Ready", 2000);
      final Map<String, String> environment =
          world.environment(new CourierFiles.Size(2 * held, 64, 1024));
      try (ChildProcess first = ChildProcess.java(environment, "", "thistleturn.courier.Main")) {
        final String ready = first.await(line -> line.contains("is ready at "));
        world.client.setCourierAddress(ready.substring(ready.lastIndexOf(' ') + 1));
        world.startLoad(PENDING_PER_SECOND, PENDING_DEADLINE_MS, 1);
        world.await(
            "messages that are held",
            () -> world.ruleChecker.outcomeCounts().getOrDefault("open", 0) >= held);
        world.stopSubmitting();
        first.kill();
        world.ruleChecker.recordRestart(world.clock.nowUs(), false);
      }
      world.resetConnections();
      endpoint.setBehavior(Behavior.deliverAfter(1));
      try (ChildProcess second = ChildProcess.java(environment, "", "thistleturn.courier.Main")) {
        // A fifth of a core until it is ready and a while longer.
        boolean up = false;
        for (int slice = 0; slice < SLICES; slice++) {
          second.pause();
          final long thenUs = world.clock.nowUs() + 80_000;
          world.await("a slice", () -> world.clock.nowUs() >= thenUs);
          second.resume();
          final long nextUs = world.clock.nowUs() + 20_000;
          world.await("a slice", () -> world.clock.nowUs() >= nextUs);
          if (!up && second.lines().stream().anyMatch(line -> line.contains("is ready at "))) {
            up = true;
            world.ruleChecker.recordRestart(world.clock.nowUs(), true);
          }
        }
        second.await(line -> line.contains("is ready at "));
        if (!up) {
          world.ruleChecker.recordRestart(world.clock.nowUs(), true);
        }
        assertTrue(
            second.lines().stream().anyMatch(line -> line.contains("resumed ")),
            second.lines().toString());
        assertEquals(List.of(), world.stopLoadAndCheck());
        assertTrue(delivered(world) >= 0.95 * held, "ends " + world.ruleChecker.outcomeCounts());
      }
    }
  }

  private static int delivered(final StandInWorld world) {
    return world.ruleChecker.outcomeCounts().getOrDefault("delivered", 0);
  }
}
