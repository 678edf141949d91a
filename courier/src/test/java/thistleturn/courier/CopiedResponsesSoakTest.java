package thistleturn.courier;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Random;
import java.util.function.Supplier;
import java.util.regex.Pattern;
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

/**
 * Responses of endpoints and of the platform that come twice, with resets and rejections, while the
 * courier is restarted and killed under clients that keep using their connections. Every run plays
 * a few seeds; {@code -Dcopies.soak.seeds} and {@code -Dcopies.soak.first} choose others.
 */
@Tag("faults")
final class CopiedResponsesSoakTest {
  private static final int SEEDS = Integer.getInteger("copies.soak.seeds", 2);
  private static final int FIRST_SEED = Integer.getInteger("copies.soak.first", 1);
  private static final int ENDPOINTS = 6;
  private static final int DESTINATIONS = 3;
  private static final int RESTARTS = 2;
  private static final double RATE = 150;
  private static final long TIMEOUT_MS = 4000;
  private static final double NOTICE_RESET_SHARE = 0.1;
  private static final int ENDING_PERCENT = 8;
  private static final Action[] ENDINGS = {
    Action.GONE, Action.GONE_INCOMPLETE, Action.NO_MORE_ATTEMPTS
  };
  private static final double[] SHARES = {0.01, 0.1, 0.5, 1};
  private static final long[] LONGEST_LAGS_MS = {3, 12, 60, 400, 3000};

  @TempDir private Path folder;

  static Stream<Integer> seeds() {
    return IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS).boxed();
  }

  /** Guards against copied responses whose effects outlive, or are hidden by, a restart. */
  @ParameterizedTest
  @MethodSource("seeds")
  void copiesAcrossRestarts_breakNoRule(final int seed) throws IOException {
    play(seed, true, new Random(0), 0);
  }

  /**
   * Guards against calls behind an answer that ended their message, whatever copies, resets and
   * restarts come between; each second pair of seeds has no copies.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void endsAcrossRestarts_breakNoRule(final int seed) throws IOException {
    play(seed, seed % 4 < 2, new Random(-seed), ENDING_PERCENT);
  }

  private void play(
      final int seed, final boolean copies, final Random endings, final int endingPercent)
      throws IOException {
    final Random random = new Random(seed);
    final Plan plan = randomPlan(random);
    final boolean killed = seed % 2 == 1;
    try (StandInWorld world = new StandInWorld(folder, seed)) {
      final ResponseCopier copier = new ResponseCopier(plan, random.nextLong());
      for (int index = 0; index < ENDPOINTS; index++) {
        final Random usual = new Random(random.nextLong());
        final Random ending = new Random(endings.nextLong());
        addEndpoint(
            world,
            1 + index % DESTINATIONS,
            copies ? copier : null,
            () -> randomBehavior(usual, ending, endingPercent));
      }
      final ResponseCopier confirmations =
          new ResponseCopier(plan.ofStatus(204), random.nextLong());
      if (copies) {
        world.platform.server().copyResponses(confirmations, () -> {});
      }
      world.platform.resetNotices(NOTICE_RESET_SHARE, random.nextLong());
      try (RestartedCourier courier =
          new RestartedCourier(world, world.environment(CourierFiles.Size.usual()), random)) {
        courier.start();
        world.startLoad(RATE, TIMEOUT_MS, 1, 2, DESTINATIONS);
        for (int restart = 0; restart < RESTARTS; restart++) {
          courier.restart(killed, 200, 2200);
        }
        courier.waitUnderLoad(500);
        courier.assertNoRuleBroken("seed " + seed + ", " + plan, TIMEOUT_MS, killed);
      }
    }
  }

  private static Plan randomPlan(final Random random) {
    final long longestMs = LONGEST_LAGS_MS[random.nextInt(LONGEST_LAGS_MS.length)];
    return new Plan(
        SHARES[random.nextInt(SHARES.length)],
        random.nextInt(3),
        longestMs,
        1 + random.nextInt(3),
        Pattern.compile("HTTP/1.1 "),
        random.nextInt(5) == 0);
  }

  private static void addEndpoint(
      final StandInWorld world,
      final long destination,
      final ResponseCopier copier,
      final Supplier<Behavior> behaviors) {
    final StandInEndpoint endpoint = world.endpoint(destination);
    endpoint.setBehaviors(behaviors);
    endpoint.copyResponses(copier);
    world.platform.announce(endpoint, "Ready", 1000);
  }

  private static Behavior randomBehavior(
      final Random random, final Random ending, final int endingPercent) {
    final Behavior usual = randomBehavior(random);
    return ending.nextInt(100) < endingPercent
        ? new Behavior(ENDINGS[ending.nextInt(ENDINGS.length)], usual.delayMs(), 0)
        : usual;
  }

  private static Behavior randomBehavior(final Random random) {
    final long delayMs = 2L + random.nextInt(100);
    final int choice = random.nextInt(100);
    if (choice < 15) {
      return new Behavior(Action.UNAVAILABLE, delayMs, 0);
    }
    if (choice < 17) {
      return new Behavior(Action.FAIL, delayMs, 0);
    }
    return choice < 19 ? new Behavior(Action.RESET, delayMs, 0) : Behavior.deliverAfter(delayMs);
  }
}
