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
import thistleturn.benchmarks.PairedDifference;
import thistleturn.decisions.OverloadController;
import thistleturn.decisions.replicas.EntryType;
import thistleturn.lab.fleet.FleetScenario;
import thistleturn.lab.fleet.FleetStatistics;
import thistleturn.lab.fleet.FleetStatistics.Count;
import thistleturn.lab.fleet.Sharing;
import thistleturn.lab.fleet.VirtualFleet;

/**
 * Measures the benefit of sharing state among couriers: the same scenarios without sharing, with
 * replicas over a lossy network, and with one ideal memory common to all.
 */
@Command(
    name = "sharing",
    mixinStandardHelpOptions = true,
    description =
        "Simulated fleets that share requested waits, outages and learned rates, paired by seed with fleets that share nothing.")
public final class MeasureSharing implements Callable<Integer> {
  @Option(
      names = "--seeds",
      defaultValue = "30",
      description = "scenarios per row; default: ${DEFAULT-VALUE}")
  private int seeds;

  @Option(
      names = "--couriers",
      split = ",",
      defaultValue = "14,100",
      description = "fleet sizes; default: ${DEFAULT-VALUE}")
  private List<Integer> sizes;

  @Option(
      names = "--troubles",
      split = ",",
      defaultValue = "JOIN,ZONE,HERD,CRASHES",
      description = "default: ${DEFAULT-VALUE}")
  private List<FleetScenario.Disturbance> troubles;

  @Option(
      names = "--kinds",
      split = ",",
      description = "measures only this set of entry types; default: each alone, and all together")
  private List<EntryType> onlyTypes;

  private int violationCount;

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
        for (final Set<EntryType> entryTypes :
            onlyTypes != null
                ? List.<Set<EntryType>>of(EnumSet.copyOf(onlyTypes))
                : List.<Set<EntryType>>of(
                    EnumSet.of(EntryType.WAIT),
                    EnumSet.of(EntryType.OUTAGE),
                    EnumSet.of(EntryType.LEARNT),
                    EnumSet.of(EntryType.WAIT, EntryType.OUTAGE, EntryType.LEARNT))) {
          printRow(trouble, size, entryTypes, without);
        }
      }
    }
    return violationCount == 0 ? 0 : 1;
  }

  private void printRow(
      final FleetScenario.Disturbance trouble,
      final int size,
      final Set<EntryType> entryTypes,
      final List<FleetStatistics> without) {
    final List<FleetStatistics> replicated =
        play(trouble, size, Sharing.throughReplicas(entryTypes, 0.05));
    final List<FleetStatistics> ideal =
        play(trouble, size, Sharing.throughSharedMemory(entryTypes));
    final PairedDifference replicationGain =
        PairedDifference.of(replicated, without, FleetStatistics::goodput);
    final PairedDifference idealGain =
        PairedDifference.of(ideal, without, FleetStatistics::goodput);
    System.out.println(
        String.format(
            Locale.ROOT,
            "| %s | %d | %s | %.4f | %.4f | %+.4f ± %.4f | %.4f | %+.4f ± %.4f | %.3f | %.3f | %.4f "
                + "| %.4f | %.0f | %.0f |",
            trouble.name().toLowerCase(Locale.ROOT),
            size,
            entryTypes.toString().toLowerCase(Locale.ROOT),
            mean(without, FleetStatistics::goodput),
            mean(replicated, FleetStatistics::goodput),
            replicationGain.mean(),
            replicationGain.halfWidth(),
            mean(ideal, FleetStatistics::goodput),
            idealGain.mean(),
            idealGain.halfWidth(),
            mean(without, FleetStatistics::callsPerMessage),
            mean(replicated, FleetStatistics::callsPerMessage),
            rejectedCallsPerMessage(without),
            rejectedCallsPerMessage(replicated),
            mean(without, tally -> tally.maxIn100Ms(Count.CALLS)),
            mean(replicated, tally -> tally.maxIn100Ms(Count.CALLS))));
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

  private static double rejectedCallsPerMessage(final List<FleetStatistics> tallies) {
    return mean(
        tallies, tally -> (double) tally.total(Count.REFUSED_CALLS) / Math.max(1, tally.handed()));
  }
}
