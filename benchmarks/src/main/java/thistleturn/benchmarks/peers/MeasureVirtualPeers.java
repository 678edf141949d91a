package thistleturn.benchmarks.peers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thistleturn.decisions.peers.GossipSettings;
import thistleturn.lab.peers.Heartbeats;
import thistleturn.lab.peers.MembershipNode;
import thistleturn.lab.peers.ProtocolNode;
import thistleturn.lab.peers.Swim;
import thistleturn.lab.peers.VirtualPeers;
import thistleturn.testkit.rig.FleetChecker;
import thistleturn.testkit.rig.Schedule;

/**
 * Compares this project's membership protocol with other protocols on the same schedules in virtual
 * time.
 */
@Command(
    name = "peers-virtual",
    mixinStandardHelpOptions = true,
    description =
        "Seeded schedules in virtual time, the same for each protocol: couriers wrongly declared dead "
            + "an hour, time until all know of an ended courier, views, bytes.")
public final class MeasureVirtualPeers implements Callable<Integer> {
  private static final long END_MS = 45_000;
  private static final long MS = 1000;
  private static final double MS_PER_HOUR = 3_600_000;

  /** The faults of one row of the table. */
  enum Row {
    LOSS_0,
    LOSS_5,
    LOSS_30,
    PAUSES_30,
    ALL
  }

  @Option(
      names = "--rows",
      split = ",",
      defaultValue = "LOSS_0,LOSS_5,LOSS_30,PAUSES_30,ALL",
      description = "${COMPLETION-CANDIDATES}")
  private List<Row> rows;

  @Option(
      names = "--schedules",
      defaultValue = "400",
      description = "schedules per row; default: ${DEFAULT-VALUE}")
  private int schedules;

  @Option(
      names = "--members",
      defaultValue = "0",
      description =
          "couriers in a fleet; 0: 3 to 20, one in ten schedules 21 to 100, one in a "
              + "hundred 101 to 500")
  private int members;

  @Option(names = "--threads", defaultValue = "6", description = "default: ${DEFAULT-VALUE}")
  private int threads;

  @Option(names = "--ours-alone", description = "without the other protocols")
  private boolean oursAlone;

  @Option(
      names = "--quiet",
      description = "fleets of --members couriers without any fault, to measure their cost")
  private boolean quiet;

  /** Result of one protocol on one schedule. */
  private record RunResult(
      long seed,
      int members,
      List<Long> times,
      int ended,
      int wrong,
      int brokenOtherwise,
      boolean agreed,
      long agreedMs,
      long lastFaultMs,
      int changes,
      long bytes) {}

  private Map<String, MembershipNode.Factory> ways() {
    final Map<String, MembershipNode.Factory> ways = new LinkedHashMap<>();
    ways.put("peers", ProtocolNode.factory(GossipSettings.defaults(), true, event -> {}));
    ways.put(
        "peers, datagrams alone",
        ProtocolNode.factory(GossipSettings.defaults(), false, event -> {}));
    if (!oursAlone) {
      for (final long ms : new long[] {500, 2000, 7000}) {
        ways.put("SWIM, suspicion " + ms + " ms", Swim.factory(ms * MS));
      }
      for (final long ms : new long[] {1500, 3000, 8000}) {
        ways.put("heartbeats, limit " + ms + " ms", Heartbeats.fixed(ms * MS));
      }
      ways.put("phi accrual, 8", Heartbeats.accrual(8, 8000 * MS));
    }
    return ways;
  }

  private static Schedule.FaultMix faultMix(final Row row) {
    return switch (row) {
      case LOSS_0 -> Schedule.FaultMix.killsOnly(0);
      case LOSS_5 -> Schedule.FaultMix.killsOnly(0.05);
      case LOSS_30 -> Schedule.FaultMix.killsOnly(0.3);
      case PAUSES_30 -> new Schedule.FaultMix(0.3, true, true, 5000, true, false, true, true);
      case ALL -> Schedule.FaultMix.all(0.1, 5000);
    };
  }

  private int size(final long seed) {
    final Random random = new Random(seed * 31 + 7);
    final int kind = random.nextInt(100);
    return members > 0
        ? members
        : kind == 0
            ? 101 + random.nextInt(400)
            : kind < 10 ? 21 + random.nextInt(80) : 3 + random.nextInt(18);
  }

