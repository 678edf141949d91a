package thistleturn.benchmarks;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thistleturn.courier.runtime.ConfigurationException;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInEndpoint.Behavior;
import thistleturn.testkit.StandInRegistry;
import thistleturn.testkit.StandInRegistry.Fault;
import thistleturn.testkit.StandInWorld;
import thistleturn.testkit.Violation;

/** Measures delivery during each kind of registry outage, compared with a run without one. */
@Command(
    name = "outage",
    mixinStandardHelpOptions = true,
    description =
        "Delivery during each kind of registry outage, compared with a run without one; "
            + "the registry is the only source of endpoints.")
final class MeasureOutage implements Callable<Integer> {
  private static final long TIMEOUT_MS = 3000;
  private static final double RATE = 200;
  private static final long PERIOD_US = 100_000;

  @Option(
      names = "--seconds",
      defaultValue = "6",
      description = "duration of each outage; default: ${DEFAULT-VALUE}")
  private int seconds;

  @Override
  public Integer call() throws Exception {
    System.out.println(
        "| outage | handed in | delivered | share | endpoints up at the end | rules broken |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    int violationCount = measure("none (sound registry)", world -> {});
    violationCount += measure("unreachable", world -> world.registry.server().down());
    violationCount += measure("restarted, empty", world -> world.registry.restart());
    for (final Fault fault : Fault.values()) {
      if (fault != Fault.NONE) {
        violationCount +=
            measure(
                fault.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                world -> world.registry.setFault(fault));
      }
    }
    return violationCount == 0 ? 0 : 1;
  }

  /** Starts an outage of the registry. */
  @FunctionalInterface
  private interface Outage {
    /** Starts the outage. */
    void begin(StandInWorld world);
  }

  private int measure(final String name, final Outage outage)
      throws IOException, ConfigurationException {
    try (CourierWithRegistry courier = new CourierWithRegistry(1)) {
      final StandInWorld standIns = courier.standIns();
      final StandInEndpoint[] endpoints = new StandInEndpoint[4];
      for (int index = 0; index < endpoints.length; index++) {
        endpoints[index] = standIns.endpoint(1 + index / 2);
        endpoints[index].setBehavior(Behavior.deliverAfter(10));
        standIns.registry.register(
            StandInRegistry.endpoint(
                "heat", "i" + index, endpoints[index].port(), 1 + index / 2, "UP"));
      }
      courier.start(PERIOD_US);
      standIns.startLoad(RATE, TIMEOUT_MS, 1, 2);
      standIns.await(
          "more than 10 calls to each endpoint",
          () -> List.of(endpoints).stream().allMatch(endpoint -> endpoint.calls() > 10));
      outage.begin(standIns);
      final long outageEndUs = standIns.clock.nowUs() + seconds * 1_000_000L;
      final long[] callsAtHalf = new long[endpoints.length];
      standIns.await(
          "half of the outage", () -> standIns.clock.nowUs() > outageEndUs - seconds * 500_000L);
      for (int index = 0; index < endpoints.length; index++) {
        callsAtHalf[index] = endpoints[index].calls();
      }
      standIns.await("the end of the outage", () -> standIns.clock.nowUs() > outageEndUs);
      long up = 0;
      for (int index = 0; index < endpoints.length; index++) {
        up += endpoints[index].calls() > callsAtHalf[index] ? 1 : 0;
      }
      final List<Violation> violations = standIns.stopLoadAndCheck();
      final Map<String, Integer> outcomeCounts = standIns.ruleChecker.outcomeCounts();
      // Counts the complete run: messages pending when the outage began are affected by it too.
      final int messages = sum(outcomeCounts);
      final int delivered = outcomeCounts.getOrDefault("delivered", 0);
      System.out.println(
          String.format(
              Locale.ROOT,
              "| %s | %,d | %,d | %.4f | %d of %d | %d |",
              name,
              messages,
              delivered,
              (double) delivered / messages,
              up,
              endpoints.length,
              violations.size()));
      return violations.size();
    }
  }

  private static int sum(final Map<String, Integer> outcomeCounts) {
    return outcomeCounts.values().stream().mapToInt(Integer::intValue).sum();
  }
}
