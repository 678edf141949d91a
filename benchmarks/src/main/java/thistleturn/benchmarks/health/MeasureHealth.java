package thistleturn.benchmarks.health;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thistleturn.benchmarks.Folders;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInEndpoint.Action;
import thistleturn.testkit.StandInEndpoint.Behavior;
import thistleturn.testkit.StandInWorld;
import thistleturn.testkit.Violation;
import thistleturn.testkit.rig.ChildProcess;

/**
 * Measures a real courier that is paused now and then, or gets only a share of a core, while its
 * endpoints are healthy.
 */
@Command(
    name = "health",
    mixinStandardHelpOptions = true,
    description =
        "What a courier delivers that is paused (SIGSTOP) now and then, "
            + "with stand-ins on other cores, against what could still be delivered.")
public final class MeasureHealth implements Callable<Integer> {
  private static final long US_PER_MS = 1000;
  private static final long TIMEOUT_MS = 4000;
  private static final int DESTINATIONS = 3;

  /** When the first fault begins, after the start of the load. */
  private static final long FIRST_MS = 5000;

  /** How long a courier is starved of CPU. */
  private static final long STARVED_MS = 10_000;

  @Option(
      names = "--pauses",
      split = ",",
      defaultValue = "0,50,300,1000,3000,8000",
      description = "length of a pause, ms; default: ${DEFAULT-VALUE}")
  private List<Integer> pausesMs;

  @Option(
      names = "--shares",
      split = ",",
      description =
          "shares of a core left to the courier for 10 s by busy loops, instead of pauses")
  private List<Double> shares = List.of();

  @Option(
      names = "--random",
      description =
          "number of messages to submit under random pauses and endpoint faults, instead of the table")
  private int messages;

  @Option(
      names = "--every",
      split = ",",
      defaultValue = "0,5",
      description = "time between pauses, s; 0: a single pause; default: ${DEFAULT-VALUE}")
  private List<Integer> everyS;

  @Option(
      names = "--seconds",
      defaultValue = "25",
      description = "duration of a row; default: ${DEFAULT-VALUE}")
  private int seconds;

  @Option(
      names = "--rate",
      defaultValue = "200",
      description = "messages a second; default: ${DEFAULT-VALUE}")
  private int rate;

