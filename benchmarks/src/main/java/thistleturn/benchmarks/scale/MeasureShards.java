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

/** Measures how the throughput of a courier grows with its number of shards. */
@Command(
    name = "shards",
    mixinStandardHelpOptions = true,
    description =
        "One courier on as many cores as it has shards, "
            + "under a closed loop: messages a second, also as a multiple of one shard. The driver has the other cores.")
public final class MeasureShards implements Callable<Integer> {
  private static final int DESTINATIONS = 100;
  private static final int CONNECTIONS = 256;
  private static final int HELD = 2000;
  private static final int CALL_LIMIT = 2048;

  @Option(
      names = "--shards",
      split = ",",
      defaultValue = "1,2,4,6",
      description = "numbers of shards; default: ${DEFAULT-VALUE}")
  private List<Integer> shards;

  @Option(
      names = "--seconds",
      defaultValue = "6",
      description = "measured seconds, after as many of warm-up")
  private int seconds;

  @Override
  public Integer call() throws Exception {
    System.out.println(
        "| shards | delivered/s | times one shard | of linear | CPU a message, us | doubles |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    double oneShardPerSecond = 0;
    for (final int count : shards) {
      final int cores = Runtime.getRuntime().availableProcessors();
      final EventLoopGroup group =
          new MultiThreadIoEventLoopGroup(Math.max(2, cores - count), NioIoHandler.newFactory());
      final CourierChild.Config config =
          new CourierChild.Config(
              "0-" + (count - 1),
              768,
              CALL_LIMIT,
              HELD * 2,
              19_000,
              DESTINATIONS,
              count,
              10_000_000,
              0.4,
              List.of());
      try (Endpoints endpoints = new Endpoints(group, 0);
          CourierChild courier = new CourierChild(config, endpoints.address())) {
        final Clients clients =
            Clients.holding(group, courier.address(), DESTINATIONS, endpoints, HELD);
        clients.closed(CONNECTIONS);
        TimeUnit.SECONDS.sleep(seconds);
        final long before = endpoints.calls.get();
        final double[] cpuBefore = courier.cpuS();
        final long fromNs = System.nanoTime();
        TimeUnit.SECONDS.sleep(seconds);
        final double perSecond =
            (endpoints.calls.get() - before) / ((System.nanoTime() - fromNs) / 1e9);
        final double[] cpu = courier.cpuS();
        clients.close();
        oneShardPerSecond = oneShardPerSecond == 0 ? perSecond / count : oneShardPerSecond;
        System.out.println(
            String.format(
                Locale.ROOT,
                "| %d | %,.0f | %.2f | %.2f | %.0f | %d |",
                count,
                perSecond,
                perSecond / oneShardPerSecond,
                perSecond / oneShardPerSecond / count,
                (cpu[0] + cpu[1] - cpuBefore[0] - cpuBefore[1])
                    * 1e6
                    / Math.max(1, endpoints.calls.get() - before),
                endpoints.duplicates.get()));
      } finally {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
      }
    }
    return 0;
  }
}
