package thistleturn.benchmarks.replicas;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thistleturn.benchmarks.Folders;
import thistleturn.testkit.StandInClient;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInEndpoint.Action;
import thistleturn.testkit.StandInEndpoint.Behavior;
import thistleturn.testkit.StandInWorld;
import thistleturn.testkit.rig.RealFleet;
import thistleturn.testkit.rig.Schedule;

/** Measures real couriers with replicas, under load and seeded schedules of faults. */
@Command(
    name = "replicas",
    mixinStandardHelpOptions = true,
    description =
        "Real couriers connected through relays: how soon an endpoint disabled at one courier "
            + "is excluded by all, how soon a Retry-After sent to one is observed by all, what is sent after that, "
            + "and whether replicas are equal.")
public final class MeasureReplicas implements Callable<Integer> {
  /** The faults of one row of the table. */
  enum Row {
    LOSS_5,
    LOSS_20,
    ALL
  }

  private static final String REPLICAS = "[replicas]\nenabled = true\n";
  private static final long MAX_WAIT_MS = 8000;
  private static final long NO_FAULTS_MS = 12_000;
  private static final long TIMEOUT_MS = 6000;
  private static final int ENDPOINTS = 4;
  private static final long WAIT_MS = 2500;

  /** Calls already sent when a disable entry arrives have reached the endpoint by then. */
  private static final long IN_FLIGHT_MS = 150;

  @Option(
      names = "--rows",
      split = ",",
      defaultValue = "LOSS_5,LOSS_20,ALL",
      description = "${COMPLETION-CANDIDATES}")
  private List<Row> rows;

  @Option(
      names = "--schedules",
      defaultValue = "10",
      description = "schedules per row; default: ${DEFAULT-VALUE}")
  private int schedules;

  @Option(
      names = "--members",
      defaultValue = "8",
      description = "processes in a fleet; default: ${DEFAULT-VALUE}")
  private int members;

  @Option(
      names = "--fleets",
      defaultValue = "2",
      description = "fleets that run at the same time; default: ${DEFAULT-VALUE}")
  private int fleets;

  @Option(
      names = "--seconds",
      defaultValue = "30",
      description = "duration of a schedule; default: ${DEFAULT-VALUE}")
  private int seconds;

