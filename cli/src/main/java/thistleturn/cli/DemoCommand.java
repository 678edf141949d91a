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
import thistleturn.testkit.StandInEndpoint.Act;
import thistleturn.testkit.StandInEndpoint.Manner;
import thistleturn.testkit.StandInRegistry;
import thistleturn.testkit.StandInWorld;
import thistleturn.testkit.Violation;

/** A courier in a small world of stand-ins, with trouble on the way. */
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
  private static final long US_PER_MS = 1000;
  private static final int STARTING_S = 30;

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
      try (Stream<Path> files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
      }
    }
  }

  private int run(final StandInWorld world) throws IOException, ConfigurationException {
    final PrintWriter out = spec.commandLine().getOut();
    final List<StandInEndpoint> endpoints = new ArrayList<>();
    for (int index = 0; index < 6; index++) {
      final StandInEndpoint endpoint = world.endpoint(1 + index / 2);
      endpoint.fare(Manner.after(5 + world.random(20)));
      endpoints.add(endpoint);
      if (endpoint.destination() < 3) {
        world.platform.tell(endpoint, "Ready", 2000);
      } else {
        world.registry.register(
            StandInRegistry.endpoint("HEAT", "pump-" + index, endpoint.port(), 3, "UP"));
      }
    }
    final RegistrySettings registry =
        new RegistrySettings(
            "registry",
            List.of(
                new RegistrySettings.Address(
                    new InetSocketAddress("127.0.0.1", world.registry.server().port()), "/eureka")),
            List.of(),
            500_000,
            1_000_000,
            2_000_000,
            1 << 22,
            true,
            MetadataNames.standard());
    final CourierServer courier =
        CourierServer.start(
            world.environment(CourierFiles.Size.usual()),
            new MembershipExtension(
                () -> new MembershipSettings(MergeSettings.defaults(), List.of(registry), null)));
    try {
      world.client.courier(courier.ready().orTimeout(STARTING_S, TimeUnit.SECONDS).join());
      final ConcurrentHistogram answers = new ConcurrentHistogram(60_000_000L, 3);
      world.client.onAnswer(us -> answers.recordValue(Math.min(us, 60_000_000L)));
      out.println(
          "one courier, " + rate + " messages a second for " + seconds + " s, seed " + seed);
      world.load(rate, TIMEOUT_MS, 1, 2, 3);
      final long beganUs = world.ticks.nowUs();
      final Runnable[] troubles = {
        () -> endpoints.get(0).fare(Manner.of(Act.SILENCE)),
        () -> world.platform.tell(endpoints.get(2), "Terminating", 2000),
        () -> down(world, endpoints.get(4)),
        () -> endpoints.get(0).fare(Manner.after(10))
      };
      final String[] words = {
        "endpoint e0 falls silent",
        "the list says that e2 drains",
        "the registry says that e4 is DOWN",
        "endpoint e0 answers again"
      };
      for (int second = 1; second <= seconds; second++) {
        world.until(beganUs + second * US_PER_MS * 1000);
        String trouble = "";
        for (int index = 0; index < troubles.length; index++) {
          if (second == Math.max(1, (index + 1) * seconds / (troubles.length + 2))) {
            troubles[index].run();
            trouble += "   <- " + words[index];
          }
        }
        out.println(String.format("%4d s  %s%s", second, world.auditor.ends(), trouble));
        out.flush();
      }
      final List<Violation> broken = world.stopLoad();
      close(out, world, endpoints, answers, broken);
      return broken.isEmpty() ? 0 : 1;
    } finally {
      courier.kill();
    }
  }

  private static void down(final StandInWorld world, final StandInEndpoint endpoint) {
    world.registry.status(
        "HEAT", "pump-4", "DOWN", () -> world.auditor.closed(world.ticks.nowUs(), endpoint.name()));
  }

  private static void close(
      final PrintWriter out,
      final StandInWorld world,
      final List<StandInEndpoint> endpoints,
      final ConcurrentHistogram answers,
      final List<Violation> broken) {
    final Map<String, Integer> ends = world.auditor.ends();
    final long lost =
        broken.stream().filter(violation -> violation.rule() == Violation.Rule.LOST).count();
    out.println();
    final List<String[]> rows = new ArrayList<>();
    rows.add(
        new String[] {
          "HANDED IN", "DELIVERED", "REFUSED", "FAILED", "LOST", "ANSWER P50", "ANSWER P99", "RULES"
        });
    rows.add(
        new String[] {
          Integer.toString(ends.values().stream().mapToInt(Integer::intValue).sum()),
          count(ends, "delivered"),
          Integer.toString(
              ends.getOrDefault("refused at the door", 0) + ends.getOrDefault("deferred", 0)),
          Integer.toString(
              ends.getOrDefault("undeliverable", 0) + ends.getOrDefault("failed at the door", 0)),
          Long.toString(lost),
          ms(answers, 50),
          ms(answers, 99),
          broken.isEmpty() ? "all kept" : broken.size() + " BROKEN"
        });
    Table.print(out, rows);
    out.println();
    final List<String[]> calls = new ArrayList<>();
    calls.add(new String[] {"ENDPOINT", "DESTINATION", "CALLS"});
    endpoints.forEach(
        endpoint ->
            calls.add(
                new String[] {
                  endpoint.name(),
                  Long.toString(endpoint.destination()),
                  Long.toString(endpoint.calls())
                }));
    Table.print(out, calls);
    broken.stream().limit(20).forEach(violation -> out.println("BROKEN: " + violation));
    out.flush();
  }

  private static String count(final Map<String, Integer> ends, final String how) {
    return Integer.toString(ends.getOrDefault(how, 0));
  }

  private static String ms(final ConcurrentHistogram answers, final double percentile) {
    return String.format(Locale.ROOT, "%.1f ms", answers.getValueAtPercentile(percentile) / 1000.0);
  }
}
