package thistleturn.benchmarks.fleet;

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
import thistleturn.lab.fleet.FleetScenario;
import thistleturn.lab.fleet.FleetStatistics;
import thistleturn.lab.fleet.FleetStatistics.Count;
import thistleturn.lab.fleet.VirtualFleet;
import thistleturn.lab.virtual.VirtualCourier;

/**
 * Measures goodput and calls of simulated fleets of several sizes, with and without rate sharing,
 * for the same seeds in virtual time.
 */
@Command(
    name = "fleet",
    mixinStandardHelpOptions = true,
    description =
        "Delivered value, calls, rejections, handshakes and list calls of simulated "
            + "fleets in virtual time: the current controller and one without rate sharing, for the same seeds.")
public final class MeasureFleet implements Callable<Integer> {
  @Option(
      names = "--seeds",
      defaultValue = "30",
      description = "scenarios per row, at least 2; default: ${DEFAULT-VALUE}")
  private int seeds;

  @Option(
      names = "--couriers",
      split = ",",
      defaultValue = "1,2,8,14,50",
      description = "fleet sizes; default: ${DEFAULT-VALUE}")
  private List<Integer> sizes;

  @Option(
      names = "--trouble",
      description = "one of ${COMPLETION-CANDIDATES}; default: all but the faults of couriers")
  private FleetScenario.Disturbance onlyTrouble;

  @Option(
      names = "--thin",
      description = "scenarios with little traffic per courier, whose load differs up to tenfold")
  private boolean thin;

  @Option(
      names = "--strict",
      description =
          "compares with couriers that strictly observe equal rate shares, not with ones that share nothing")
  private boolean strict;

  private int violationCount;

  @Override
  public Integer call() {
    if (seeds < 2 || sizes.stream().anyMatch(size -> size < 1)) {
      System.err.println(
          "measure fleet: --seeds must be at least 2 and each of --couriers at least 1");
      return 2;
    }
    System.out.println(
        "| trouble | couriers | worth delivered | without sharing | paired difference, 95% | calls a message "
            + "| without | refused calls | without | refused messages | without | handshakes | without | list calls | most calls in 100 ms | without |");
    System.out.println(
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (final FleetScenario.Disturbance trouble :
        onlyTrouble == null
            ? FleetScenario.Disturbance.values()
            : new FleetScenario.Disturbance[] {onlyTrouble}) {
      if (onlyTrouble != null || !trouble.pausesCouriers()) {
        sizes.forEach(size -> printRow(trouble, size));
      }
    }
    return violationCount == 0 ? 0 : 1;
  }

  private void printRow(final FleetScenario.Disturbance trouble, final int size) {
    final List<FleetStatistics> with = play(trouble, size, OverloadController::new);
    final List<FleetStatistics> without =
        play(
            trouble,
            size,
            strict
                ? OverloadController::withStrictRateShares
                : OverloadController::withoutRateSharing);
    final PairedDifference goodput = PairedDifference.of(with, without, FleetStatistics::goodput);
    System.out.println(
        String.format(
            Locale.ROOT,
            "| %s | %d | %.3f | %.3f | %+.3f ± %.3f | %.2f | %.2f | %s | %s | %s | %s | %s | %s | %s "
                + "| %.0f | %.0f |",
            trouble.name().toLowerCase(Locale.ROOT),
            size,
            mean(with, FleetStatistics::goodput),
            mean(without, FleetStatistics::goodput),
            goodput.mean(),
            goodput.halfWidth(),
            mean(with, FleetStatistics::callsPerMessage),
            mean(without, FleetStatistics::callsPerMessage),
            perMessage(with, Count.REFUSED_CALLS),
            perMessage(without, Count.REFUSED_CALLS),
            perMessage(with, Count.REFUSED_MESSAGES),
            perMessage(without, Count.REFUSED_MESSAGES),
            perMessage(with, Count.HANDSHAKES),
            perMessage(without, Count.HANDSHAKES),
            perMessage(with, Count.LIST_CALLS),
            mean(with, tally -> tally.maxIn100Ms(Count.CALLS)),
            mean(without, tally -> tally.maxIn100Ms(Count.CALLS))));
  }

  private List<FleetStatistics> play(
      final FleetScenario.Disturbance trouble,
      final int size,
      final VirtualCourier.ControllerFactory maker) {
    final List<FleetStatistics> tallies =
        LongStream.rangeClosed(1, seeds)
            .parallel()
            .mapToObj(
                seed ->
                    VirtualFleet.run(
                        thin
                            ? FleetScenario.generateSparse(size, trouble, new Random(seed))
                            : FleetScenario.generate(size, trouble, new Random(seed)),
                        seed,
                        maker))
            .toList();
    for (final FleetStatistics tally : tallies) {
      violationCount += tally.violations().size();
      tally.violations().stream()
          .limit(3)
          .forEach(violation -> System.out.println("BROKEN: " + violation));
    }
    return tallies;
  }

  private static double mean(
      final List<FleetStatistics> tallies, final ToDoubleFunction<FleetStatistics> figure) {
    return tallies.stream().mapToDouble(figure).average().orElse(0);
  }

  /** Returns the mean of a count per message submitted. */
  private static String perMessage(final List<FleetStatistics> tallies, final Count count) {
    return String.format(
        Locale.ROOT,
        "%.3f",
        mean(tallies, tally -> (double) tally.total(count) / Math.max(1, tally.handed())));
  }
}
