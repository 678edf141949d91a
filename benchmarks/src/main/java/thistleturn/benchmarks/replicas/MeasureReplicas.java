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

/** Real couriers that hold one state, under load and seeded schedules of faults. */
@Command(
    name = "replicas",
    mixinStandardHelpOptions = true,
    description =
        "Real couriers through relays: how soon an endpoint left out by "
            + "hand at one is left out by all, how soon a wait told to one binds all, what is sent after that, and whether copies are equal.")
public final class MeasureReplicas implements Callable<Integer> {
  /** Which faults a row of the table has. */
  enum Row {
    LOSS_5,
    LOSS_20,
    ALL
  }

  private static final String REPLICAS = "[replicas]\nenabled = true\n";
  private static final long MOST_MS = 8000;
  private static final long CALM_MS = 12_000;
  private static final long TIMEOUT_MS = 6000;
  private static final int ENDPOINTS = 4;
  private static final long WAIT_MS = 2500;

  /** What is on its way when a word comes is there by then. */
  private static final long ON_ITS_WAY_MS = 150;

  @Option(
      names = "--rows",
      split = ",",
      defaultValue = "LOSS_5,LOSS_20,ALL",
      description = "${COMPLETION-CANDIDATES}")
  private List<Row> rows;

  @Option(
      names = "--schedules",
      defaultValue = "10",
      description = "a row; ${DEFAULT-VALUE} unless told")
  private int schedules;

  @Option(
      names = "--members",
      defaultValue = "8",
      description = "real processes at once in a fleet; ${DEFAULT-VALUE} unless told")
  private int members;

  @Option(
      names = "--fleets",
      defaultValue = "2",
      description = "fleets at the same time; ${DEFAULT-VALUE} unless told")
  private int fleets;

  @Option(
      names = "--seconds",
      defaultValue = "30",
      description = "a schedule; ${DEFAULT-VALUE} unless told")
  private int seconds;

