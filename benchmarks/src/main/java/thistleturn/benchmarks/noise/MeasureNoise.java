package thistleturn.benchmarks.noise;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thistleturn.decisions.OverloadController;
import thistleturn.lab.model.SlowStartModel;
import thistleturn.lab.virtual.CrashSchedule;
import thistleturn.lab.virtual.Scenario;
import thistleturn.lab.virtual.ScenarioStatistics;
import thistleturn.lab.virtual.VirtualCourier;

/**
 * Measures goodput under faults that do not depend on load, and under capacity limits, in virtual
 * time.
 */
@Command(
    name = "noise",
    mixinStandardHelpOptions = true,
    description =
        "Goodput under random faults and under capacity limits, in virtual time: the current "
            + "controller, the one without fault classification, and simple senders, for the same seeds.")
public final class MeasureNoise implements Callable<Integer> {
  /** A table of the measurement; the names are values of {@code --part}. */
  enum Part {
    TROUBLES,
    LIMITS,
    STORM,
    RETURNS,
    KILLS
  }

  @Option(names = "--part", description = "one of ${COMPLETION-CANDIDATES}; default: all")
  private Part part;

  @Option(
      names = "--seeds",
      defaultValue = "3",
      description = "scenarios per row; default: ${DEFAULT-VALUE}")
  private int seeds;

  @Option(
      names = "--seconds",
      defaultValue = "25",
      description = "length of a scenario; default: ${DEFAULT-VALUE}")
  private int seconds;

  @Option(
      names = "--returns",
      defaultValue = "10000",
      description = "returning destinations per row, two per scenario; default: ${DEFAULT-VALUE}")
  private int returns;

  private int violationCount;

  @Override
  public Integer call() {
    if (part == null || part == Part.TROUBLES) {
      printFaults();
    }
    if (part == null || part == Part.LIMITS) {
      printLimits();
    }
    if (part == null || part == Part.STORM) {
      printStorm();
    }
    if (part == null || part == Part.RETURNS) {
      printReturns();
    }
    if (part == null || part == Part.KILLS) {
      printKills();
    }
    return violationCount == 0 ? 0 : 1;
  }

  private void printKills() {
    System.out.println(
        "| trouble | lives | what was learnt | delivered | ms to the earlier rate, p50 | p99 |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    for (final Map.Entry<String, double[]> fault : Scenarios.faultsWithKills().entrySet()) {
      for (final Map.Entry<String, long[]> bounds : Scenarios.lifetimes().entrySet()) {
        for (final boolean restores : new boolean[] {false, true}) {
          final CrashSchedule crashes =
              new CrashSchedule(
                  40, bounds.getValue()[0], bounds.getValue()[1], Scenarios.RESTART_US, restores);
          final List<ScenarioStatistics> tallies =
              play(
                  () -> Scenarios.withFaults(fault.getValue(), 62 * Scenarios.SECOND_US, false),
                  crashes,
                  OverloadController::new);
          final List<Long> timesUs =
              tallies.stream()
                  .flatMap(tally -> tally.timeToRateUs(0.9 * Scenarios.RATE, 200_000).stream())
                  .sorted()
                  .toList();
          System.out.println(
              "| "
                  + fault.getKey()
                  + " | "
                  + bounds.getKey()
                  + " | "
                  + (restores ? "taken up" : "begun anew")
                  + " | "
                  + range(tallies, ScenarioStatistics::goodput)
                  + " | "
                  + timesUs.get(timesUs.size() / 2) / 1000
                  + " | "
                  + timesUs.get(timesUs.size() * 99 / 100) / 1000
                  + " |");
        }
      }
    }
  }

  /** The per cent sign in the heading is text, not a format specifier. */
  @SuppressWarnings("OrphanedFormatString")
  private void printStorm() {
    System.out.println(
        "| messages a second | sender | calls a second before | in the storm, most | seconds after it "
            + "until 99% are delivered |");
    System.out.println("| --- | --- | --- | --- | --- |");
    for (final double rate : new double[] {40, 400}) {
      Senders.all()
          .forEach(
              (name, maker) -> {
                final List<ScenarioStatistics> tallies = play(() -> Scenarios.storm(rate), maker);
                System.out.println(
                    "| "
                        + (int) rate
                        + " | "
                        + name
                        + " | "
                        + range(
                            tallies,
                            tally ->
                                tally.seconds().subList(5, Scenarios.STORM_FROM_S).stream()
                                    .mapToInt(ScenarioStatistics.Second::calls)
                                    .average()
                                    .orElse(0))
                        + " | "
                        + range(
                            tallies,
                            tally ->
                                tally
                                    .seconds()
                                    .subList(Scenarios.STORM_FROM_S + 2, Scenarios.STORM_TO_S - 1)
                                    .stream()
                                    .mapToInt(ScenarioStatistics.Second::calls)
                                    .max()
                                    .orElse(0))
                        + " | "
                        + range(tallies, MeasureNoise::secondsUntilServed)
                        + " |");
              });
    }
  }

