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
import thistleturn.lab.virtual.Evening;
import thistleturn.lab.virtual.Tally;
import thistleturn.lab.virtual.VirtualCourier;

/** Goodput under trouble that does not answer to load, and under limits that do; in virtual time. */
@Command(name = "noise", mixinStandardHelpOptions = true, description = "Goodput under random trouble and under true "
        + "limits, in virtual time: the decisions as they are, without reading, and plain senders, by the same seeds.")
public final class MeasureNoise implements Callable<Integer> {
    /** A table of the page. */
    enum Part { TROUBLES, LIMITS }

    @Option(names = "--part", description = "${COMPLETION-CANDIDATES}; all of them unless told")
    private Part part;
    @Option(names = "--seeds", defaultValue = "3", description = "evenings a row; ${DEFAULT-VALUE} unless told")
    private int seeds;
    @Option(names = "--seconds", defaultValue = "25", description = "length of one; ${DEFAULT-VALUE} unless told")
    private int seconds;
    private int broken;

    @Override
    public Integer call() {
        if (part == null || part == Part.TROUBLES) {
            troubles();
        }
        if (part == null || part == Part.LIMITS) {
            limits();
        }
        return broken == 0 ? 0 : 1;
    }

    private List<Tally> play(final Supplier<Evening> evening, final VirtualCourier.Maker maker) {
        final List<Tally> tallies = new ArrayList<>();
        for (long seed = 1; seed <= seeds; seed++) {
            final Tally tally = VirtualCourier.play(evening.get(), seed, maker);
            broken += tally.broken().size();
            tally.broken().stream().limit(3).forEach(what -> System.out.println("BROKEN: " + what));
            tallies.add(tally);
        }
        return tallies;
    }

    private static String spread(final List<Tally> tallies, final ToDoubleFunction<Tally> figure) {
        final double least = tallies.stream().mapToDouble(figure).min().orElse(0);
        final double most = tallies.stream().mapToDouble(figure).max().orElse(0);
        return String.format(Locale.ROOT, most - least < 0.0005 ? "%.3f" : "%.3f to %.3f", least, most);
    }

    private void troubles() {
        System.out.println("| trouble | rates told | sender | delivered | calls a message | refused calls a message |");
        System.out.println("| --- | --- | --- | --- | --- | --- |");
        for (final boolean told : new boolean[] {false, true}) {
            for (final Map.Entry<String, double[]> trouble : Worlds.troubles().entrySet()) {
                Senders.all().forEach((name, maker) -> {
                    final List<Tally> tallies = play(() -> Worlds.troubled(trouble.getValue(),
                            seconds * Worlds.SECOND_US, told), maker);
                    System.out.println("| " + trouble.getKey() + " | " + (told ? "yes" : "no") + " | " + name + " | "
                            + spread(tallies, Tally::goodput) + " | " + spread(tallies, Tally::callsAMessage) + " | "
                            + spread(tallies, Tally::refusedAMessage) + " |");
                });
            }
        }
    }

    private void limits() {
        System.out.println("| limit | sender | delivered, of capacity | refused calls a message |");
        System.out.println("| --- | --- | --- | --- |");
        Worlds.limits(seconds * Worlds.SECOND_US).forEach((world, evening) -> Senders.all().forEach((name, maker) -> {
            final List<Tally> tallies = play(evening, maker);
            System.out.println("| " + world + " | " + name + " | "
                    + spread(tallies, tally -> tally.delivered() / (3 * Worlds.CAPACITY * seconds)) + " | "
                    + spread(tallies, Tally::refusedAMessage) + " |");
        }));
    }
}
