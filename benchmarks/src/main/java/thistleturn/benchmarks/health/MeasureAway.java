package thistleturn.benchmarks.health;

import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thistleturn.benchmarks.Paired;
import thistleturn.decisions.OverloadController;
import thistleturn.decisions.fleet.FleetSize;
import thistleturn.lab.fleet.FleetScenario;
import thistleturn.lab.fleet.FleetStatistics;
import thistleturn.lab.fleet.FleetStatistics.Count;
import thistleturn.lab.fleet.VirtualFleet;

/**
 * Couriers of a fleet that stand still or starve, in virtual time, with and without knowing of
 * their own health.
 */
@Command(
    name = "away",
    mixinStandardHelpOptions = true,
    description =
        "What fleets deliver whose couriers stand still or "
            + "starve, with and without own health, by the same seeds in virtual time; and whom they send out wrongly.")
public final class MeasureAway implements Callable<Integer> {
  @Option(
      names = "--seeds",
      defaultValue = "30",
      description = "days a row, 2 at least; ${DEFAULT-VALUE} unless told")
  private int seeds;

  @Option(
      names = "--couriers",
      split = ",",
      defaultValue = "14,100",
      description = "sizes; ${DEFAULT-VALUE} unless told")
  private List<Integer> sizes;

  private int broken;

  @Override
  public Integer call() {
    if (seeds < 2 || sizes.stream().anyMatch(size -> size < 1)) {
      System.err.println("measure away: --seeds is 2 at least, and each of --couriers 1 at least");
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
    final Paired goodput = Paired.of(with, without, FleetStatistics::goodput);
    final int rules = with.stream().mapToInt(tally -> tally.violations().size()).sum();
    broken += rules;
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
            goodput.half(),
            mean(with, tally -> tally.total(Count.WRONGLY_OUT)),
            mean(without, tally -> tally.total(Count.WRONGLY_OUT)),
            mean(with, MeasureAway::refused),
            mean(without, MeasureAway::refused),
            mean(with, tally -> tally.total(Count.LATE_BY_PAUSE)),
            rules,
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
