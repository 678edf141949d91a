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
import thistleturn.lab.fleet.FleetDay;
import thistleturn.lab.fleet.FleetTally;
import thistleturn.lab.fleet.FleetTally.Count;
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
  private List<FleetDay.Trouble> troubles;

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
    for (final FleetDay.Trouble trouble : troubles) {
      for (final int size : sizes) {
        final List<FleetTally> without = play(trouble, size, Sharing.NOTHING);
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
      final FleetDay.Trouble trouble,
      final int size,
      final Set<EntryType> kinds,
      final List<FleetTally> without) {
    final List<FleetTally> copies = play(trouble, size, Sharing.byCopies(kinds, 0.05));
    final List<FleetTally> perfect = play(trouble, size, Sharing.perfectly(kinds));
    final PairedDifference byCopies = PairedDifference.of(copies, without, FleetTally::goodput);
    final PairedDifference byOne = PairedDifference.of(perfect, without, FleetTally::goodput);
    System.out.println(
        String.format(
            Locale.ROOT,
            "| %s | %d | %s | %.4f | %.4f | %+.4f ± %.4f | %.4f | %+.4f ± %.4f | %.3f | %.3f | %.4f "
                + "| %.4f | %.0f | %.0f |",
            trouble.name().toLowerCase(Locale.ROOT),
            size,
            kinds.toString().toLowerCase(Locale.ROOT),
            mean(without, FleetTally::goodput),
            mean(copies, FleetTally::goodput),
            byCopies.mean(),
            byCopies.halfWidth(),
            mean(perfect, FleetTally::goodput),
            byOne.mean(),
            byOne.halfWidth(),
            mean(without, FleetTally::callsAMessage),
            mean(copies, FleetTally::callsAMessage),
            refused(without),
            refused(copies),
            mean(without, tally -> tally.mostIn100Ms(Count.CALLS)),
            mean(copies, tally -> tally.mostIn100Ms(Count.CALLS))));
  }

  private List<FleetTally> play(
      final FleetDay.Trouble trouble, final int size, final Sharing sharing) {
    final List<FleetTally> tallies =
        LongStream.rangeClosed(1, seeds)
            .parallel()
            .mapToObj(
                seed ->
                    VirtualFleet.play(
                        size > 25
                            ? FleetDay.thin(size, trouble, new Random(seed))
                            : FleetDay.drawn(size, trouble, new Random(seed)),
                        seed,
                        OverloadController::new,
                        true,
                        sharing))
            .toList();
    for (final FleetTally tally : tallies) {
      broken += tally.broken().size();
      tally.broken().stream().limit(3).forEach(what -> System.out.println("BROKEN: " + what));
    }
    return tallies;
  }

  private static double mean(
      final List<FleetTally> tallies, final ToDoubleFunction<FleetTally> figure) {
    return tallies.stream().mapToDouble(figure).average().orElse(0);
  }

  private static double refused(final List<FleetTally> tallies) {
    return mean(
        tallies, tally -> (double) tally.total(Count.REFUSED_CALLS) / Math.max(1, tally.handed()));
  }
}
