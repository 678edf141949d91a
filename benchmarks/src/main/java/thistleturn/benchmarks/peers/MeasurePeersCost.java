package thistleturn.benchmarks.peers;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thistleturn.benchmarks.Folders;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInWorld;
import thistleturn.testkit.Violation;
import thistleturn.testkit.rig.ChildProcess;
import thistleturn.testkit.rig.RealFleet;
import thistleturn.testkit.rig.Schedule;

/**
 * Measures what the membership protocol costs a real courier, and how it affects the deliveries of
 * one courier.
 */
@Command(
    name = "peers-cost",
    mixinStandardHelpOptions = true,
    description =
        "CPU, memory and bytes a second of real couriers that run the membership protocol "
            + "and are otherwise idle; then the deliveries of one courier while others are killed, paused and cut off, "
            + "compared with peers off.")
public final class MeasurePeersCost implements Callable<Integer> {
  /** The unit of processor time in /proc: 100 ticks a second. */
  private static final double TICKS_PER_S = 100;

  private static final int USER_FIELD = 13;
  private static final int RESIDENT_FIELD = 23;
  private static final double KB_PER_PAGE = 4;
  private static final long TIMEOUT_MS = 4000;

  @Option(
      names = "--members",
      split = ",",
      defaultValue = "1,5,10,20",
      description = "sizes of the idle fleets; default: ${DEFAULT-VALUE}")
  private List<Integer> sizes;

  @Option(
      names = "--seconds",
      defaultValue = "20",
      description = "measured time of each fleet; default: ${DEFAULT-VALUE}")
  private int seconds;

  @Option(
      names = "--rate",
      defaultValue = "200",
      description = "messages a second; default: ${DEFAULT-VALUE}")
  private int rate;

  @Option(names = "--replicas", description = "enable replicas as well")
  private boolean replicas;

  /** Processor time used by a process so far, in ticks, and its resident memory, in KB. */
  private record ResourceUsage(double ticks, double residentKb) {
    static ResourceUsage of(final long pid) throws IOException {
      final String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
      // Skips the process name, which may contain spaces and parentheses.
      final String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
      return new ResourceUsage(
          Double.parseDouble(fields[USER_FIELD - 2]) + Double.parseDouble(fields[USER_FIELD - 1]),
          Double.parseDouble(fields[RESIDENT_FIELD - 2]) * KB_PER_PAGE);
    }
  }

  @Override
  public Integer call() throws IOException {
    System.out.println(
        "| members | CPU, ms a second each | resident, MB each | datagrams a second each | bytes a second each | connections |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    for (final int size : sizes) {
      measureIdle(size);
    }
    System.out.println();
    System.out.println("| peers | handed in | delivered | refused | failed | rules broken |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    return measureDelivery(false) && measureDelivery(true) ? 0 : 1;
  }

  private void measureIdle(final int size) throws IOException {
    final Path folder = Files.createTempDirectory("thistleturn-peers");
    final Schedule schedule = new Schedule(size, 1, seconds * 1000L, List.of());
    try (StandInWorld world = new StandInWorld(folder, 1);
        RealFleet fleet =
            new RealFleet(
                folder,
                schedule,
                world.platform.address(),
                world.platform.known(),
                extraSettings(),
                5000)) {
      final ResourceUsage[] before = new ResourceUsage[size];
      final JsonNode[] pages = new JsonNode[size];
      fleet.onAgreement(
          () -> {
            for (int number = 0; number < size; number++) {
              before[number] = ResourceUsage.of(fleet.process(number).pid());
              pages[number] = fleet.peersPage(number);
            }
          });
      fleet.run();
      double ticks = 0;
      double kb = 0;
      double datagrams = 0;
      double bytes = 0;
      double connections = 0;
      for (int number = 0; number < size; number++) {
        final ResourceUsage after = ResourceUsage.of(fleet.process(number).pid());
        ticks += after.ticks() - before[number].ticks();
        kb += after.residentKb();
        datagrams +=
            fleet.peersPage(number).path("sent").asDouble() - pages[number].path("sent").asDouble();
        bytes +=
            fleet.peersPage(number).path("sent_bytes").asDouble()
                - pages[number].path("sent_bytes").asDouble();
        connections += fleet.peersPage(number).path("connections").asDouble();
      }
      System.out.println(
          String.format(
              Locale.ROOT,
              "| %d | %.1f | %.0f | %.0f | %.0f | %.0f |",
              size,
              ticks / TICKS_PER_S * 1000 / seconds / size,
              kb / 1024 / size,
              datagrams / seconds / size,
              bytes / seconds / size,
              connections / size));
    } finally {
      Folders.delete(folder);
    }
  }

  /**
   * Submits messages to the first of five couriers, at 10% loss, while the other four are killed,
   * paused, cut off and started again.
   */
  private boolean measureDelivery(final boolean peers) throws IOException {
    final Path folder = Files.createTempDirectory("thistleturn-peers");
    final Schedule schedule =
        Schedule.parse(
            """
                members 5
                seed 3
                end 20s
                at 0s loss 0.1
                at 2s kill 3
                at 4s cut 0 -> 1 for 8s
                at 6s pause 2 for 4s
                at 9s start 3
                at 12s cut 0 <-> 1,2,3,4 for 5s
                """);
    try (StandInWorld world = new StandInWorld(folder, 3)) {
      for (int index = 0; index < 6; index++) {
        final StandInEndpoint endpoint = world.endpoint(1 + index / 2);
        endpoint.setBehavior(StandInEndpoint.Behavior.deliverAfter(5 + world.randomInt(20)));
        world.platform.announce(endpoint, "Ready", 2000);
      }
      if (peers) {
        try (RealFleet fleet =
            new RealFleet(
                folder,
                schedule,
                world.platform.address(),
                world.platform.known(),
                extraSettings(),
                5000)) {
          fleet.onAgreement(() -> startLoad(world, fleet.process(0)));
          fleet.run();
          return report(world, "on");
        }
      }
      final Map<String, String> environment = world.environment(CourierFiles.Size.usual());
      try (ChildProcess courier =
          ChildProcess.java(environment, "", "thistleturn.cli.Main", "serve")) {
        startLoad(world, courier);
        world.waitUntil(world.clock.nowUs() + schedule.endMs() * 1000);
        return report(world, "off");
      }
    } finally {
      Folders.delete(folder);
    }
  }

  private String extraSettings() {
    return replicas ? "[replicas]\nenabled = true\n" : "";
  }

  private void startLoad(final StandInWorld world, final ChildProcess courier) {
    world.client.setCourierAddress(courier.awaitReadyAddress());
    world.startLoad(rate, TIMEOUT_MS, 1, 2, 3);
  }

  private static boolean report(final StandInWorld world, final String what) {
    final List<Violation> broken = world.stopLoadAndCheck(TIMEOUT_MS);
    final Map<String, Integer> ends = world.ruleChecker.outcomeCounts();
    System.out.println(
        String.format(
            Locale.ROOT,
            "| %s | %d | %d | %d | %d | %d |",
            what,
            ends.values().stream().mapToInt(Integer::intValue).sum(),
            ends.getOrDefault("delivered", 0),
            ends.getOrDefault("rejected at submission", 0) + ends.getOrDefault("deferred", 0),
            ends.getOrDefault("undeliverable", 0) + ends.getOrDefault("failed at submission", 0),
            broken.size()));
    broken.stream().limit(5).forEach(one -> System.out.println("BROKEN: " + one));
    return broken.isEmpty();
  }
}