  @Option(
      names = "--per-second",
      defaultValue = "15",
      description = "messages a courier; ${DEFAULT-VALUE} unless told")
  private double perSecond;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "of the first schedule; ${DEFAULT-VALUE} unless told")
  private long seed;

  /** One schedule's outcome; times in ms. */
  private record Played(
      long seed,
      List<Long> bans,
      List<Long> waits,
      long never,
      long sentAfter,
      long equalMs,
      List<String> broken,
      long messages,
      String tally) {}

  private static Schedule.FaultMix weather(final Row row) {
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
    final List<Future<Played>> running = new ArrayList<>();
    for (int number = 0; number < schedules; number++) {
      final long of = seed + number;
      running.add(
          pool.submit(
              () ->
                  new Play(
                          Schedule.random(of, members, seconds * 1000L, weather(row)),
                          row == Row.ALL)
                      .play()));
    }
    final List<Long> bans = new ArrayList<>();
    final List<Long> waits = new ArrayList<>();
    long never = 0;
    long sentAfter = 0;
    long equalMs = 0;
    long messages = 0;
    int broken = 0;
    for (final Future<Played> one : running) {
      final Played played = one.get();
      bans.addAll(played.bans);
      waits.addAll(played.waits);
      never += played.never;
      sentAfter += played.sentAfter;
      equalMs = played.equalMs < 0 || equalMs < 0 ? -1 : Math.max(equalMs, played.equalMs);
      messages += played.messages;
      broken += played.broken.size();
      played.broken.stream()
          .limit(5)
          .forEach(what -> System.out.println("BROKEN, seed " + played.seed + ": " + what));
    }
    pool.shutdown();
    Collections.sort(bans);
    Collections.sort(waits);
    System.out.println(
        String.format(
            Locale.ROOT,
            "| %s | %d | %d | %s | %s | %s | %d | %d | %d | %s | %s | %s | %d | %d | %d |",
            row,
            schedules,
            bans.size(),
            quantile(bans, 0.5),
            quantile(bans, 0.99),
            quantile(bans, 1),
            never,
            sentAfter,
            waits.size(),
            quantile(waits, 0.5),
            quantile(waits, 0.99),
            quantile(waits, 1),
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

  /** One schedule. */
  private final class Play {
    private final Schedule schedule;
    private final boolean partly;
    private final Random random;
    private final List<StandInEndpoint> endpoints = new ArrayList<>();
    private final List<StandInClient> clients = new ArrayList<>();
    private final List<Long> bans = Collections.synchronizedList(new ArrayList<>());
    private final List<Long> waits = Collections.synchronizedList(new ArrayList<>());
    private final AtomicBoolean over = new AtomicBoolean();
    private StandInWorld world;
    private RealFleet fleet;
    private long never;
    private long sentAfter;

    /** {@code partly}: not everybody can be reached at any time. */
    Play(final Schedule schedule, final boolean partly) {
      this.schedule = schedule;
      this.partly = partly;
      this.random = new Random(schedule.seed());
    }

    Played play() throws IOException {
      final Path folder = Files.createTempDirectory("thistleturn-replicas");
      try (StandInWorld made = new StandInWorld(folder, schedule.seed())) {
        world = made;
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
          return run();
        }
      } finally {
        clients.forEach(StandInClient::close);
        Folders.delete(folder);
      }
    }

    private Played run() throws IOException {
      fleet.onAgreement(
          () -> {
            for (int number = 0; number < members; number++) {
              final StandInClient client = world.client("c" + number + "-");
              client.setCourierAddress(fleet.clientAddress(number));
              clients.add(client);
              world.startLoad(client, perSecond, TIMEOUT_MS, 1);
            }
          });
      final Thread words = new Thread(this::speak, "words");
      fleet.at(500, words::start);
      fleet.at(schedule.endMs() - CALM_MS, () -> over.set(true));
      final long[] calmNs = {0};
      final long[] equalMs = {-1};
      final Thread compares =
          new Thread(
              () -> {
                calmNs[0] = System.nanoTime();
                equalMs[0] = await(CALM_MS - 1000, this::isEqual);
              },
              "compares");
      fleet.at(schedule.endMs() - CALM_MS + 100, compares::start);
      fleet.at(schedule.endMs() - 3000, world::stopSubmitting);
      fleet.run();
      join(words);
      join(compares);
      return new Played(
          schedule.seed(),
          List.copyOf(bans),
          List.copyOf(waits),
          never,
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
     * Couriers that are killed and not started again leave messages without an end; that breaks no
     * rule.
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

    private boolean says(
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
     * In turn: an endpoint is left out at one courier and let serve at another; a destination tells
     * one to wait.
     */
    private void speak() {
      for (int turn = 0; !over.get(); turn++) {
        final int at = random.nextInt(members);
        if (fleet.process(at) == null) {
          continue;
        }
        if (turn % 3 == 2 && !partly) {
          tellWait(at);
        } else {
          leaveOut(at, endpoints.get(random.nextInt(2)));
        }
      }
    }

    private void leaveOut(final int at, final StandInEndpoint endpoint) {
      if (!fleet.setDisabled(at, endpoint.name(), true)) {
        return;
      }
      final boolean all = everywhere(bans, number -> says(number, "exclusion", endpoint.name(), 0));
      if (all) {
        await(ON_ITS_WAY_MS, () -> false);
        final long before = endpoint.calls();
        await(300, () -> false);
        sentAfter += endpoint.calls() - before;
      }
      // Let serve again by whoever knows of the word.
      for (int number = 0; number < members; number++) {
        final int other = (at + 1 + number) % members;
        if (fleet.process(other) != null && fleet.setDisabled(other, endpoint.name(), false)) {
          everywhere(new ArrayList<>(), one -> !says(one, "exclusion", endpoint.name(), 0));
          return;
        }
      }
    }

    private void tellWait(final int at) {
      final StandInEndpoint slow = endpoints.get(ENDPOINTS - 1);
      slow.setBehavior(new Behavior(Action.REJECT, 0, WAIT_MS));
      final long before = slow.calls();
      clients.get(at).submit("safe", 2, TIMEOUT_MS);
      if (await(2000, () -> slow.calls() > before) >= 0) {
        slow.setBehavior(Behavior.deliverAfter(10));
        everywhere(waits, number -> says(number, "wait", "", 2));
        await(WAIT_MS, () -> false);
      }
      slow.setBehavior(Behavior.deliverAfter(10));
    }

    /** How a courier is asked. */
    private interface Ask {
      boolean of(int number);
    }

    /**
     * Asks all that run, each until it says so; adds how long that took. One that ends meanwhile is
     * not asked any more.
     */
    private boolean everywhere(final List<Long> times, final Ask ask) {
      final long fromNs = System.nanoTime();
      final List<Integer> left = new ArrayList<>();
      for (int number = 0; number < members; number++) {
        left.add(number);
      }
      final long took =
          await(
              MOST_MS,
              () -> {
                left.removeIf(
                    number -> {
                      if (fleet.process(number) == null) {
                        return true;
                      }
                      final boolean is = ask.of(number);
                      if (is) {
                        times.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - fromNs));
                      }
                      return is;
                    });
                return left.isEmpty();
              });
      never += took < 0 && !partly ? left.size() : 0;
      return took >= 0;
    }
  }
}