  /** Returns the seconds from the end of the storm until 99% of messages are delivered. */
  private static double secondsUntilServed(final ScenarioStatistics tally) {
    int second = tally.seconds().size() - 1;
    while (second > Scenarios.STORM_TO_S
        && (second >= Scenarios.STORM_SCENARIO_S
            || tally.seconds().get(second - 1).delivered()
                >= 0.99 * tally.seconds().get(second - 1).handed())) {
      second--;
    }
    return second - Scenarios.STORM_TO_S;
  }

  private void printReturns() {
    System.out.println("| sender | noise | returns | pushed over | rules broken | delivered |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    for (final double noise : new double[] {0, 0.05}) {
      Senders.all()
          .forEach(
              (name, maker) -> {
                final List<SlowStartModel> models = new ArrayList<>();
                final int violationsBefore = violationCount;
                final long scenarioCount = returns / 2;
                double goodput = 0;
                for (long seed = 1; seed <= scenarioCount; seed++) {
                  final ScenarioStatistics tally =
                      VirtualCourier.run(Scenarios.slowStarts(seed, models, noise), seed, maker);
                  violationCount += tally.violations().size();
                  goodput += tally.goodput() / scenarioCount;
                  if (seed % 1000 == 0) {
                    System.err.println(name + ": " + 2 * seed + " of " + returns + " returns");
                  }
                }
                System.out.println(
                    String.format(
                        Locale.ROOT,
                        "| %s | %.0f%% | %,d | %d | %d | %.3f |",
                        name,
                        100 * noise,
                        models.size(),
                        models.stream().filter(SlowStartModel::hasCollapsed).count(),
                        violationCount - violationsBefore,
                        goodput));
              });
    }
  }

  private List<ScenarioStatistics> play(
      final Supplier<Scenario> scenario, final VirtualCourier.ControllerFactory maker) {
    return play(scenario, CrashSchedule.NONE, maker);
  }

  private List<ScenarioStatistics> play(
      final Supplier<Scenario> scenario,
      final CrashSchedule crashes,
      final VirtualCourier.ControllerFactory maker) {
    final List<ScenarioStatistics> tallies = new ArrayList<>();
    for (long seed = 1; seed <= seeds; seed++) {
      final ScenarioStatistics tally = VirtualCourier.run(scenario.get(), crashes, seed, maker);
      violationCount += tally.violations().size();
      tally.violations().stream()
          .limit(3)
          .forEach(violation -> System.out.println("BROKEN: " + violation));
      tallies.add(tally);
    }
    return tallies;
  }

  private static String range(
      final List<ScenarioStatistics> tallies, final ToDoubleFunction<ScenarioStatistics> figure) {
    final double min = tallies.stream().mapToDouble(figure).min().orElse(0);
    final double max = tallies.stream().mapToDouble(figure).max().orElse(0);
    return max - min < 0.0005
        ? String.format(Locale.ROOT, "%.3f", min)
        : String.format(Locale.ROOT, "%.3f to %.3f", min, max);
  }

  private void printFaults() {
    System.out.println(
        "| trouble | rates told | sender | delivered | calls a message | refused calls a message |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    for (final boolean ratesConfigured : new boolean[] {false, true}) {
      for (final Map.Entry<String, double[]> fault : Scenarios.faults().entrySet()) {
        Senders.all()
            .forEach(
                (name, maker) -> {
                  final List<ScenarioStatistics> tallies =
                      play(
                          () ->
                              Scenarios.withFaults(
                                  fault.getValue(), seconds * Scenarios.SECOND_US, ratesConfigured),
                          maker);
                  System.out.println(
                      "| "
                          + fault.getKey()
                          + " | "
                          + (ratesConfigured ? "yes" : "no")
                          + " | "
                          + name
                          + " | "
                          + range(tallies, ScenarioStatistics::goodput)
                          + " | "
                          + range(tallies, ScenarioStatistics::callsPerMessage)
                          + " | "
                          + range(tallies, ScenarioStatistics::refusedCallsPerMessage)
                          + " |");
                });
      }
    }
  }

  private void printLimits() {
    System.out.println("| limit | sender | delivered, of capacity | refused calls a message |");
    System.out.println("| --- | --- | --- | --- |");
    Scenarios.limits(seconds * Scenarios.SECOND_US)
        .forEach(
            (limit, scenario) ->
                Senders.all()
                    .forEach(
                        (name, maker) -> {
                          final List<ScenarioStatistics> tallies = play(scenario, maker);
                          System.out.println(
                              "| "
                                  + limit
                                  + " | "
                                  + name
                                  + " | "
                                  + range(
                                      tallies,
                                      tally ->
                                          tally.delivered() / (3 * Scenarios.CAPACITY * seconds))
                                  + " | "
                                  + range(tallies, ScenarioStatistics::refusedCallsPerMessage)
                                  + " |");
                        }));
  }
}
