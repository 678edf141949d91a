package thistleturn.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.HdrHistogram.ConcurrentHistogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import thistleturn.courier.CourierServer;
import thistleturn.courier.runtime.ConfigurationException;
import thistleturn.decisions.membership.MergeSettings;
import thistleturn.eureka.MetadataNames;
import thistleturn.eureka.RegistrySettings;
import thistleturn.membership.MembershipExtension;
import thistleturn.membership.MembershipSettings;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInEndpoint.Action;
import thistleturn.testkit.StandInEndpoint.Behavior;
import thistleturn.testkit.StandInRegistry;
import thistleturn.testkit.StandInWorld;
import thistleturn.testkit.Violation;

/**
 * Runs a courier for some seconds against stand-ins for its clients, endpoints and sources, injects
 * faults, and checks that no delivery rule is broken.
 */
@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description = {
      "Runs one courier for some seconds among stand-ins on loopback: a client, the platform's list, "
          + "a registry and six endpoints of three destinations.",
      "On the way one endpoint falls silent, one drains by the list's word and one by the registry's."
    })
final class DemoCommand implements Callable<Integer> {
  private static final long TIMEOUT_MS = 4000;
  private static final long US_PER_SECOND = 1_000_000;
  private static final int START_TIMEOUT_S = 30;
  private static final int ENDPOINTS = 6;
  private static final long MAX_LATENCY_US = 60_000_000L;
  private static final int MAX_VIOLATIONS_PRINTED = 20;

  /** A fault, or the end of one, and the text printed when it is injected. */
  private record Fault(String announcement, Runnable injection) {}

  @Option(
      names = "--seconds",
      defaultValue = "20",
      description = "how long; ${DEFAULT-VALUE} unless told")
  private int seconds;

