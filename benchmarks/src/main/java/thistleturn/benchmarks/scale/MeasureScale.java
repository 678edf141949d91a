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

/** What a message costs by how many are held and how many destinations there are. */
@Command(
    name = "scale",
    mixinStandardHelpOptions = true,
    description =
        "One courier on one core, so many messages held "
            + "all the time for so many destinations whose endpoint answers at once: messages a second and CPU a message.")
public final class MeasureScale implements Callable<Integer> {
  private static final int CONNECTIONS = 64;
  private static final int SLOTS = 2048;
  private static final int DRIVER_LOOPS = 3;

  @Option(
      names = "--held",
      split = ",",
      defaultValue = "100,1000,10000,100000",
      description = "${DEFAULT-VALUE}")
  private List<Integer> held;

  @Option(
      names = "--destinations",
      split = ",",
      defaultValue = "10,1000,10000,100000",
      description = "${DEFAULT-VALUE}")
  private List<Integer> destinations;

  @Option(
      names = "--seconds",
      defaultValue = "6",
      description = "measured, after as many of warming up")
  private int seconds;

  @Option(names = "--core", defaultValue = "0", description = "the courier's core")
  private String core;

  @Option(names = "--java", description = "a further option of the courier's Java machine")
  private List<String> java = List.of();

  @Override
  public Integer call() throws Exception {
    System.out.println(
        "| destinations | held | delivered/s | CPU a message, us | of it system | p50 ms | p99 ms | "
            + "refused | doubles | memory MB |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    double least = Double.MAX_VALUE;
    double most = 0;
    for (final int count : destinations) {
      for (final int open : held) {
        final double costUs = row(count, open);
        least = Math.min(least, costUs);
        most = Math.max(most, costUs);
      }
    }
    System.out.println(
        String.format(
            Locale.ROOT, "%nThe dearest row costs %.2f times the cheapest.", most / least));
    return 0;
  }

  private double row(final int count, final int open) throws Exception {
    System.err.println(count + " destinations, " + open + " held ...");
    final EventLoopGroup group =
        new MultiThreadIoEventLoopGroup(DRIVER_LOOPS, NioIoHandler.newFactory());
    final CourierChild.Size plain =
        CourierChild.Size.plain(core, 256 + (open + count) / 80, SLOTS, open * 5 / 4 + 1000, count);
    final CourierChild.Size size =
        new CourierChild.Size(
            plain.cores(),
            plain.heapMb(),
            plain.slots(),
            plain.maxOpen(),
            plain.sockets(),
            count,
            1,
            plain.idleUs(),
            plain.clientShare(),
            java);
    try (Endpoints endpoints = new Endpoints(group, 0);
        CourierChild courier = new CourierChild(size, endpoints.address())) {
      final Clients clients = Clients.holding(group, courier.address(), count, endpoints, open);
      clients.closed(CONNECTIONS);
      TimeUnit.SECONDS.sleep(seconds);
      clients.latencyUs.reset();
      final long refusedBefore = clients.refused.get();
      final long before = endpoints.calls.get();
      final double[] cpuBefore = courier.cpuS();
      final long fromNs = System.nanoTime();
      TimeUnit.SECONDS.sleep(seconds);
      final double tookS = (System.nanoTime() - fromNs) / 1e9;
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
              delivered / tookS,
              costUs,
              (cpu[1] - cpuBefore[1]) * 1e6 / Math.max(1, delivered),
              clients.latencyUs.getValueAtPercentile(50) / 1000.0,
              clients.latencyUs.getValueAtPercentile(99) / 1000.0,
              clients.refused.get() - refusedBefore,
              endpoints.doubles.get(),
              courier.statusKb("VmRSS") / 1024));
      return costUs;
    } finally {
      group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
  }
}
