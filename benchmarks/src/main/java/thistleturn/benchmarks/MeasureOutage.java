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

/** Service through each kind of outage of the registry, beside a run without one. */
@Command(
    name = "outage",
    mixinStandardHelpOptions = true,
    description =
        "Service through each kind of outage of the "
            + "registry, beside a run without one: every endpoint is known by the registry alone.")
final class MeasureOutage implements Callable<Integer> {
  private static final long TIMEOUT_MS = 3000;
  private static final double RATE = 200;
  private static final long PERIOD_US = 100_000;

  @Option(
      names = "--seconds",
      defaultValue = "6",
      description = "of outage, each; ${DEFAULT-VALUE} unless told")
  private int seconds;

  @Override
  public Integer call() throws Exception {
    System.out.println(
        "| outage | handed in | delivered | share | endpoints up at the end | rules broken |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    int broken = row("none (sound registry)", world -> {});
    broken += row("unreachable", world -> world.registry.server().down());
    broken += row("restarted, empty", world -> world.registry.restart());
    for (final Fault fault : Fault.values()) {
      if (fault != Fault.NONE) {
        broken +=
            row(
                fault.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                world -> world.registry.setFault(fault));
      }
    }
    return broken == 0 ? 0 : 1;
  }

  /** What befalls the registry. */
  @FunctionalInterface
  private interface Outage {
    /** Begins it. */
    void begin(StandInWorld world);
  }

  private int row(final String name, final Outage outage)
      throws IOException, ConfigurationException {
    try (World world = new World(1)) {
      final StandInWorld standIns = world.standIns();
      final StandInEndpoint[] endpoints = new StandInEndpoint[4];
      for (int index = 0; index < endpoints.length; index++) {
        endpoints[index] = standIns.endpoint(1 + index / 2);
        endpoints[index].setBehavior(Behavior.deliverAfter(10));
        standIns.registry.register(
            StandInRegistry.endpoint(
                "heat", "i" + index, endpoints[index].port(), 1 + index / 2, "UP"));
      }
      world.start(PERIOD_US);
      standIns.startLoad(RATE, TIMEOUT_MS, 1, 2);
      standIns.await(
          "calls everywhere", () -> List.of(endpoints).stream().allMatch(one -> one.calls() > 10));
      outage.begin(standIns);
      final long untilUs = standIns.clock.nowUs() + seconds * 1_000_000L;
      final long[] calls = new long[endpoints.length];
      standIns.await("the half of it", () -> standIns.clock.nowUs() > untilUs - seconds * 500_000L);
      for (int index = 0; index < endpoints.length; index++) {
        calls[index] = endpoints[index].calls();
      }
      standIns.await("the end of it", () -> standIns.clock.nowUs() > untilUs);
      long up = 0;
      for (int index = 0; index < endpoints.length; index++) {
        up += endpoints[index].calls() > calls[index] ? 1 : 0;
      }
      final List<Violation> broken = standIns.stopLoadAndCheck();
      final Map<String, Integer> after = standIns.ruleChecker.outcomeCounts();
      // The whole run counts, from before the outage on: what was open when it began belongs to it.
      final int handed = sum(after);
      final int delivered = after.getOrDefault("delivered", 0);
      System.out.println(
          String.format(
              Locale.ROOT,
              "| %s | %,d | %,d | %.4f | %d of %d | %d |",
              name,
              handed,
              delivered,
              (double) delivered / handed,
              up,
              endpoints.length,
              broken.size()));
      return broken.size();
    }
  }

  private static int sum(final Map<String, Integer> ends) {
    return ends.values().stream().mapToInt(Integer::intValue).sum();
  }
}
