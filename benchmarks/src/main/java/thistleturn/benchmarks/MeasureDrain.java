package thistleturn.benchmarks;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thistleturn.courier.runtime.ConfigurationException;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInEndpoint.Behavior;
import thistleturn.testkit.StandInRegistry;
import thistleturn.testkit.Violation;

/** Measures how soon new calls to an endpoint stop after its registry marks it DOWN. */
@Command(
    name = "drain",
    mixinStandardHelpOptions = true,
    description =
        "Marks an endpoint DOWN in the registry, in many seeded runs: time from the registry's "
            + "response that reports it to the first byte of the last new call.")
final class MeasureDrain implements Callable<Integer> {
  private static final long US_PER_MS = 1000;
  private static final long OBSERVATION_US = 2_500_000;
  private static final long TIMEOUT_MS = 3000;

  @Option(
      names = "--runs",
      defaultValue = "200",
      description = "number of runs; default: ${DEFAULT-VALUE}")
  private int runs;

  @Option(
      names = "--at-once",
      defaultValue = "5",
      description = "runs in parallel; default: ${DEFAULT-VALUE}")
  private int parallelRuns;

  /**
   * Result of one run.
   *
   * @param lastMs time from the registry's response to the start of the last new call, ms; 0 if
   *     there was none
   * @param delivered number of delivered messages
   * @param violations violations of the rules
   */
  private record Run(double lastMs, int delivered, List<Violation> violations) {}

  @Override
  public Integer call() throws Exception {
    final ExecutorService pool = Executors.newFixedThreadPool(parallelRuns);
    final List<Future<Run>> futures = new ArrayList<>();
    for (int seed = 1; seed <= runs; seed++) {
      final long runSeed = seed;
      futures.add(pool.submit(() -> run(runSeed)));
    }
    final List<Double> lastMs = new ArrayList<>();
    int delivered = 0;
    int violationCount = 0;
    for (final Future<Run> future : futures) {
      final Run run = future.get();
      lastMs.add(run.lastMs());
      delivered += run.delivered();
      violationCount += run.violations().size();
      run.violations().forEach(violation -> System.out.println("BROKEN: " + violation));
      if (lastMs.size() % 20 == 0) {
        System.err.println(lastMs.size() + " of " + runs + " runs");
      }
    }
    pool.shutdown();
    Collections.sort(lastMs);
    System.out.println(
        "| runs | delivered | rules broken | last new call after the telling, ms: p50 | p99 | max |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    System.out.println(
        String.format(
            Locale.ROOT,
            "| %d | %,d | %d | %.1f | %.1f | %.1f |",
            runs,
            delivered,
            violationCount,
            lastMs.get(runs / 2),
            lastMs.get(Math.min(runs - 1, runs * 99 / 100)),
            lastMs.get(runs - 1)));
    return violationCount == 0 ? 0 : 1;
  }

  private static Run run(final long seed) throws IOException, ConfigurationException {
    try (CourierWithRegistry courier = new CourierWithRegistry(seed)) {
      final var standIns = courier.standIns();
      final StandInEndpoint draining = standIns.endpoint(1);
      final StandInEndpoint other = standIns.endpoint(1);
      draining.setBehavior(Behavior.deliverAfter(standIns.randomInt(60)));
      other.setBehavior(Behavior.deliverAfter(standIns.randomInt(60)));
      standIns.registry.register(StandInRegistry.endpoint("heat", "a", draining.port(), 1, "UP"));
      standIns.registry.register(StandInRegistry.endpoint("heat", "b", other.port(), 1, "UP"));
      courier.start(100 * US_PER_MS);
      standIns.startLoad(80 + standIns.randomInt(120), TIMEOUT_MS, 1);
      final long callsBeforeDown = 20L + standIns.randomInt(60);
      standIns.await("calls", () -> draining.calls() > callsBeforeDown);
      final long[] reportedUs = new long[1];
      standIns.registry.setStatus(
          "heat",
          "a",
          "DOWN",
          () -> {
            if (reportedUs[0] == 0) {
              reportedUs[0] = standIns.clock.nowUs();
            }
            standIns.ruleChecker.recordDraining(standIns.clock.nowUs(), draining.name());
          });
      standIns.await(
          "the registry's report of DOWN and the observation time",
          () -> reportedUs[0] != 0 && standIns.clock.nowUs() > reportedUs[0] + OBSERVATION_US);
      final List<Violation> violations = standIns.stopLoadAndCheck();
      final double lastMs =
          standIns.ruleChecker.drainLagsUs().stream().mapToLong(Long::longValue).max().orElse(0)
              / (double) US_PER_MS;
      return new Run(
          lastMs, standIns.ruleChecker.outcomeCounts().getOrDefault("delivered", 0), violations);
    }
  }
}
