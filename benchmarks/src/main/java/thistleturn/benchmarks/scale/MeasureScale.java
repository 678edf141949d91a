package thistleturn.benchmarks.scale;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the cost of a message by the number of pending messages and of destinations. */
@Command(
    name = "scale",
    mixinStandardHelpOptions = true,
    description =
        "One courier on one core, with a constant number of pending messages for destinations "
            + "whose endpoint answers at once: messages a second and CPU per message.")
public final class MeasureScale implements Callable<Integer> {
  private static final int CONNECTIONS = 64;
  private static final int CALL_LIMIT = 2048;
  private static final int DRIVER_LOOPS = 3;

  @Option(
      names = "--held",
      split = ",",
      defaultValue = "100,1000,10000,100000",
      description = "numbers of pending messages; default: ${DEFAULT-VALUE}")
  private List<Integer> held;

  @Option(
      names = "--destinations",
      split = ",",
      defaultValue = "10,1000,10000,100000",
      description = "numbers of destinations; default: ${DEFAULT-VALUE}")
  private List<Integer> destinations;

  @Option(
      names = "--seconds",
      defaultValue = "6",
      description = "measured seconds, after as many of warm-up")
  private int seconds;

  @Option(names = "--core", defaultValue = "0", description = "the courier's core")
  private String core;

  @Option(names = "--java", description = "an additional JVM option of the courier")
  private List<String> javaOptions = List.of();

  @Override
  public Integer call() throws Exception {
    System.out.println(
        "| destinations | held | delivered/s | CPU a message, us | of it system | p50 ms | p99 ms | "
            + "refused | doubles | memory MB |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    double minCostUs = Double.MAX_VALUE;
    double maxCostUs = 0;
    for (final int count : destinations) {
      for (final int open : held) {
        final double costUs = row(count, open);
        minCostUs = Math.min(minCostUs, costUs);
        maxCostUs = Math.max(maxCostUs, costUs);
      }
    }
    System.out.println(
        String.format(
            Locale.ROOT,
            "%nThe dearest row costs %.2f times the cheapest.",
            maxCostUs / minCostUs));
    return 0;
  }

  private double row(final int count, final int open) throws Exception {
    System.err.println(count + " destinations, " + open + " held ...");
    final EventLoopGroup group =
        new MultiThreadIoEventLoopGroup(DRIVER_LOOPS, NioIoHandler.newFactory());
    final CourierChild.Config singleShard =
        CourierChild.Config.singleShard(
            core, 256 + (open + count) / 80, CALL_LIMIT, open * 5 / 4 + 1000, count);
    final CourierChild.Config config =
        new CourierChild.Config(
            singleShard.cores(),
            singleShard.heapMb(),
            singleShard.callLimit(),
            singleShard.maxOpen(),
            singleShard.sockets(),
            count,
            1,
            singleShard.idleUs(),
            singleShard.clientShare(),
            javaOptions);
    try (Endpoints endpoints = new Endpoints(group, 0);
        CourierChild courier = new CourierChild(config, endpoints.address())) {
      final Clients clients = Clients.holding(group, courier.address(), count, endpoints, open);
      clients.closed(CONNECTIONS);
      TimeUnit.SECONDS.sleep(seconds);
      clients.latencyUs.reset();
      final long refusedBefore = clients.refused.get();
      final long before = endpoints.calls.get();
      final double[] cpuBefore = courier.cpuS();
      final long fromNs = System.nanoTime();
      TimeUnit.SECONDS.sleep(seconds);
      final double elapsedS = (System.nanoTime() - fromNs) / 1e9;
      final double[] cpu = courier.cpuS();
      final long delivered = endpoints.calls.get() - before;
      clients.close();
      final double costUs =
          (cpu[0] + cpu[1] - cpuBefore[0] - cpuBefore[1]) * 1e6 / Math.max(1, delivered);
      System.out.println(
          String.format(
              Locale.ROOT,
              "| %,d | %,d | %,.0f | %.0f | %.0f | %.1f | %.1f | %,d | %d | %d |",
              count,
              open,
              delivered / elapsedS,
              costUs,
              (cpu[1] - cpuBefore[1]) * 1e6 / Math.max(1, delivered),
              clients.latencyUs.getValueAtPercentile(50) / 1000.0,
              clients.latencyUs.getValueAtPercentile(99) / 1000.0,
              clients.refused.get() - refusedBefore,
              endpoints.duplicates.get(),
              courier.statusKb("VmRSS") / 1024));
      return costUs;
    } finally {
      group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
  }
}
