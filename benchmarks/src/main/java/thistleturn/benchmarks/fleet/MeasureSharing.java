package thistleturn.benchmarks.fleet;

import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thistleturn.benchmarks.Paired;
import thistleturn.decisions.OverloadController;
import thistleturn.decisions.replicas.EntryType;
import thistleturn.lab.fleet.FleetScenario;
import thistleturn.lab.fleet.FleetStatistics;
import thistleturn.lab.fleet.FleetStatistics.Count;
import thistleturn.lab.fleet.Sharing;
import thistleturn.lab.fleet.VirtualFleet;

/** What sharing is worth: the same days without, by copies, and by one perfect memory. */
@Command(
    name = "sharing",
    mixinStandardHelpOptions = true,
    description =
        "Virtual fleets that share what they are told and have learnt, paired with such that share nothing.")
public final class MeasureSharing implements Callable<Integer> {
  @Option(
      names = "--seeds",
      defaultValue = "30",
      description = "days a row; ${DEFAULT-VALUE} unless told")
  private int seeds;

  @Option(
      names = "--couriers",
      split = ",",
      defaultValue = "14,100",
      description = "sizes; ${DEFAULT-VALUE} unless told")
  private List<Integer> sizes;

  @Option(
      names = "--troubles",
      split = ",",
      defaultValue = "JOIN,ZONE,HERD,CRASHES",
      description = "${DEFAULT-VALUE} unless told")
  private List<FleetScenario.Disturbance> troubles;

  @Option(
      names = "--kinds",
      split = ",",
      description = "only these; else each alone, and all together")
  private List<EntryType> only;

  private int broken;

  @Override
  public Integer call() {
    System.out.println(
        "| trouble | couriers | shared | worth without | by copies | difference, 95% | perfect memory | difference, 95% "
            + "| calls a message without | by copies | refused calls a message without | by copies | most calls in 100 ms without | by copies |");
    System.out.println(
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (final FleetScenario.Disturbance trouble : troubles) {
      for (final int size : sizes) {
        final List<FleetStatistics> without = play(trouble, size, Sharing.NOTHING);
        for (final Set<EntryType> kinds :
            only != null
                ? List.<Set<EntryType>>of(EnumSet.copyOf(only))
                : List.<Set<EntryType>>of(
                    EnumSet.of(EntryType.WAIT),
                    EnumSet.of(EntryType.OUTAGE),
                    EnumSet.of(EntryType.LEARNT),
                    EnumSet.of(EntryType.WAIT, EntryType.OUTAGE, EntryType.LEARNT))) {
          row(trouble, size, kinds, without);
        }
      }
    }
    return broken == 0 ? 0 : 1;
  }

  private void row(
      final FleetScenario.Disturbance trouble,
      final int size,
      final Set<EntryType> kinds,
      final List<FleetStatistics> without) {
    final List<FleetStatistics> copies = play(trouble, size, Sharing.throughReplicas(kinds, 0.05));
    final List<FleetStatistics> perfect = play(trouble, size, Sharing.throughSharedMemory(kinds));
    final Paired byCopies = Paired.of(copies, without, FleetStatistics::goodput);
    final Paired byOne = Paired.of(perfect, without, FleetStatistics::goodput);
    System.out.println(
        String.format(
            Locale.ROOT,
            "| %s | %d | %s | %.4f | %.4f | %+.4f ± %.4f | %.4f | %+.4f ± %.4f | %.3f | %.3f | %.4f "
                + "| %.4f | %.0f | %.0f |",
            trouble.name().toLowerCase(Locale.ROOT),
            size,
            kinds.toString().toLowerCase(Locale.ROOT),
            mean(without, FleetStatistics::goodput),
            mean(copies, FleetStatistics::goodput),
            byCopies.mean(),
            byCopies.half(),
            mean(perfect, FleetStatistics::goodput),
            byOne.mean(),
            byOne.half(),
            mean(without, FleetStatistics::callsPerMessage),
            mean(copies, FleetStatistics::callsPerMessage),
            refused(without),
            refused(copies),
            mean(without, tally -> tally.maxIn100Ms(Count.CALLS)),
            mean(copies, tally -> tally.maxIn100Ms(Count.CALLS))));
  }

  private List<FleetStatistics> play(
      final FleetScenario.Disturbance trouble, final int size, final Sharing sharing) {
    final List<FleetStatistics> tallies =
        LongStream.rangeClosed(1, seeds)
            .parallel()
            .mapToObj(
                seed ->
                    VirtualFleet.run(
                        size > 25
                            ? FleetScenario.generateSparse(size, trouble, new Random(seed))
                            : FleetScenario.generate(size, trouble, new Random(seed)),
                        seed,
                        OverloadController::new,
                        true,
                        sharing))
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

  private static double refused(final List<FleetStatistics> tallies) {
    return mean(
        tallies, tally -> (double) tally.total(Count.REFUSED_CALLS) / Math.max(1, tally.handed()));
  }
}
