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
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.ResponseCopier;
import thistleturn.testkit.ResponseCopier.Plan;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInEndpoint.Action;
import thistleturn.testkit.StandInEndpoint.Behavior;
import thistleturn.testkit.StandInWorld;
import thistleturn.testkit.Violation;
import thistleturn.testkit.rig.ChildProcess;

/**
 * Endpoints that end messages: 410, 504, and {@code expired} or {@code no_more} for one message of
 * a call. All choices come from a seed ({@code -Dends.seeds}, {@code -Dends.first}).
 */
@Tag("connections")
final class EndingAnswersTest {
  private static final int SEEDS = Integer.getInteger("ends.seeds", 1);
  private static final int FIRST_SEED = Integer.getInteger("ends.first", 77);
  private static final int ENDPOINTS = 6;
  private static final int DESTINATIONS = 3;
  private static final double RATE = 200;
  private static final long LOAD_MS = 5000;
  private static final long TIMEOUT_MS = 4000;
  private static final long US_PER_MS = 1000;
  private static final double ENDING_SHARE = 0.05;
  private static final double TENTH = 0.1;
  private static final double HUNDREDTH = 0.01;
  private static final long SHORT_IDLE_TIMEOUT_MS = 200;
  private static final int MAX_LINES = 60;

  /** A courier that retries delivers all but those which endpoints end or reject twice. */
  private static final double DELIVERED_SHARE =
      1 - 2 * OtherFaults.USUAL.rejected - 2 * ENDING_SHARE;

  @TempDir private Path folder;

  /** Faults beside the answers that end messages. */
  enum OtherFaults {
    NONE(0, 0),
    USUAL(0.15, 0.01);

    private final double rejected;
    private final double failed;

    OtherFaults(final double rejected, final double failed) {
      this.rejected = rejected;
      this.failed = failed;
    }

    private Action next(final Random random) {
      final double choice = random.nextDouble();
      if (choice < rejected) {
        return Action.UNAVAILABLE;
      }
      if (choice < rejected + failed) {
        return Action.FAIL;
      }
      return choice < rejected + 2 * failed ? Action.RESET : Action.DELIVER;
    }
  }

  /**
   * One play.
   *
   * @param tooLongShare the share of the deliveries whose answers have more bytes than they say
   * @param idleTimeoutMs after how long endpoints close idle connections; 0 for never
   * @param copies the copies of responses; null if there are none
   */
  record Case(OtherFaults others, double tooLongShare, long idleTimeoutMs, Plan copies, int seed) {
    @Override
    public String toString() {
      return others
          + (tooLongShare == 0 ? "" : ", some too long")
          + (idleTimeoutMs == 0 ? "" : ", idle connections closed after " + idleTimeoutMs + " ms")
          + (copies == null ? "" : ", copies up to " + copies.maxLagMs() + " ms")
          + ", seed "
          + seed;
    }
  }