  @Option(
      names = "--rate",
      defaultValue = "200",
      description = "messages a second; ${DEFAULT-VALUE} unless told")
  private int rate;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "of all chance; ${DEFAULT-VALUE} unless told")
  private long seed;

  @Spec private CommandSpec spec;

  @Override
  public Integer call() throws IOException, ConfigurationException {
    if (seconds < 4 || seconds > 3600 || rate < 1 || rate > 10_000) {
      throw new IllegalArgumentException("--seconds is from 4 to 3600 and --rate from 1 to 10000");
    }
    final Path folder = Files.createTempDirectory("thistleturn-demo");
    try (StandInWorld world = new StandInWorld(folder, seed)) {
      return run(world);
    } finally {
      deleteRecursively(folder);
    }
  }

  private static void deleteRecursively(final Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    }
  }

  private int run(final StandInWorld world) throws IOException, ConfigurationException {
    final List<StandInEndpoint> endpoints = startEndpoints(world);
    final CourierServer courier = startCourier(world);
    try {
      world.client.setCourierAddress(
          courier.ready().orTimeout(START_TIMEOUT_S, TimeUnit.SECONDS).join());
      final ConcurrentHistogram latencies = new ConcurrentHistogram(MAX_LATENCY_US, 3);
      world.client.onAnswer(us -> latencies.recordValue(Math.min(us, MAX_LATENCY_US)));
      out()
          .println(
              "one courier, " + rate + " messages a second for " + seconds + " s, seed " + seed);
      world.startLoad(rate, TIMEOUT_MS, 1, 2, 3);
      injectFaults(world, faults(world, endpoints));
      final List<Violation> violations = world.stopLoadAndCheck();
      printSummary(world.ruleChecker.outcomeCounts(), latencies, violations);
      printEndpoints(endpoints);
      violations.stream()
          .limit(MAX_VIOLATIONS_PRINTED)
          .forEach(violation -> out().println("BROKEN: " + violation));
      out().flush();
      return violations.isEmpty() ? ExitCode.OK : ExitCode.SOFTWARE;
    } finally {
      courier.kill();
    }
  }

  /** Two endpoints for each destination: four in the platform's list, two in the registry. */
  private static List<StandInEndpoint> startEndpoints(final StandInWorld world) throws IOException {
    final List<StandInEndpoint> endpoints = new ArrayList<>();
    for (int index = 0; index < ENDPOINTS; index++) {
      final StandInEndpoint endpoint = world.endpoint(1 + index / 2);
      endpoint.setBehavior(Behavior.deliverAfter(5 + world.randomInt(20)));
      endpoints.add(endpoint);
      if (endpoint.destination() < 3) {
        world.platform.announce(endpoint, "Ready", 2000);
      } else {
        world.registry.register(
            StandInRegistry.endpoint("HEAT", "pump-" + index, endpoint.port(), 3, "UP"));
      }
    }
    return endpoints;
  }

  private static CourierServer startCourier(final StandInWorld world)
      throws IOException, ConfigurationException {
    final RegistrySettings registry = registrySettings(world);
    return CourierServer.start(
        world.environment(CourierFiles.Size.usual()),
        new MembershipExtension(
            () -> new MembershipSettings(MergeSettings.defaults(), List.of(registry), null)));
  }

  private static RegistrySettings registrySettings(final StandInWorld world) {
    final InetSocketAddress address =
        new InetSocketAddress("127.0.0.1", world.registry.server().port());
    return new RegistrySettings(
        "registry",
        List.of(new RegistrySettings.Address(address, "/eureka")),
        List.of(),
        500_000,
        1_000_000,
        2_000_000,
        1 << 22,
        true,
        MetadataNames.standard());
  }

  private static List<Fault> faults(
      final StandInWorld world, final List<StandInEndpoint> endpoints) {
    return List.of(
        new Fault(
            "endpoint e0 falls silent",
            () -> endpoints.get(0).setBehavior(Behavior.of(Action.NO_ANSWER))),
        new Fault(
            "the list says that e2 drains",
            () -> world.platform.announce(endpoints.get(2), "Terminating", 2000)),
        new Fault("the registry says that e4 is DOWN", () -> markDown(world, endpoints.get(4))),
        new Fault(
            "endpoint e0 answers again",
            () -> endpoints.get(0).setBehavior(Behavior.deliverAfter(10))));
  }

  private static void markDown(final StandInWorld world, final StandInEndpoint endpoint) {
    world.registry.setStatus(
        "HEAT",
        "pump-4",
        "DOWN",
        () -> world.ruleChecker.recordDraining(world.clock.nowUs(), endpoint.name()));
  }

  /** Injects the faults at even intervals and prints a line of progress each second. */
  private void injectFaults(final StandInWorld world, final List<Fault> faults) {
    final long startUs = world.clock.nowUs();
    for (int second = 1; second <= seconds; second++) {
      world.waitUntil(startUs + second * US_PER_SECOND);
      final StringBuilder announcements = new StringBuilder();
      for (int index = 0; index < faults.size(); index++) {
        if (second == Math.max(1, (index + 1) * seconds / (faults.size() + 2))) {
          faults.get(index).injection().run();
          announcements.append("   <- ").append(faults.get(index).announcement());
        }
      }
      out()
          .println(
              String.format(
                  "%4d s  %s%s", second, world.ruleChecker.outcomeCounts(), announcements));
      out().flush();
    }
  }

  private void printSummary(
      final Map<String, Integer> outcomes,
      final ConcurrentHistogram latencies,
      final List<Violation> violations) {
    final Table table =
        new Table(
            "HANDED IN",
            "DELIVERED",
            "REFUSED",
            "FAILED",
            "LOST",
            "ANSWER P50",
            "ANSWER P99",
            "RULES");
    final long lost =
        violations.stream().filter(violation -> violation.rule() == Violation.Rule.LOST).count();
    table.addRow(
        Integer.toString(outcomes.values().stream().mapToInt(Integer::intValue).sum()),
        count(outcomes, "delivered"),
        count(outcomes, "rejected at submission", "deferred"),
        count(outcomes, "undeliverable", "failed at submission"),
        Long.toString(lost),
        percentileMs(latencies, 50),
        percentileMs(latencies, 99),
        violations.isEmpty() ? "all kept" : violations.size() + " BROKEN");
    out().println();
    table.print(out());
  }

  private void printEndpoints(final List<StandInEndpoint> endpoints) {
    final Table table = new Table("ENDPOINT", "DESTINATION", "CALLS");
    for (final StandInEndpoint endpoint : endpoints) {
      table.addRow(
          endpoint.name(), Long.toString(endpoint.destination()), Long.toString(endpoint.calls()));
    }
    out().println();
    table.print(out());
  }

  private PrintWriter out() {
    return spec.commandLine().getOut();
  }

  /** The number of messages with one of these outcomes. */
  private static String count(final Map<String, Integer> outcomes, final String... counted) {
    int sum = 0;
    for (final String outcome : counted) {
      sum += outcomes.getOrDefault(outcome, 0);
    }
    return Integer.toString(sum);
  }

  private static String percentileMs(final ConcurrentHistogram latencies, final double percentile) {
    return String.format(
        Locale.ROOT, "%.1f ms", latencies.getValueAtPercentile(percentile) / 1000.0);
  }
}
