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
 * Goodput under trouble that does not answer to load, and under limits that do; in virtual time.
 */
@Command(
    name = "noise",
    mixinStandardHelpOptions = true,
    description =
        "Goodput under random trouble and under true "
            + "limits, in virtual time: the decisions as they are, without reading, and plain senders, by the same seeds.")
public final class MeasureNoise implements Callable<Integer> {
  /** A table of the page. */
  enum Part {
    TROUBLES,
    LIMITS,
    STORM,
    RETURNS,
    KILLS
  }

  @Option(names = "--part", description = "${COMPLETION-CANDIDATES}; all of them unless told")
  private Part part;

  @Option(
      names = "--seeds",
      defaultValue = "3",
      description = "evenings a row; ${DEFAULT-VALUE} unless told")
  private int seeds;

  @Option(
      names = "--seconds",
      defaultValue = "25",
      description = "length of one; ${DEFAULT-VALUE} unless told")
  private int seconds;

  @Option(
      names = "--returns",
      defaultValue = "10000",
      description = "seeded evenings; ${DEFAULT-VALUE} unless told")
  private int returns;

  private int broken;

  @Override
  public Integer call() {
    if (part == null || part == Part.TROUBLES) {
      troubles();
    }
    if (part == null || part == Part.LIMITS) {
      limits();
    }
    if (part == null || part == Part.STORM) {
      storm();
    }
    if (part == null || part == Part.RETURNS) {
      returns();
    }
    if (part == null || part == Part.KILLS) {
      kills();
    }
    return broken == 0 ? 0 : 1;
  }

  private void kills() {
    System.out.println(
        "| trouble | lives | what was learnt | delivered | ms to the earlier rate, p50 | p99 |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    for (final Map.Entry<String, double[]> trouble : Worlds.killed().entrySet()) {
      for (final Map.Entry<String, long[]> lives : Worlds.lives().entrySet()) {
        for (final boolean remembers : new boolean[] {false, true}) {
          final CrashSchedule kills =
              new CrashSchedule(
                  40, lives.getValue()[0], lives.getValue()[1], Worlds.START_US, remembers);
          final List<ScenarioStatistics> tallies =
              play(
                  () -> Worlds.troubled(trouble.getValue(), 62 * Worlds.SECOND_US, false),
                  kills,
                  OverloadController::new);
          final List<Long> times =
              tallies.stream()
                  .flatMap(tally -> tally.timeToRateUs(0.9 * Worlds.PER_SECOND, 200_000).stream())
                  .sorted()
                  .toList();
          System.out.println(
              "| "
                  + trouble.getKey()
                  + " | "
                  + lives.getKey()
                  + " | "
                  + (remembers ? "taken up" : "begun anew")
                  + " | "
                  + spread(tallies, ScenarioStatistics::goodput)
                  + " | "
                  + times.get(times.size() / 2) / 1000
                  + " | "
                  + times.get(times.size() * 99 / 100) / 1000
                  + " |");
        }
      }
    }
  }

  /** The heading holds a plain per cent sign, no format. */
  @SuppressWarnings("OrphanedFormatString")
  private void storm() {
    System.out.println(
        "| messages a second | sender | calls a second before | in the storm, most | seconds after it "
            + "until 99% are delivered |");
    System.out.println("| --- | --- | --- | --- | --- |");
    for (final double perSecond : new double[] {40, 400}) {
      Senders.all()
          .forEach(
              (name, maker) -> {
                final List<ScenarioStatistics> tallies = play(() -> Worlds.storm(perSecond), maker);
                System.out.println(
                    "| "
                        + (int) perSecond
                        + " | "
                        + name
                        + " | "
                        + spread(
                            tallies,
                            tally ->
                                tally.seconds().subList(5, Worlds.STORM_FROM_S).stream()
                                    .mapToInt(ScenarioStatistics.Second::calls)
                                    .average()
                                    .orElse(0))
                        + " | "
                        + spread(
                            tallies,
                            tally ->
                                tally
                                    .seconds()
                                    .subList(Worlds.STORM_FROM_S + 2, Worlds.STORM_TO_S - 1)
                                    .stream()
                                    .mapToInt(ScenarioStatistics.Second::calls)
                                    .max()
                                    .orElse(0))
                        + " | "
                        + spread(tallies, MeasureNoise::secondsUntilServed)
                        + " |");
              });
    }
  }

