package thistleturn.benchmarks.fleet;

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
import thistleturn.lab.fleet.FleetScenario;
import thistleturn.lab.fleet.FleetStatistics;
import thistleturn.lab.fleet.FleetStatistics.Count;
import thistleturn.lab.fleet.VirtualFleet;
import thistleturn.lab.virtual.VirtualCourier;

/**
 * Goodput and calls of fleets of several sizes, with and without sharing, by the same seeds in
 * virtual time.
 */
@Command(
    name = "fleet",
    mixinStandardHelpOptions = true,
    description =
        "Worth delivered, calls, refusals, handshakes and "
            + "list calls of fleets in virtual time: the decisions as they are, and without sharing, by the same seeds.")
public final class MeasureFleet implements Callable<Integer> {
  @Option(
      names = "--seeds",
      defaultValue = "30",
      description = "days a row, 2 at least; ${DEFAULT-VALUE} unless told")
  private int seeds;

  @Option(
      names = "--couriers",
      split = ",",
      defaultValue = "1,2,8,14,50",
      description = "sizes; ${DEFAULT-VALUE} unless told")
  private List<Integer> sizes;

  @Option(names = "--trouble", description = "${COMPLETION-CANDIDATES}; all of them unless told")
  private FleetScenario.Disturbance only;

  @Option(
      names = "--thin",
      description = "days on which each courier sees little, and couriers differ by ten in load")
  private boolean thin;

  @Option(
      names = "--strict",
      description =
          "against couriers that keep to even parts strictly, in place of such that share nothing")
  private boolean strict;

  private int broken;

  @Override
  public Integer call() {
    if (seeds < 2 || sizes.stream().anyMatch(size -> size < 1)) {
      System.err.println("measure fleet: --seeds is 2 at least, and each of --couriers 1 at least");
      return 2;
    }
    System.out.println(
        "| trouble | couriers | worth delivered | without sharing | paired difference, 95% | calls a message "
            + "| without | refused calls | without | refused messages | without | handshakes | without | list calls | most calls in 100 ms | without |");
    System.out.println(
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (final FleetScenario.Disturbance trouble :
        only == null
            ? FleetScenario.Disturbance.values()
            : new FleetScenario.Disturbance[] {only}) {
      if (only != null || !trouble.pausesCouriers()) {
        sizes.forEach(size -> row(trouble, size));
      }
    }
    return broken == 0 ? 0 : 1;
  }

  private void row(final FleetScenario.Disturbance trouble, final int size) {
    final List<FleetStatistics> with = play(trouble, size, OverloadController::new);
    final List<FleetStatistics> without =
        play(
            trouble,
            size,
            strict
                ? OverloadController::withStrictRateShares
                : OverloadController::withoutRateSharing);
    final Paired goodput = Paired.of(with, without, FleetStatistics::goodput);
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
            goodput.half(),
            mean(with, FleetStatistics::callsPerMessage),
            mean(without, FleetStatistics::callsPerMessage),
            share(with, Count.REFUSED_CALLS),
            share(without, Count.REFUSED_CALLS),
            share(with, Count.REFUSED_MESSAGES),
            share(without, Count.REFUSED_MESSAGES),
            share(with, Count.HANDSHAKES),
            share(without, Count.HANDSHAKES),
            share(with, Count.LIST_CALLS),
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
      broken += tally.violations().size();
      tally.violations().stream().limit(3).forEach(what -> System.out.println("BROKEN: " + what));
    }
    return tallies;
  }

  private static double mean(
      final List<FleetStatistics> tallies, final ToDoubleFunction<FleetStatistics> figure) {
    return tallies.stream().mapToDouble(figure).average().orElse(0);
  }

  /** Of each message handed in. */
  private static String share(final List<FleetStatistics> tallies, final Count what) {
    return String.format(
        Locale.ROOT,
        "%.3f",
        mean(tallies, tally -> (double) tally.total(what) / Math.max(1, tally.handed())));
  }
}
