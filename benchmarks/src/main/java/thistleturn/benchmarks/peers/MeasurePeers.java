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
 * Real processes, each pair joined by a relay in each direction, under seeded schedules of faults.
 */
@Command(
    name = "peers",
    mixinStandardHelpOptions = true,
    description =
        "Real couriers through relays under seeded schedules: how soon "
            + "an end is known to all, who is wrongly declared dead, how soon views agree.")
public final class MeasurePeers implements Callable<Integer> {
  /** Which faults a row of the table has. */
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
      description = "a row; ${DEFAULT-VALUE} unless told")
  private int schedules;

  @Option(
      names = "--members",
      defaultValue = "10",
      description = "real processes at once in a fleet; ${DEFAULT-VALUE} unless told")
  private int members;

  @Option(
      names = "--fleets",
      defaultValue = "3",
      description = "fleets at the same time; ${DEFAULT-VALUE} unless told")
  private int fleets;

  @Option(
      names = "--seconds",
      defaultValue = "35",
      description = "a schedule; ${DEFAULT-VALUE} unless told")
  private int seconds;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "of the first schedule; ${DEFAULT-VALUE} unless told")
  private long seed;

  @Option(
      names = "--file",
      description = "one schedule from a file, in place of the table; prints what the couriers say")
  private Path file;

  private static Schedule.FaultMix weather(final Row row) {
    return switch (row) {
      case LOSS_5 -> Schedule.FaultMix.killsOnly(0.05);
      case LOSS_30 -> Schedule.FaultMix.killsOnly(0.3);
      case PAUSES_30 -> new Schedule.FaultMix(0.3, false, false, 5000, false, false, true, true);
      case ONE_WAY -> new Schedule.FaultMix(0.05, false, false, 0, true, false, false, true);
      case ALL -> Schedule.FaultMix.all(0.1, 5000);
    };
  }

  /** One schedule's outcome. */
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
    boolean kept = true;
    for (final Row row : rows) {
      kept &= row(row);
    }
    return kept ? 0 : 1;
  }

  private boolean row(final Row row) throws InterruptedException, ExecutionException {
    final ExecutorService pool = Executors.newFixedThreadPool(fleets);
    final List<Future<Played>> running = new ArrayList<>();
    for (int number = 0; number < schedules; number++) {
      final long of = seed + number;
      running.add(
          pool.submit(
              () -> play(Schedule.random(of, members, seconds * 1000L, weather(row)), false)));
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
    final long apart = all.stream().filter(played -> !played.agreed()).count();
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
            apart));
    all.stream()
        .limit(3)
        .forEach(
            played ->
                System.out.println("took place, seed " + played.seed() + ": " + played.tally()));
    return broken == 0 && apart == 0;
  }

  static String quantile(final List<Long> sorted, final double share) {
    return sorted.isEmpty()
        ? "-"
        : Long.toString(
            sorted.get((int) Math.min(sorted.size() - 1, Math.floor(share * sorted.size()))));
  }

  private static Played play(final Schedule schedule, final boolean talk) throws IOException {
    final Path folder = Files.createTempDirectory("thistleturn-peers");
    try (StandInWorld world = new StandInWorld(folder, schedule.seed());
        RealFleet fleet =
            new RealFleet(
                folder, schedule, world.platform.address(), world.platform.known(), "", 5000)) {
      final FleetChecker judge = fleet.run();
      if (talk || !judge.violations().isEmpty() || !judge.isAgreed()) {
        fleet.recentLines().forEach(System.err::println);
      }
      return new Played(
          schedule.seed(),
          judge.detectionTimesMs(),
          judge.endedCount(),
          judge.wronglyDeadCount(),
          judge.isAgreed(),
          List.copyOf(judge.violations()),
          fleet.summary());
    } finally {
      Folders.delete(folder);
    }
  }
}