  private static double secondsUntilServed(final ScenarioStatistics tally) {
    int second = tally.seconds().size() - 1;
    while (second > Worlds.STORM_TO_S
        && (second >= Worlds.STORM_EVENING_S
            || tally.seconds().get(second - 1).delivered()
                >= 0.99 * tally.seconds().get(second - 1).handed())) {
      second--;
    }
    return second - Worlds.STORM_TO_S;
  }

  private void returns() {
    System.out.println("| sender | noise | returns | pushed over | rules broken | delivered |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    for (final double noise : new double[] {0, 0.05}) {
      Senders.all()
          .forEach(
              (name, maker) -> {
                final List<SlowStartModel> all = new ArrayList<>();
                final int before = broken;
                final long plays = returns / 2;
                double goodput = 0;
                for (long seed = 1; seed <= plays; seed++) {
                  final ScenarioStatistics tally =
                      VirtualCourier.run(Worlds.returns(seed, all, noise), seed, maker);
                  broken += tally.violations().size();
                  goodput += tally.goodput() / plays;
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
                        all.size(),
                        all.stream().filter(SlowStartModel::hasCollapsed).count(),
                        broken - before,
                        goodput));
              });
    }
  }

  private List<ScenarioStatistics> play(
      final Supplier<Scenario> evening, final VirtualCourier.ControllerFactory maker) {
    return play(evening, CrashSchedule.NONE, maker);
  }

  private List<ScenarioStatistics> play(
      final Supplier<Scenario> evening,
      final CrashSchedule kills,
      final VirtualCourier.ControllerFactory maker) {
    final List<ScenarioStatistics> tallies = new ArrayList<>();
    for (long seed = 1; seed <= seeds; seed++) {
      final ScenarioStatistics tally = VirtualCourier.run(evening.get(), kills, seed, maker);
      broken += tally.violations().size();
      tally.violations().stream().limit(3).forEach(what -> System.out.println("BROKEN: " + what));
      tallies.add(tally);
    }
    return tallies;
  }

  private static String spread(
      final List<ScenarioStatistics> tallies, final ToDoubleFunction<ScenarioStatistics> figure) {
    final double least = tallies.stream().mapToDouble(figure).min().orElse(0);
    final double most = tallies.stream().mapToDouble(figure).max().orElse(0);
    return most - least < 0.0005
        ? String.format(Locale.ROOT, "%.3f", least)
        : String.format(Locale.ROOT, "%.3f to %.3f", least, most);
  }

  private void troubles() {
    System.out.println(
        "| trouble | rates told | sender | delivered | calls a message | refused calls a message |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    for (final boolean told : new boolean[] {false, true}) {
      for (final Map.Entry<String, double[]> trouble : Worlds.troubles().entrySet()) {
        Senders.all()
            .forEach(
                (name, maker) -> {
                  final List<ScenarioStatistics> tallies =
                      play(
                          () ->
                              Worlds.troubled(trouble.getValue(), seconds * Worlds.SECOND_US, told),
                          maker);
                  System.out.println(
                      "| "
                          + trouble.getKey()
                          + " | "
                          + (told ? "yes" : "no")
                          + " | "
                          + name
                          + " | "
                          + spread(tallies, ScenarioStatistics::goodput)
                          + " | "
                          + spread(tallies, ScenarioStatistics::callsPerMessage)
                          + " | "
                          + spread(tallies, ScenarioStatistics::refusedCallsPerMessage)
                          + " |");
                });
      }
    }
  }

  private void limits() {
    System.out.println("| limit | sender | delivered, of capacity | refused calls a message |");
    System.out.println("| --- | --- | --- | --- |");
    Worlds.limits(seconds * Worlds.SECOND_US)
        .forEach(
            (world, evening) ->
                Senders.all()
                    .forEach(
                        (name, maker) -> {
                          final List<ScenarioStatistics> tallies = play(evening, maker);
                          System.out.println(
                              "| "
                                  + world
                                  + " | "
                                  + name
                                  + " | "
                                  + spread(
                                      tallies,
                                      tally -> tally.delivered() / (3 * Worlds.CAPACITY * seconds))
                                  + " | "
                                  + spread(tallies, ScenarioStatistics::refusedCallsPerMessage)
                                  + " |");
                        }));
  }
}
