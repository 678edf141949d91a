package thistleturn.benchmarks.health;

import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thistleturn.benchmarks.PairedDifference;
import thistleturn.decisions.OverloadController;
import thistleturn.decisions.fleet.FleetSize;
import thistleturn.lab.fleet.FleetScenario;
import thistleturn.lab.fleet.FleetStatistics;
import thistleturn.lab.fleet.FleetStatistics.Count;
import thistleturn.lab.fleet.VirtualFleet;

/**
 * Measures in virtual time fleets whose couriers are paused or starved of CPU, with and without
 * local health detection.
 */
@Command(
    name = "away",
    mixinStandardHelpOptions = true,
    description =
        "What fleets deliver while couriers are paused or starved of CPU, "
            + "with and without local health detection, on the same seeds in virtual time; "
            + "and how many healthy destinations they exclude wrongly.")
public final class MeasureAway implements Callable<Integer> {
  @Option(
      names = "--seeds",
      defaultValue = "30",
      description = "runs per row, at least 2; default: ${DEFAULT-VALUE}")
  private int seeds;

  @Option(
      names = "--couriers",
      split = ",",
      defaultValue = "14,100",
      description = "fleet sizes; default: ${DEFAULT-VALUE}")
  private List<Integer> sizes;

  private int broken;

  @Override
  public Integer call() {
    if (seeds < 2 || sizes.stream().anyMatch(size -> size < 1)) {
      System.err.println(
          "measure away: --seeds must be at least 2, and each size in --couriers at least 1");
      return 2;
    }
    System.out.println(
        "| trouble | couriers | worth delivered | without | paired difference, 95% | wrongly sent out | without "
            + "| refused messages | without | late by the pause alone | rules broken | without |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (final FleetScenario.Disturbance trouble : FleetScenario.Disturbance.values()) {
      if (trouble.pausesCouriers()) {
        sizes.forEach(size -> row(trouble, size));
      }
    }
    return broken == 0 ? 0 : 1;
  }

  private void row(final FleetScenario.Disturbance trouble, final int size) {
    final List<FleetStatistics> with = play(trouble, size, true);
    final List<FleetStatistics> without = play(trouble, size, false);
    final PairedDifference goodput = PairedDifference.of(with, without, FleetStatistics::goodput);
    final int brokenRules = with.stream().mapToInt(tally -> tally.violations().size()).sum();
    broken += brokenRules;
    with.stream()
        .flatMap(tally -> tally.violations().stream())
        .limit(3)
        .forEach(what -> System.out.println("BROKEN: " + what));
    System.out.println(
        String.format(
            Locale.ROOT,
            "| %s | %d | %.4f | %.4f | %+.4f ± %.4f | %.2f | %.2f | %.3f | %.3f | %.1f | %d | %d |",
            trouble.name().toLowerCase(Locale.ROOT),
            size,
            mean(with, FleetStatistics::goodput),
            mean(without, FleetStatistics::goodput),
            goodput.mean(),
            goodput.halfWidth(),
            mean(with, tally -> tally.total(Count.WRONGLY_OUT)),
            mean(without, tally -> tally.total(Count.WRONGLY_OUT)),
            mean(with, MeasureAway::refused),
            mean(without, MeasureAway::refused),
            mean(with, tally -> tally.total(Count.LATE_BY_PAUSE)),
            brokenRules,
            without.stream().mapToInt(tally -> tally.violations().size()).sum()));
  }

  private static double refused(final FleetStatistics tally) {
    return (double) tally.total(Count.REFUSED_MESSAGES) / Math.max(1, tally.handed());
  }

  private List<FleetStatistics> play(
      final FleetScenario.Disturbance trouble, final int size, final boolean feels) {
    return LongStream.rangeClosed(1, seeds)
        .parallel()
        .mapToObj(
            seed ->
                VirtualFleet.run(
                    FleetSize.isVast(size)
                        ? FleetScenario.generateSparse(size, trouble, new Random(seed))
                        : FleetScenario.generate(size, trouble, new Random(seed)),
                    seed,
                    OverloadController::new,
                    feels))
        .toList();
  }

  private static double mean(
      final List<FleetStatistics> tallies, final ToDoubleFunction<FleetStatistics> figure) {
    return tallies.stream().mapToDouble(figure).average().orElse(0);
  }
}
