package thistleturn.benchmarks.peers;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thistleturn.benchmarks.Folders;
import thistleturn.testkit.StandInWorld;
import thistleturn.testkit.rig.FleetChecker;
import thistleturn.testkit.rig.RealFleet;
import thistleturn.testkit.rig.Schedule;

/**
 * Measures real processes under seeded schedules of faults; each pair is connected by one relay in
 * each direction.
 */
@Command(
    name = "peers",
    mixinStandardHelpOptions = true,
    description =
        "Real couriers connected through relays, under seeded schedules: how soon "
            + "all know of an ended courier, how many are wrongly declared dead, how soon views agree.")
public final class MeasurePeers implements Callable<Integer> {
  /** The faults of one row of the table. */
  enum Row {
    LOSS_5,
    LOSS_30,
    PAUSES_30,
    ONE_WAY,
    ALL
  }

  @Option(
      names = "--rows",
      split = ",",
      defaultValue = "LOSS_5,LOSS_30,PAUSES_30,ONE_WAY,ALL",
      description = "${COMPLETION-CANDIDATES}")
  private List<Row> rows;

  @Option(
      names = "--schedules",
      defaultValue = "20",
      description = "schedules per row; default: ${DEFAULT-VALUE}")
  private int schedules;

  @Option(
      names = "--members",
      defaultValue = "10",
      description = "processes in a fleet; default: ${DEFAULT-VALUE}")
  private int members;

  @Option(
      names = "--fleets",
      defaultValue = "3",
      description = "fleets that run at the same time; default: ${DEFAULT-VALUE}")
  private int fleets;

  @Option(
      names = "--seconds",
      defaultValue = "35",
      description = "duration of a schedule; default: ${DEFAULT-VALUE}")
  private int seconds;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "seed of the first schedule; default: ${DEFAULT-VALUE}")
  private long seed;

  @Option(
      names = "--file",
      description =
          "runs one schedule from a file instead of the table, and prints the couriers' output")
  private Path file;

  private static Schedule.FaultMix faultMix(final Row row) {
    return switch (row) {
      case LOSS_5 -> Schedule.FaultMix.killsOnly(0.05);
      case LOSS_30 -> Schedule.FaultMix.killsOnly(0.3);
      case PAUSES_30 -> new Schedule.FaultMix(0.3, false, false, 5000, false, false, true, true);
      case ONE_WAY -> new Schedule.FaultMix(0.05, false, false, 0, true, false, false, true);
      case ALL -> Schedule.FaultMix.all(0.1, 5000);
    };
  }

  /** Result of one schedule. {@code --file} prints it with the names of its components. */
  private record Played(
      long seed,
      List<Long> times,
      int ended,
      int wrong,
      boolean agreed,
      List<String> broken,
      String tally) {}

  @Override
  public Integer call() throws IOException, InterruptedException, ExecutionException {
    if (file != null) {
      final Played played = play(Schedule.parse(Files.readString(file)), true);
      System.out.println(played);
      return played.broken().isEmpty() && played.agreed() ? 0 : 1;
    }
    System.out.println(
        "| faults | schedules | ends | known to all, ms: p50 | p99 | most | wrongly dead | other promises broken | "
            + "not agreed at the end |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    boolean passed = true;
    for (final Row row : rows) {
      passed &= row(row);
    }
    return passed ? 0 : 1;
  }

  private boolean row(final Row row) throws InterruptedException, ExecutionException {
    final ExecutorService pool = Executors.newFixedThreadPool(fleets);
    final List<Future<Played>> running = new ArrayList<>();
    for (int number = 0; number < schedules; number++) {
      final long scheduleSeed = seed + number;
      running.add(
          pool.submit(
              () ->
                  play(
                      Schedule.random(scheduleSeed, members, seconds * 1000L, faultMix(row)),
                      false)));
    }
    final List<Long> times = new ArrayList<>();
    final List<Played> all = new ArrayList<>();
    for (final Future<Played> one : running) {
      final Played played = one.get();
      all.add(played);
      times.addAll(played.times());
      if (!played.broken().isEmpty() || !played.agreed()) {
        System.out.println(
            "seed " + played.seed() + ": agreed " + played.agreed() + ", " + played.broken());
      }
    }
    pool.shutdown();
    Collections.sort(times);
    final int wrong = all.stream().mapToInt(Played::wrong).sum();
    final int broken = all.stream().mapToInt(played -> played.broken().size()).sum();
    final long notAgreed = all.stream().filter(played -> !played.agreed()).count();
    System.out.println(
        String.format(
            Locale.ROOT,
            "| %s | %d | %d | %s | %s | %s | %d | %d | %d |",
            row,
            schedules,
            all.stream().mapToInt(Played::ended).sum(),
            quantile(times, 0.5),
            quantile(times, 0.99),
            quantile(times, 1),
            wrong,
            broken - wrong,
            notAgreed));
    all.stream()
        .limit(3)
        .forEach(
            played ->
                System.out.println(
                    "injected faults, seed " + played.seed() + ": " + played.tally()));
    return broken == 0 && notAgreed == 0;
  }

  static String quantile(final List<Long> sorted, final double share) {
    return sorted.isEmpty()
        ? "-"
        : Long.toString(
            sorted.get((int) Math.min(sorted.size() - 1, Math.floor(share * sorted.size()))));
  }

  private static Played play(final Schedule schedule, final boolean printOutput)
      throws IOException {
    final Path folder = Files.createTempDirectory("thistleturn-peers");
    try (StandInWorld world = new StandInWorld(folder, schedule.seed());
        RealFleet fleet =
            new RealFleet(
                folder, schedule, world.platform.address(), world.platform.known(), "", 5000)) {
      final FleetChecker checker = fleet.run();
      if (printOutput || !checker.violations().isEmpty() || !checker.isAgreed()) {
        fleet.recentLines().forEach(System.err::println);
      }
      return new Played(
          schedule.seed(),
          checker.detectionTimesMs(),
          checker.endedCount(),
          checker.wronglyDeadCount(),
          checker.isAgreed(),
          List.copyOf(checker.violations()),
          fleet.summary());
    } finally {
      Folders.delete(folder);
    }
  }
}