  @Option(
      names = "--cores",
      defaultValue = "0",
      description = "cores of the courier, in the syntax of taskset; default: ${DEFAULT-VALUE}")
  private String cores;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "seed of all random choices; default: ${DEFAULT-VALUE}")
  private long seed;

  @Option(names = "--log", description = "print the courier's output")
  private boolean log;

  private List<StandInEndpoint> faultableEndpoints = List.of();

  @Override
  public Integer call() throws IOException {
    System.out.println(
        "| pause, s | every, s | handed in | of them deliverable | delivered | share | refused | failed | no answer "
            + "| late or lost | other rules |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    boolean passed = true;
    if (messages > 0) {
      return runRandom() ? 0 : 1;
    }
    for (final double share : shares) {
      passed &=
          measureRow(
              String.format(Locale.ROOT, "share %.2f", share),
              "10 s",
              (world, courier) -> starve(world, share));
    }
    if (!shares.isEmpty()) {
      return passed ? 0 : 1;
    }
    for (final int pauseMs : pausesMs) {
      for (final int every : everyS) {
        if (pauseMs > 0 ? every == 0 || every * 1000 > 2 * pauseMs : every == 0) {
          passed &=
              measureRow(
                  String.format(Locale.ROOT, "%.2f", pauseMs / 1000.0),
                  every == 0 ? "once" : Integer.toString(every),
                  (world, courier) -> pauseRepeatedly(world, courier, pauseMs, every));
        }
      }
    }
    return passed ? 0 : 1;
  }

  /**
   * A fault applied to a courier; returns how many messages cannot be delivered because of that
   * fault alone.
   */
  private interface Fault {
    double play(StandInWorld world, ChildProcess courier) throws IOException;
  }

  private boolean measureRow(final String what, final String when, final Fault fault)
      throws IOException {
    final Path folder = Files.createTempDirectory("thistleturn-health");
    try (StandInWorld world = new StandInWorld(folder, seed)) {
      final List<StandInEndpoint> endpoints = new ArrayList<>();
      for (int index = 0; index < 2 * DESTINATIONS; index++) {
        final StandInEndpoint endpoint = world.endpoint(1 + index / 2);
        endpoint.setBehavior(Behavior.deliverAfter(5 + world.randomInt(20)));
        world.platform.announce(endpoint, "Ready", 2000);
        endpoints.add(endpoint);
      }
      faultableEndpoints = endpoints;
      try (ChildProcess courier =
          ChildProcess.java(
              world.environment(CourierFiles.Size.usual()), cores, "thistleturn.courier.Main")) {
        final boolean passed = play(world, courier, what, when, fault);
        if (log) {
          courier.lines().forEach(System.err::println);
        }
        return passed;
      }
    } finally {
      Folders.delete(folder);
    }
  }

  private boolean play(
      final StandInWorld world,
      final ChildProcess courier,
      final String what,
      final String when,
      final Fault fault)
      throws IOException {
    world.client.setCourierAddress(courier.awaitReadyAddress());
    world.startLoad(rate, TIMEOUT_MS, 1, 2, 3);
    final double undeliverable = fault.play(world, courier);
    final List<Violation> broken = world.stopLoadAndCheck(TIMEOUT_MS);
    final Map<String, Integer> ends = world.ruleChecker.outcomeCounts();
    final int submitted = ends.values().stream().mapToInt(Integer::intValue).sum();
    final int delivered = ends.getOrDefault("delivered", 0);
    final int refused =
        ends.getOrDefault("rejected at submission", 0) + ends.getOrDefault("deferred", 0);
    final int failed =
        ends.getOrDefault("undeliverable", 0) + ends.getOrDefault("failed at submission", 0);
    final long lost = broken.stream().filter(one -> one.rule() == Violation.Rule.LOST).count();
    final double deliverable = submitted - undeliverable;
    System.out.println(
        String.format(
            Locale.ROOT,
            "| %s | %s | %d | %.0f | %d | %.3f | %d | %d | %d | %d | %d |",
            what,
            when,
            submitted,
            deliverable,
            delivered,
            delivered / deliverable,
            refused,
            failed,
            submitted - delivered - refused - failed,
            lost,
            broken.size() - lost));
    broken.stream()
        .filter(one -> one.rule() != Violation.Rule.LOST)
        .limit(20)
        .forEach(one -> System.out.println("BROKEN: " + one));
    world.ruleChecker.allowedRepeats().forEach(one -> System.out.println("ALLOWED: " + one));
    return broken.isEmpty();
  }

  private double pauseRepeatedly(
      final StandInWorld world, final ChildProcess courier, final int pauseMs, final int every)
      throws IOException {
    final long startUs = world.clock.nowUs();
    final long endUs = startUs + seconds * 1000L * US_PER_MS;
    double undeliverable = 0;
    long nextUs = startUs + FIRST_MS * US_PER_MS;
    while (pauseMs > 0 && nextUs + 2L * pauseMs * US_PER_MS < endUs) {
      world.waitUntil(nextUs);
      courier.pause();
      world.waitUntil(nextUs + pauseMs * US_PER_MS);
      courier.resume();
      undeliverable += Math.max(0, pauseMs - TIMEOUT_MS) / 1000.0 * rate;
      nextUs = every == 0 ? Long.MAX_VALUE / 2 : nextUs + every * 1000L * US_PER_MS;
    }
    world.waitUntil(endUs);
    return undeliverable;
  }

  /** Runs as many busy loops on the courier's core for 10 s as leave it the given share. */
  private double starve(final StandInWorld world, final double share) throws IOException {
    final long startUs = world.clock.nowUs();
    world.waitUntil(startUs + FIRST_MS * US_PER_MS);
    final List<Process> loops = new ArrayList<>();
    try {
      for (int loop = 1; loop < Math.round(1 / share); loop++) {
        loops.add(
            new ProcessBuilder(
                    "taskset", "-c", cores, "timeout", "30", "sh", "-c", "while :; do :; done")
                .start());
      }
      world.waitUntil(startUs + (FIRST_MS + STARVED_MS) * US_PER_MS);
    } finally {
      loops.forEach(
          loop -> {
            loop.descendants().forEach(ProcessHandle::destroyForcibly);
            loop.destroyForcibly();
          });
    }
    world.waitUntil(startUs + seconds * 1000L * US_PER_MS);
    return 0;
  }

  /**
   * Pauses the courier for random times of up to 2 s and applies random faults to the endpoints,
   * until {@link #messages} messages have been submitted.
   */
  private boolean runRandom() throws IOException {
    final Random random = new Random(seed);
    return measureRow(
        "random",
        "0.05 to 2 s",
        (world, courier) -> {
          final long endUs =
              world.clock.nowUs() + (long) (messages / (double) rate * 1000 * US_PER_MS);
          while (world.clock.nowUs() < endUs) {
            world.waitUntil(world.clock.nowUs() + (300 + random.nextInt(3000)) * US_PER_MS);
            final StandInEndpoint endpoint =
                faultableEndpoints.get(random.nextInt(faultableEndpoints.size()));
            endpoint.setBehavior(
                random.nextInt(3) == 0
                    ? Behavior.deliverAfter(5 + random.nextInt(40))
                    : switch (random.nextInt(5)) {
                      case 0 -> Behavior.of(Action.NO_ANSWER);
                      case 1 -> Behavior.of(Action.RESET);
                      case 2 -> Behavior.of(Action.FAIL);
                      case 3 -> new Behavior(Action.REJECT, 0, 200 + random.nextInt(800));
                      default -> Behavior.deliverAfter(500 + random.nextInt(1000));
                    });
            if (random.nextInt(3) > 0) {
              final long stoppedUs = world.clock.nowUs();
              courier.pause();
              world.waitUntil(world.clock.nowUs() + (50 + random.nextInt(1950)) * US_PER_MS);
              courier.resume();
              world.ruleChecker.recordCourierPause(stoppedUs, world.clock.nowUs());
            }
            // Keeps at most half of the endpoints faulty at once.
            final StandInEndpoint other =
                faultableEndpoints.get(random.nextInt(faultableEndpoints.size()));
            other.setBehavior(Behavior.deliverAfter(5 + random.nextInt(20)));
          }
          return 0;
        });
  }
}
