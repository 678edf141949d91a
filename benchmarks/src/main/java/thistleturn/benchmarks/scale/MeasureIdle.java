package thistleturn.benchmarks.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the cost of idle connections. */
@Command(
    name = "idle",
    mixinStandardHelpOptions = true,
    description =
        "Couriers that share one core, with idle connections to each: memory per connection, "
            + "the latency of active traffic, and the effect of all idle connections waking up at once.")
public final class MeasureIdle implements Callable<Integer> {
  private static final int ACTIVE = 16;
  private static final double RATE = 300;
  private static final byte[] UP =
      "GET /up HTTP/1.1\r\nHost: b\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  @Option(
      names = "--connections",
      defaultValue = "17000",
      description = "idle connections to each courier; default: ${DEFAULT-VALUE}")
  private int connections;

  @Option(
      names = "--couriers",
      defaultValue = "1",
      description = "number of courier processes; default: ${DEFAULT-VALUE}")
  private int couriers;

  @Option(
      names = "--seconds",
      defaultValue = "8",
      description = "duration of each phase of active traffic")
  private int seconds;

  @Option(
      names = "--hold",
      hidden = true,
      description = "address to which this process holds idle connections")
  private String hold;

  @Override
  public Integer call() throws Exception {
    if (hold != null) {
      return hold();
    }
    final List<CourierChild> children = new ArrayList<>();
    final List<Process> holders = new ArrayList<>();
    final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    try (Endpoints endpoints = new Endpoints(group, 0)) {
      for (int index = 0; index < couriers; index++) {
        children.add(
            new CourierChild(
                new CourierChild.Config(
                    "0", 256, 256, 2000, 19_900, 10, 1, 3_600_000_000L, 0.9, List.of()),
                endpoints.address()));
      }
      final Clients clients = new Clients(group, children.get(0).address(), 10, () -> true);
      clients.open(RATE, ACTIVE, 1);
      TimeUnit.SECONDS.sleep(2L * seconds);
      final Histogram before = phase(clients);
      final long heapBefore = children.get(0).heapBytes();
      final long kbBefore = memoryKb(children);
      final long kernelBefore = kernelKb();
      for (final CourierChild child : children) {
        holders.add(
            new ProcessBuilder(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-Xmx1g",
                    "-cp",
                    System.getProperty("java.class.path"),
                    "thistleturn.benchmarks.Main",
                    "idle",
                    "--connections",
                    Integer.toString(connections),
                    "--hold",
                    child.address().getHostString() + ":" + child.address().getPort())
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start());
      }
      for (final Process holder : holders) {
        await(holder, "holding");
      }
      // A connection releases memory that it does not need within a few seconds.
      TimeUnit.SECONDS.sleep(4);
      final long heapAfter = children.get(0).heapBytes();
      final long kbAfter = memoryKb(children);
      final long kernelAfter = kernelKb();
      final Histogram during = phase(clients);
      for (final Process holder : holders) {
        holder.getOutputStream().write('\n');
        holder.getOutputStream().flush();
      }
      final Histogram waking = phase(clients);
      for (final Process holder : holders) {
        await(holder, "woken");
      }
      final long totalConnections = (long) connections * couriers;
      System.out.println(
          String.format(
              Locale.ROOT,
              "%,d idle connections, %d courier(s) on one core: heap %.0f bytes "
                  + "a connection, process memory %.0f, the system's for both ends %.0f.%n",
              totalConnections,
              couriers,
              (heapAfter - heapBefore) / (double) connections,
              (kbAfter - kbBefore) * 1024.0 / totalConnections,
              (kernelAfter - kernelBefore) * 1024.0 / totalConnections));
      System.out.println("| active traffic | p50 ms | p99 ms | p99.9 ms | requests |");
      System.out.println("| --- | --- | --- | --- | --- |");
      print("without", before);
      print("beside the idle ones", during);
      print("while all wake", waking);
      return 0;
    } finally {
      holders.forEach(Process::destroyForcibly);
      for (final CourierChild child : children) {
        child.close();
      }
      group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
  }

  private static void print(final String what, final Histogram histogram) {
    System.out.println(
        String.format(
            Locale.ROOT,
            "| %s | %.2f | %.2f | %.2f | %,d |",
            what,
            histogram.getValueAtPercentile(50) / 1000.0,
            histogram.getValueAtPercentile(99) / 1000.0,
            histogram.getValueAtPercentile(99.9) / 1000.0,
            histogram.getTotalCount()));
  }

  private Histogram phase(final Clients clients) throws InterruptedException {
    clients.latencyUs.reset();
    TimeUnit.SECONDS.sleep(seconds);
    return clients.latencyUs.copy();
  }

  private static long memoryKb(final List<CourierChild> children) throws IOException {
    long sum = 0;
    for (final CourierChild child : children) {
      sum += child.statusKb("VmRSS");
    }
    return sum;
  }

  /** Memory of the kernel outside any process: slabs and socket buffers. */
  private static long kernelKb() throws IOException {
    return Files.readAllLines(Path.of("/proc/meminfo")).stream()
        .filter(line -> line.startsWith("Slab:"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
        .sum();
  }

  private static void await(final Process holder, final String word) throws IOException {
    final StringBuilder line = new StringBuilder();
    while (!line.toString().contains(word)) {
      final int next = holder.getInputStream().read();
      if (next < 0) {
        throw new IOException("a process that holds idle connections ended: " + line);
      }
      line.append((char) next);
    }
  }

  /**
   * Holds idle connections to a courier; after a line on standard input, requests {@code /up} over
   * all of them at once.
   */
  private int hold() throws Exception {
    final String[] parts = hold.split(":");
    final InetSocketAddress address = new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
    final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final Bootstrap bootstrap =
        new Bootstrap().group(group).channel(NioSocketChannel.class).handler(new DiscardHandler());
    final List<Channel> channels = new ArrayList<>();
    for (int index = 0; index < connections; index++) {
      // Several local addresses, since one has too few ports for all connections.
      final Channel channel =
          bootstrap
              .connect(address, new InetSocketAddress("127.0.0." + (2 + index / 8000), 0))
              .sync()
              .channel();
      channel.writeAndFlush(Unpooled.wrappedBuffer(UP));
      channels.add(channel);
    }
    System.out.println("holding");
    System.in.read();
    channels.forEach(channel -> channel.writeAndFlush(Unpooled.wrappedBuffer(UP)));
    System.out.println("woken " + channels.stream().filter(Channel::isActive).count());
    System.in.read();
    return 0;
  }

  /** Discards everything it receives. */
  @ChannelHandler.Sharable
  private static final class DiscardHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(final ChannelHandlerContext context, final Object part) {
      ReferenceCountUtil.release(part);
    }
  }
}