  @Option(
      names = "--per-second",
      defaultValue = "15",
      description = "messages a second for each courier; default: ${DEFAULT-VALUE}")
  private double perSecond;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "seed of the first schedule; default: ${DEFAULT-VALUE}")
  private long seed;

  /** Result of one schedule; times in ms. */
  private record RunResult(
      long seed,
      List<Long> disableTimes,
      List<Long> waitTimes,
      long unobserved,
      long sentAfter,
      long equalMs,
      List<String> broken,
      long messages,
      String tally) {}

  private static Schedule.FaultMix faultMix(final Row row) {
    return switch (row) {
      case LOSS_5 -> new Schedule.FaultMix(0.05, true, true, 0, false, false, false, false);
      case LOSS_20 -> new Schedule.FaultMix(0.2, true, true, 0, false, false, false, false);
      case ALL -> new Schedule.FaultMix(0.1, true, true, 3000, true, true, false, true);
    };
  }

  @Override
  public Integer call() throws InterruptedException, ExecutionException {
    System.out.println(
        "| faults | schedules | words by hand, seen at a courier | left out there, ms: p50 | p99 | most | never within 8 s "
            + "| sent after all were told | waits, seen at a courier | heeded, ms: p50 | p99 | most | copies equal after the last fault, ms: most "
            + "| messages | rules broken |");
    System.out.println(
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    int broken = 0;
    for (final Row row : rows) {
      broken += row(row);
    }
    return broken == 0 ? 0 : 1;
  }

  private int row(final Row row) throws InterruptedException, ExecutionException {
    final ExecutorService pool = Executors.newFixedThreadPool(fleets);
    final List<Future<RunResult>> running = new ArrayList<>();
    for (int number = 0; number < schedules; number++) {
      final long scheduleSeed = seed + number;
      running.add(
          pool.submit(
              () ->
                  new ScheduleRun(
                          Schedule.random(scheduleSeed, members, seconds * 1000L, faultMix(row)),
                          row == Row.ALL)
                      .run()));
    }
    final List<Long> disableTimes = new ArrayList<>();
    final List<Long> waitTimes = new ArrayList<>();
    long unobserved = 0;
    long sentAfter = 0;
    long equalMs = 0;
    long messages = 0;
    int broken = 0;
    for (final Future<RunResult> one : running) {
      final RunResult result = one.get();
      disableTimes.addAll(result.disableTimes);
      waitTimes.addAll(result.waitTimes);
      unobserved += result.unobserved;
      sentAfter += result.sentAfter;
      equalMs = result.equalMs < 0 || equalMs < 0 ? -1 : Math.max(equalMs, result.equalMs);
      messages += result.messages;
      broken += result.broken.size();
      result.broken.stream()
          .limit(5)
          .forEach(what -> System.out.println("BROKEN, seed " + result.seed + ": " + what));
    }
    pool.shutdown();
    Collections.sort(disableTimes);
    Collections.sort(waitTimes);
    System.out.println(
        String.format(
            Locale.ROOT,
            "| %s | %d | %d | %s | %s | %s | %d | %d | %d | %s | %s | %s | %d | %d | %d |",
            row,
            schedules,
            disableTimes.size(),
            quantile(disableTimes, 0.5),
            quantile(disableTimes, 0.99),
            quantile(disableTimes, 1),
            unobserved,
            sentAfter,
            waitTimes.size(),
            quantile(waitTimes, 0.5),
            quantile(waitTimes, 0.99),
            quantile(waitTimes, 1),
            equalMs,
            messages,
            broken));
    return broken;
  }

  private static String quantile(final List<Long> sorted, final double share) {
    return sorted.isEmpty()
        ? "-"
        : Long.toString(
            sorted.get((int) Math.min(sorted.size() - 1, Math.floor(share * sorted.size()))));
  }

  /** Runs one schedule. */
  private final class ScheduleRun {
    private final Schedule schedule;
    private final boolean partitioned;
    private final Random random;
    private final List<StandInEndpoint> endpoints = new ArrayList<>();
    private final List<StandInClient> clients = new ArrayList<>();
    private final List<Long> disableTimes = Collections.synchronizedList(new ArrayList<>());
    private final List<Long> waitTimes = Collections.synchronizedList(new ArrayList<>());
    private final AtomicBoolean faultsEnded = new AtomicBoolean();
    private StandInWorld world;
    private RealFleet fleet;
    private long unobserved;
    private long sentAfter;

    /**
     * Prepares a run; {@code partitioned}: the schedule cuts links and pauses couriers, so that not
     * every courier can be reached at all times.
     */
    ScheduleRun(final Schedule schedule, final boolean partitioned) {
      this.schedule = schedule;
      this.partitioned = partitioned;
      this.random = new Random(schedule.seed());
    }

    RunResult run() throws IOException {
      final Path folder = Files.createTempDirectory("thistleturn-replicas");
      try (StandInWorld created = new StandInWorld(folder, schedule.seed())) {
        world = created;
        for (int number = 0; number < ENDPOINTS; number++) {
          final StandInEndpoint endpoint = world.endpoint(number < 3 ? 1 : 2);
          endpoint.setBehavior(Behavior.deliverAfter(10));
          world.platform.announce(endpoint, "Ready", 1000);
          endpoints.add(endpoint);
        }
        try (RealFleet started =
            new RealFleet(
                folder,
                schedule,
                world.platform.address(),
                world.platform.known(),
                REPLICAS,
                5000)) {
          fleet = started;
          return runFleet();
        }
      } finally {
        clients.forEach(StandInClient::close);
        Folders.delete(folder);
      }
    }

    private RunResult runFleet() throws IOException {
      fleet.onAgreement(
          () -> {
            for (int number = 0; number < members; number++) {
              final StandInClient client = world.client("c" + number + "-");
              client.setCourierAddress(fleet.clientAddress(number));
              clients.add(client);
              world.startLoad(client, perSecond, TIMEOUT_MS, 1);
            }
          });
      final Thread directives = new Thread(this::issueDirectives, "directives");
      fleet.at(500, directives::start);
      fleet.at(schedule.endMs() - NO_FAULTS_MS, () -> faultsEnded.set(true));
      final long[] noFaultsNs = {0};
      final long[] equalMs = {-1};
      final Thread comparison =
          new Thread(
              () -> {
                noFaultsNs[0] = System.nanoTime();
                equalMs[0] = await(NO_FAULTS_MS - 1000, this::isEqual);
              },
              "comparison");
      fleet.at(schedule.endMs() - NO_FAULTS_MS + 100, comparison::start);
      fleet.at(schedule.endMs() - 3000, world::stopSubmitting);
      fleet.run();
      join(directives);
      join(comparison);
      return new RunResult(
          schedule.seed(),
          List.copyOf(disableTimes),
          List.copyOf(waitTimes),
          unobserved,
          sentAfter,
          equalMs[0],
          broken(),
          world.ruleChecker.outcomeCounts().values().stream().mapToLong(Integer::longValue).sum(),
          fleet.summary());
    }

    private void join(final Thread thread) {
      try {
        thread.join();
      } catch (final InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    /**
     * Returns the broken rules. LOST and LATE are ignored: couriers that are killed and not started
     * again leave messages without a final outcome, which breaks no rule.
     */
    private List<String> broken() {
      final List<String> broken = new ArrayList<>(fleet.checker().violations());
      world.ruleChecker.finish(world.clock.nowUs()).stream()
          .map(Object::toString)
          .filter(what -> !what.contains("LOST") && !what.contains("LATE"))
          .forEach(broken::add);
      return broken;
    }

    private boolean isEqual() {
      JsonNode sum = null;
      for (int number = 0; number < members; number++) {
        if (fleet.process(number) != null) {
          final JsonNode state = fleet.fetchPage(number, "state");
          if (state == null
              || !state.has("sum")
              || (sum != null && !sum.equals(state.path("sum")))) {
            return false;
          }
          sum = state.path("sum");
        }
      }
      return sum != null;
    }

    private static long await(final long mostMs, final BooleanSupplier condition) {
      final long fromNs = System.nanoTime();
      while (!condition.getAsBoolean()) {
        if (System.nanoTime() - fromNs > TimeUnit.MILLISECONDS.toNanos(mostMs)) {
          return -1;
        }
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(3));
      }
      return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - fromNs);
    }

    private boolean hasDirective(
        final int number, final String what, final String endpoint, final int destination) {
      final JsonNode lanes = fleet.fetchPage(number, "lanes");
      for (final JsonNode lane : lanes == null ? List.<JsonNode>of() : lanes) {
        for (final JsonNode said : lane.path("said")) {
          if (said.path("what").asText().equals(what)
              && (endpoint.isEmpty()
                  ? lane.path("destination").asInt() == destination
                  : said.path("endpoint").asText().equals(endpoint))) {
            return true;
          }
        }
      }
      return false;
    }

    /**
     * Alternates between disabling an endpoint at one courier and enabling it at another, and a
     * destination that sends a Retry-After to one courier.
     */
    private void issueDirectives() {
      for (int turn = 0; !faultsEnded.get(); turn++) {
        final int at = random.nextInt(members);
        if (fleet.process(at) == null) {
          continue;
        }
        if (turn % 3 == 2 && !partitioned) {
          sendRetryAfter(at);
        } else {
          disableAndEnable(at, endpoints.get(random.nextInt(2)));
        }
      }
    }

    private void disableAndEnable(final int at, final StandInEndpoint endpoint) {
      if (!fleet.setDisabled(at, endpoint.name(), true)) {
        return;
      }
      final boolean excludedByAll =
          awaitEverywhere(
              disableTimes, number -> hasDirective(number, "exclusion", endpoint.name(), 0));
      if (excludedByAll) {
        await(IN_FLIGHT_MS, () -> false);
        final long before = endpoint.calls();
        await(300, () -> false);
        sentAfter += endpoint.calls() - before;
      }
      // Enabled again at the first other courier that accepts the request.
      for (int number = 0; number < members; number++) {
        final int other = (at + 1 + number) % members;
        if (fleet.process(other) != null && fleet.setDisabled(other, endpoint.name(), false)) {
          awaitEverywhere(
              new ArrayList<>(), one -> !hasDirective(one, "exclusion", endpoint.name(), 0));
          return;
        }
      }
    }

    private void sendRetryAfter(final int at) {
      final StandInEndpoint rejecting = endpoints.get(ENDPOINTS - 1);
      rejecting.setBehavior(new Behavior(Action.REJECT, 0, WAIT_MS));
      final long before = rejecting.calls();
      clients.get(at).submit("safe", 2, TIMEOUT_MS);
      if (await(2000, () -> rejecting.calls() > before) >= 0) {
        rejecting.setBehavior(Behavior.deliverAfter(10));
        awaitEverywhere(waitTimes, number -> hasDirective(number, "wait", "", 2));
        await(WAIT_MS, () -> false);
      }
      rejecting.setBehavior(Behavior.deliverAfter(10));
    }

    /** A condition on one courier. */
    private interface CourierCondition {
      boolean holds(int number);
    }

    /**
     * Polls every running courier until the condition holds there, and adds to {@code times} how
     * long that took. A courier that ends meanwhile is no longer polled.
     */
    private boolean awaitEverywhere(final List<Long> times, final CourierCondition condition) {
      final long fromNs = System.nanoTime();
      final List<Integer> remaining = new ArrayList<>();
      for (int number = 0; number < members; number++) {
        remaining.add(number);
      }
      final long took =
          await(
              MAX_WAIT_MS,
              () -> {
                remaining.removeIf(
                    number -> {
                      if (fleet.process(number) == null) {
                        return true;
                      }
                      final boolean holds = condition.holds(number);
                      if (holds) {
                        times.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - fromNs));
                      }
                      return holds;
                    });
                return remaining.isEmpty();
              });
      unobserved += took < 0 && !partitioned ? remaining.size() : 0;
      return took >= 0;
    }
  }
}