  private static Stream<Integer> seeds() {
    return IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS).boxed();
  }

  static Stream<Case> plain() {
    return seeds()
        .flatMap(
            seed -> Stream.of(OtherFaults.values()).map(each -> new Case(each, 0, 0, null, seed)));
  }

  static Stream<Case> copied() {
    return seeds()
        .flatMap(
            seed ->
                Stream.of(Plan.ofShare(TENTH, 4, 60), Plan.ofShare(TENTH, 200, 450).times(2))
                    .map(plan -> new Case(OtherFaults.USUAL, 0, 0, plan, seed)));
  }

  static Stream<Case> fewCopies() {
    final Plan plan = Plan.ofShare(HUNDREDTH, 4, 60);
    return seeds()
        .flatMap(
            seed ->
                Stream.of(
                    new Case(OtherFaults.NONE, 0, SHORT_IDLE_TIMEOUT_MS, plan, seed),
                    new Case(OtherFaults.USUAL, 0, 0, plan, seed),
                    new Case(OtherFaults.USUAL, HUNDREDTH, 0, null, seed)));
  }

  static Stream<Arguments> broken() {
    return seeds()
        .flatMap(
            seed ->
                Stream.of(
                        Action.GONE_UNFINISHED,
                        Action.GONE_UNFINISHED_HEAD,
                        Action.GONE_INVALID,
                        Action.NO_MORE_ATTEMPTS_UNFINISHED,
                        Action.NO_MORE_ATTEMPTS_INVALID)
                    .map(
                        ending ->
                            Arguments.of(ending, new Case(OtherFaults.USUAL, 0, 0, null, seed))));
  }

  /** Guards against a message that is sent on after a 410 on a connection used before. */
  @ParameterizedTest
  @MethodSource("plain")
  void goneOnReusedConnection_endsItsMessage(final Case played) throws IOException {
    play(played, Action.GONE);
  }

  /** Guards against the same where the connection ends within the body of the 410. */
  @ParameterizedTest
  @MethodSource("plain")
  void incompleteGone_endsItsMessage(final Case played) throws IOException {
    play(played, Action.GONE_INCOMPLETE);
  }

  /** Guards against further attempts of a message after a 504. */
  @ParameterizedTest
  @MethodSource("plain")
  void noMoreAttempts_isFollowedByNoAttempt(final Case played) throws IOException {
    play(played, Action.NO_MORE_ATTEMPTS);
  }

  /** Guards against a mend of one fault that brings the other back: copies beside ends. */
  @ParameterizedTest
  @MethodSource("copied")
  void endsBesideCopiedResponses_breakNoRule(final Case played) throws IOException {
    play(played, Action.GONE);
  }

  /** Guards against calls behind a 410 or 504 that is silent or spoilt behind its status. */
  @ParameterizedTest
  @MethodSource("broken")
  void brokenEnd_isFollowedByNoCall(final Action ending, final Case played) throws IOException {
    play(played, ending);
  }

  /**
   * Guards against calls behind a 410 of a connection that ended, put in doubt by one elsewhere.
   */
  @ParameterizedTest
  @MethodSource("fewCopies")
  void goneBesideFewSurplusResponses_isFollowedByNoCall(final Case played) throws IOException {
    play(played, Action.GONE);
  }

  private void play(final Case played, final Action ending) throws IOException {
    final Random random = new Random(played.seed());
    try (StandInWorld world = new StandInWorld(folder, played.seed())) {
      for (int index = 0; index < ENDPOINTS; index++) {
        addEndpoint(world, 1 + index % DESTINATIONS, played, ending, random);
      }
      final ChildProcess courier =
          ChildProcess.java(
              world.environment(CourierFiles.Size.usual()), "", "thistleturn.courier.Main");
      try (courier) {
        world.client.setCourierAddress(courier.awaitReadyAddress());
        world.startLoad(RATE, TIMEOUT_MS, 1, 2, DESTINATIONS);
        world.waitUntil(world.clock.nowUs() + LOAD_MS * US_PER_MS);
        final List<Violation> violations = world.stopLoadAndCheck(TIMEOUT_MS);
        assertEquals(List.of(), violations, () -> describe(played, violations, courier));
        assertEquals(List.of(), lines(courier, "attempt_after_end"));
        assertEndedAndDelivered(world, ending, courier);
        reportCost(played, ending, world);
      }
    }
  }

  private static void addEndpoint(
      final StandInWorld world,
      final long destination,
      final Case played,
      final Action ending,
      final Random seeds) {
    final Random random = new Random(seeds.nextLong());
    final StandInEndpoint endpoint = world.endpoint(destination);
    endpoint.server().closeIdleAfterMs(played.idleTimeoutMs());
    endpoint.setBehaviors(
        () -> {
          final long delayMs = 5L + random.nextInt(95);
          final boolean ends = random.nextDouble() < ENDING_SHARE;
          final Action usual = ends ? ending : played.others().next(random);
          final boolean tooLong =
              usual == Action.DELIVER
                  && played.tooLongShare() > 0
                  && random.nextDouble() < played.tooLongShare();
          return new Behavior(tooLong ? Action.DELIVER_TOO_LONG : usual, delayMs, 0);
        });
    if (played.copies() != null) {
      endpoint.copyResponses(new ResponseCopier(played.copies(), seeds.nextLong()));
    }
    world.platform.announce(endpoint, "Ready", 1000);
  }

  private static void assertEndedAndDelivered(
      final StandInWorld world, final Action ending, final ChildProcess courier) {
    final var outcomes = world.ruleChecker.outcomeCounts();
    final int all = outcomes.values().stream().mapToInt(Integer::intValue).sum();
    assertTrue(
        outcomes.getOrDefault("delivered", 0) > all * DELIVERED_SHARE,
        () -> outcomes + ", " + String.join("\n", courier.lines()));
    final String end = ending.name().startsWith("NO_MORE") ? "deferred" : "over";
    assertTrue(outcomes.getOrDefault(end, 0) > 0, outcomes::toString);
  }

  private static void reportCost(final Case played, final Action ending, final StandInWorld world) {
    System.out.println(
        ending
            + ", "
            + played
            + ": "
            + world.endpoints().stream().mapToLong(StandInEndpoint::calls).sum()
            + " calls, "
            + world.ruleChecker.callsOfDeliveredMessages()
            + " of delivered messages, "
            + world.endpoints().stream()
                .mapToLong(endpoint -> endpoint.server().acceptedConnections())
                .sum()
            + " connections, "
            + world.ruleChecker.outcomeCounts());
  }

  /** Adds what the courier logged about the messages of the violations. */
  private static String describe(
      final Case played, final List<Violation> violations, final ChildProcess courier) {
    final String logged =
        courier.lines().stream()
            .filter(line -> violations.stream().anyMatch(each -> concerns(each, line)))
            .limit(MAX_LINES)
            .collect(Collectors.joining("\n", "\n", "\n"));
    return violations.size() + " violations in " + played + logged;
  }

  private static boolean concerns(final Violation violation, final String line) {
    final String id = violation.what().split("[ :]")[0];
    return line.contains("id=" + id + " ") || line.contains(":" + id + ":");
  }

  private static List<String> lines(final ChildProcess courier, final String event) {
    return courier.lines().stream()
        .filter(line -> line.contains("event=" + event))
        .collect(Collectors.toList());
  }
}
