package thistleturn.benchmarks.scale;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures what is delivered when the offered load far exceeds the capacity. */
@Command(
    name = "flood",
    mixinStandardHelpOptions = true,
    description =
        "One courier on one core: first its capacity in a closed loop, then what it delivers "
            + "at 0.5 to 10 times that in an open loop, by clients with a timeout of 400 ms.")
public final class MeasureFlood implements Callable<Integer> {
  private static final int DESTINATIONS = 100;
  private static final int CALL_LIMIT = 2048;
  private static final int HELD = 5000;
  private static final int DRIVER_LOOPS = 4;

  @Option(
      names = "--times",
      split = ",",
      defaultValue = "0.5,0.8,1,1.5,2,4,7,10",
      description = "offered loads, as multiples of the capacity; default: ${DEFAULT-VALUE}")
  private List<Double> times;

  @Option(names = "--picture", description = "SVG file for the chart")
  private Path picture;

  @Option(names = "--core", defaultValue = "0", description = "the courier's core")
  private String core;

  @Option(names = "--connections", defaultValue = "2000", description = "default: ${DEFAULT-VALUE}")
  private int connections;

  @Option(
      names = "--seconds",
      defaultValue = "6",
      description = "measured seconds, after as many of warm-up")
  private int seconds;

  @Override
  public Integer call() throws Exception {
    final double capacity = measure(0)[0];
    System.out.println(
        String.format(Locale.ROOT, "Capacity in a closed loop: %,.0f a second.%n", capacity));
    System.out.println(
        "| offered, times capacity | offered/s | delivered/s | taken in time/s | of the best | refused/s | given up by "
            + "clients/s | p99 of an answer, ms |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
    final List<double[]> rows = new ArrayList<>();
    for (final double one : times) {
      System.err.println(one + " times the capacity ...");
      rows.add(measure(one * capacity));
    }
    final double best = rows.stream().mapToDouble(row -> row[4]).max().orElse(1);
    for (int index = 0; index < rows.size(); index++) {
      final double[] row = rows.get(index);
      System.out.println(
          String.format(
              Locale.ROOT,
              "| %.1f | %,.0f | %,.0f | %,.0f | %.2f | %,.0f | %,.0f | %.0f |",
              times.get(index),
              times.get(index) * capacity,
              row[0],
              row[4],
              row[4] / best,
              row[1],
              row[2],
              row[3]));
    }
    if (picture != null) {
      Curve.write(
          picture,
          times,
          List.of(
              new Curve.Line(
                  "taken in time, of the best",
                  rows.stream().mapToDouble(row -> row[4] / best).toArray()),
              new Curve.Line(
                  "delivered, of the capacity",
                  rows.stream().mapToDouble(row -> row[0] / capacity).toArray())));
    }
    return 0;
  }

  /**
   * Runs one load and returns, in this order: delivered, refused and given up a second, the p99
   * latency in ms, and accepted a second. A rate of 0 runs a closed loop.
   */
  private double[] measure(final double perSecond) throws Exception {
    final EventLoopGroup group =
        new MultiThreadIoEventLoopGroup(DRIVER_LOOPS, NioIoHandler.newFactory());
    final CourierChild.Config config =
        new CourierChild.Config(
            core, 512, CALL_LIMIT, HELD, 19_000, DESTINATIONS, 1, 10_000_000, 0.45, List.of());
    try (Endpoints endpoints = new Endpoints(group, 0);
        CourierChild courier = new CourierChild(config, endpoints.address())) {
      final Clients clients = new Clients(group, courier.address(), DESTINATIONS, () -> true);
      if (perSecond == 0) {
        clients.closed(64);
      } else {
        clients.open(perSecond, connections, DRIVER_LOOPS);
      }
      TimeUnit.SECONDS.sleep(seconds);
      final long[] before = {
        endpoints.calls.get(), clients.refused.get(), clients.late.get(), clients.accepted.get()
      };
      clients.latencyUs.reset();
      final long fromNs = System.nanoTime();
      TimeUnit.SECONDS.sleep(seconds);
      final double elapsedS = (System.nanoTime() - fromNs) / 1e9;
      final double[] row = {
        (endpoints.calls.get() - before[0]) / elapsedS,
        (clients.refused.get() - before[1]) / elapsedS,
        (clients.late.get() - before[2]) / elapsedS,
        clients.latencyUs.getValueAtPercentile(99) / 1000.0,
        (clients.accepted.get() - before[3]) / elapsedS
      };
      clients.close();
      return row;
    } finally {
      group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
  }
}
