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

/** How soon an endpoint that its registry marks DOWN gets nothing new. */
@Command(
    name = "drain",
    mixinStandardHelpOptions = true,
    description =
        "An endpoint is marked DOWN in the registry, in "
            + "many seeded runs: the first byte of the last new call, after the registry's answer that told it.")
final class MeasureDrain implements Callable<Integer> {
  private static final long US_PER_MS = 1000;
  private static final long WATCHED_US = 2_500_000;
  private static final long TIMEOUT_MS = 3000;

  @Option(names = "--runs", defaultValue = "200", description = "${DEFAULT-VALUE} unless told")
  private int runs;

  @Option(names = "--at-once", defaultValue = "5", description = "${DEFAULT-VALUE} unless told")
  private int atOnce;

  /**
   * One run: how long after the telling the last new call began, ms (0 if none did), and what was
   * broken.
   */
  private record Run(double lastMs, int delivered, List<Violation> broken) {}

  @Override
  public Integer call() throws Exception {
    final ExecutorService pool = Executors.newFixedThreadPool(atOnce);
    final List<Future<Run>> futures = new ArrayList<>();
    for (int seed = 1; seed <= runs; seed++) {
      final long own = seed;
      futures.add(pool.submit(() -> run(own)));
    }
    final List<Double> lastMs = new ArrayList<>();
    int delivered = 0;
    int broken = 0;
    for (final Future<Run> future : futures) {
      final Run run = future.get();
      lastMs.add(run.lastMs());
      delivered += run.delivered();
      broken += run.broken().size();
      run.broken().forEach(violation -> System.out.println("BROKEN: " + violation));
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
            broken,
            lastMs.get(runs / 2),
            lastMs.get(Math.min(runs - 1, runs * 99 / 100)),
            lastMs.get(runs - 1)));
    return broken == 0 ? 0 : 1;
  }

  private static Run run(final long seed) throws IOException, ConfigurationException {
    try (World world = new World(seed)) {
      final var standIns = world.standIns();
      final StandInEndpoint draining = standIns.endpoint(1);
      final StandInEndpoint other = standIns.endpoint(1);
      draining.setBehavior(Behavior.deliverAfter(standIns.randomInt(60)));
      other.setBehavior(Behavior.deliverAfter(standIns.randomInt(60)));
      standIns.registry.register(StandInRegistry.endpoint("heat", "a", draining.port(), 1, "UP"));
      standIns.registry.register(StandInRegistry.endpoint("heat", "b", other.port(), 1, "UP"));
      world.start(100 * US_PER_MS);
      standIns.startLoad(80 + standIns.randomInt(120), TIMEOUT_MS, 1);
      final long from = 20L + standIns.randomInt(60);
      standIns.await("calls", () -> draining.calls() > from);
      final long[] toldUs = new long[1];
      standIns.registry.setStatus(
          "heat",
          "a",
          "DOWN",
          () -> {
            if (toldUs[0] == 0) {
              toldUs[0] = standIns.clock.nowUs();
            }
            standIns.ruleChecker.recordDraining(standIns.clock.nowUs(), draining.name());
          });
      standIns.await(
          "the telling and what follows",
          () -> toldUs[0] != 0 && standIns.clock.nowUs() > toldUs[0] + WATCHED_US);
      final List<Violation> broken = standIns.stopLoadAndCheck();
      final double last =
          standIns.ruleChecker.drainLagsUs().stream().mapToLong(Long::longValue).max().orElse(0)
              / (double) US_PER_MS;
      return new Run(
          last, standIns.ruleChecker.outcomeCounts().getOrDefault("delivered", 0), broken);
    }
  }
}