  private RunResult play(final Row row, final long seed, final MembershipNode.Factory maker) {
    final int size = size(seed);
    final Schedule schedule =
        quiet
            ? new Schedule(size, seed, END_MS, List.of())
            : Schedule.random(seed, size, END_MS, faultMix(row));
    final VirtualPeers world = new VirtualPeers(schedule, maker, 5000);
    final long[] bytesAtHalf = new long[1];
    if (quiet) {
      world.onEachStep(
          at ->
              bytesAtHalf[0] =
                  bytesAtHalf[0] == 0 && at.nowMs() >= END_MS / 2 ? at.bytes() : bytesAtHalf[0]);
    }
    final FleetChecker checker = world.play();
    final long lastFaultMs =
        schedule.faults().stream()
            .filter(fault -> fault.atMs() > 0)
            .mapToLong(fault -> fault.forMs() == 0 ? fault.atMs() : fault.endMs())
            .max()
            .orElse(0);
    // Only the second half of a quiet run counts, since all joins are in the first.
    return new RunResult(
        seed,
        size,
        checker.detectionTimesMs(),
        checker.endedCount(),
        checker.wronglyDeadCount(),
        checker.violations().size() - checker.wronglyDeadCount(),
        checker.isAgreed(),
        checker.lastAgreementMs(),
        lastFaultMs,
        checker.viewCount(),
        quiet ? 2 * (world.bytes() - bytesAtHalf[0]) : world.bytes());
  }

  @Override
  public Integer call() throws InterruptedException, ExecutionException {
    System.out.println(
        "| faults | way | schedules | ends | known to all, ms: p50 | p99 | most | nobody knew | wrong deaths an hour of a fleet | "
            + "number with two contents | not agreed at the end | agreed after the last fault, ms: p50 | p99 | views a fault | "
            + "bytes a second a member |");
    System.out.println(
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    boolean passed = true;
    for (final Row row : rows) {
      for (final Map.Entry<String, MembershipNode.Factory> way : ways().entrySet()) {
        passed &= row(row, way.getKey(), way.getValue());
      }
    }
    return passed ? 0 : 1;
  }

  private boolean row(final Row row, final String name, final MembershipNode.Factory maker)
      throws InterruptedException, ExecutionException {
    final ExecutorService pool = Executors.newFixedThreadPool(threads);
    final List<Future<RunResult>> running = new ArrayList<>();
    for (long seed = 0; seed < schedules; seed++) {
      final long scheduleSeed = seed;
      running.add(pool.submit(() -> play(row, scheduleSeed, maker)));
    }
    final List<RunResult> all = new ArrayList<>();
    for (final Future<RunResult> one : running) {
      all.add(one.get());
    }
    pool.shutdown();
    final List<Long> times = new ArrayList<>();
    final List<Long> agreed = new ArrayList<>();
    all.forEach(
        result -> {
          times.addAll(result.times());
          if (result.agreed() && result.lastFaultMs() > 0) {
            agreed.add(Math.max(0, result.agreedMs() - result.lastFaultMs()));
          }
        });
    Collections.sort(times);
    Collections.sort(agreed);
    final int ended = all.stream().mapToInt(RunResult::ended).sum();
    final int wrong = all.stream().mapToInt(RunResult::wrong).sum();
    final int brokenOtherwise = all.stream().mapToInt(RunResult::brokenOtherwise).sum();
    final long notAgreed = all.stream().filter(result -> !result.agreed()).count();
    final double bytes =
        all.stream()
            .mapToDouble(result -> result.bytes() / (END_MS / 1000.0) / result.members())
            .average()
            .orElse(0);
    final boolean isOurs = name.startsWith("peers");
    System.out.println(
        String.format(
            Locale.ROOT,
            "| %s | %s | %d | %d | %s | %s | %s | %d | %.2f | %s | %d | %s | %s | %s | %.0f |",
            row,
            name,
            schedules,
            ended,
            MeasurePeers.quantile(times, 0.5),
            MeasurePeers.quantile(times, 0.99),
            MeasurePeers.quantile(times, 1),
            ended - times.size(),
            wrong * MS_PER_HOUR / END_MS / schedules,
            isOurs ? Integer.toString(brokenOtherwise) : "-",
            notAgreed,
            MeasurePeers.quantile(agreed, 0.5),
            MeasurePeers.quantile(agreed, 0.99),
            isOurs && ended > 0
                ? String.format(
                    Locale.ROOT,
                    "%.2f",
                    (all.stream().mapToInt(RunResult::changes).sum() - 2.0 * schedules)
                        / Math.max(1, all.stream().mapToInt(RunResult::ended).sum()))
                : "-",
            bytes));
    if (isOurs) {
      all.stream()
          .filter(result -> result.wrong() + result.brokenOtherwise() > 0 || !result.agreed())
          .limit(5)
          .forEach(
              result ->
                  System.out.println(
                      "seed "
                          + result.seed()
                          + " of "
                          + row
                          + ", "
                          + result.members()
                          + " members: wrong "
                          + result.wrong()
                          + ", agreed "
                          + result.agreed()));
    }
    return !isOurs || (wrong == 0 && brokenOtherwise == 0 && notAgreed == 0);
  }
}
