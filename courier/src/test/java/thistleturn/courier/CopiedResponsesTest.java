package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.ResponseCopier;
import thistleturn.testkit.ResponseCopier.Plan;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInEndpoint.Action;
import thistleturn.testkit.StandInEndpoint.Behavior;
import thistleturn.testkit.StandInWorld;
import thistleturn.testkit.rig.ChildProcess;

/**
 * Endpoints whose responses are sent again on their connections after a lag. Lags, choices and
 * delays come from a seed ({@code -Dcopies.seeds}, {@code -Dcopies.first}).
 */
@Tag("connections")
final class CopiedResponsesTest {
  private static final int SEEDS = Integer.getInteger("copies.seeds", 1);
  private static final int FIRST_SEED = Integer.getInteger("copies.first", 1);
  private static final int ENDPOINTS = 6;
  private static final int DESTINATIONS = 3;
  private static final double RATE = 200;
  private static final long LOAD_MS = 5000;
  private static final long TIMEOUT_MS = 4000;
  private static final long US_PER_MS = 1000;
  private static final double REJECTED_SHARE = 0.15;

  /**
   * A connection ends with a rejection, so few would live until a copy that comes seconds later.
   */
  private static final double REJECTED_SHARE_FOR_LONG_LAGS = 0.03;

  private static final long LONG_LAG_MS = 1000;
  private static final double TENTH = 0.1;

  @TempDir private Path folder;

  /** Copies that the courier meets while a connection is idle, in use or about to be used. */
  record Case(String name, Plan plan, Action rejection, int seed) {
    private double rejectedShare() {
      return plan.minLagMs() > LONG_LAG_MS ? REJECTED_SHARE_FOR_LONG_LAGS : REJECTED_SHARE;
    }

    @Override
    public String toString() {
      return name + ", seed " + seed;
    }
  }

  static Stream<Case> cases() {
    return IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
        .boxed()
        .flatMap(CopiedResponsesTest::casesOf);
  }

  private static Stream<Case> casesOf(final int seed) {
    return Stream.of(
        new Case("at once", Plan.ofShare(TENTH, 0, 3), Action.UNAVAILABLE, seed),
        new Case("10 ms", Plan.ofShare(TENTH, 8, 12), Action.UNAVAILABLE, seed),
        new Case("40 ms", Plan.ofShare(TENTH, 20, 60), Action.UNAVAILABLE, seed),
        new Case("400 ms", Plan.ofShare(TENTH, 350, 450), Action.UNAVAILABLE, seed),
        new Case("3 s", Plan.ofShare(1, 2500, 3500), Action.UNAVAILABLE, seed),
        new Case("each one", Plan.ofShare(1, 4, 100), Action.UNAVAILABLE, seed),
        new Case("three copies", Plan.ofShare(TENTH, 4, 60).times(3), Action.UNAVAILABLE, seed),
        new Case("halves", Plan.ofShare(TENTH, 4, 60).halves(), Action.UNAVAILABLE, seed),
        new Case("200 alone", Plan.ofShare(TENTH, 4, 60).ofStatus(200), Action.UNAVAILABLE, seed),
        new Case("503 alone", Plan.ofShare(1, 4, 60).ofStatus(503), Action.UNAVAILABLE, seed),
        new Case("429", Plan.ofShare(TENTH, 4, 60), Action.REJECT, seed),
        new Case("500", Plan.ofShare(TENTH, 4, 60), Action.FAIL, seed));
  }

  /** Guards against taking a copy of an earlier response for the response of the next call. */
  @ParameterizedTest
  @MethodSource("cases")
  void copyOfEarlierResponse_isNoResponseOfLaterCall(final Case played) throws IOException {
    final Random random = new Random(played.seed());
    final ResponseCopier copier = new ResponseCopier(played.plan(), random.nextLong());
    try (StandInWorld world = new StandInWorld(folder, played.seed())) {
      for (int index = 0; index < ENDPOINTS; index++) {
        addEndpoint(world, 1 + index % DESTINATIONS, played, copier, random.nextLong());
      }
      final ChildProcess courier =
          ChildProcess.java(
              world.environment(CourierFiles.Size.usual()), "", "thistleturn.courier.Main");
      try (courier) {
        world.client.setCourierAddress(courier.awaitReadyAddress());
        world.startLoad(RATE, TIMEOUT_MS, 1, 2, DESTINATIONS);
        world.waitUntil(world.clock.nowUs() + LOAD_MS * US_PER_MS);
        assertEquals(
            List.of(),
            world.stopLoadAndCheck(TIMEOUT_MS),
            () -> played + ", copies " + copier.copies() + logExcerpt(courier));
        assertTrue(copier.copies() > 0, "no response was copied");
        assertMostDelivered(world);
      }
    }
  }

  private static void addEndpoint(
      final StandInWorld world,
      final long destination,
      final Case played,
      final ResponseCopier copier,
      final long seed) {
    final Random random = new Random(seed);
    final StandInEndpoint endpoint = world.endpoint(destination);
    endpoint.setBehaviors(
        () -> {
          final long delayMs = 5L + random.nextInt(95);
          return random.nextDouble() < played.rejectedShare()
              ? new Behavior(played.rejection(), delayMs, 0)
              : Behavior.deliverAfter(delayMs);
        });
    endpoint.copyResponses(copier);
    world.platform.announce(endpoint, "Ready", 1000);
  }

  /** The endpoints deliver 85 in 100 calls, so a courier that retries delivers most messages. */
  private static void assertMostDelivered(final StandInWorld world) {
    final var outcomes = world.ruleChecker.outcomeCounts();
    final int all = outcomes.values().stream().mapToInt(Integer::intValue).sum();
    final int delivered = outcomes.getOrDefault("delivered", 0);
    assertTrue(delivered > all * (1 - 2 * REJECTED_SHARE), outcomes::toString);
  }

  private static String logExcerpt(final ChildProcess courier) {
    return courier.lines().stream()
        .filter(line -> line.contains("endpoint_bytes_unexpected") || line.contains("failure"))
        .limit(40)
        .collect(Collectors.joining("\n", "\n", ""));
  }
}
