package thistleturn.benchmarks.scale;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Profiles where the time of a message is spent. */
@Command(
    name = "profile",
    mixinStandardHelpOptions = true,
    description =
        "One courier on one core under a closed loop, "
            + "sampled by JDK Flight Recorder: a flame graph of its event loop.")
public final class MeasureProfile implements Callable<Integer> {
  private static final int DESTINATIONS = 100;
  private static final int HELD = 1000;
  private static final long MAX_WAIT_S = 60;

  @Option(
      names = "--picture",
      defaultValue = "scale-flame.svg",
      description = "default: ${DEFAULT-VALUE}")
  private Path picture;

  @Option(
      names = "--seconds",
      defaultValue = "12",
      description = "recorded seconds, after half as many of warm-up")
  private int seconds;

  @Option(names = "--core", defaultValue = "0", description = "the courier's core")
  private String core;

  @Override
  public Integer call() throws Exception {
    final Path recording = Files.createTempFile("thistleturn", ".jfr");
    final EventLoopGroup group = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
    final CourierChild.Config config =
        new CourierChild.Config(
            core,
            256,
            2048,
            4000,
            19_000,
            DESTINATIONS,
            1,
            10_000_000,
            0.4,
            List.of(
                "-XX:StartFlightRecording=delay="
                    + seconds / 2
                    + "s,duration="
                    + seconds
                    + "s,settings=profile,"
                    + "filename="
                    + recording,
                "-XX:FlightRecorderOptions=stackdepth=64",
                "-Xlog:jfr+startup=off"));
    try (Endpoints endpoints = new Endpoints(group, 0);
        CourierChild courier = new CourierChild(config, endpoints.address())) {
      final Clients clients =
          Clients.holding(group, courier.address(), DESTINATIONS, endpoints, HELD);
      clients.closed(64);
      final long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_S);
      while (Files.size(recording) == 0 && System.nanoTime() < deadlineNs) {
        TimeUnit.MILLISECONDS.sleep(100);
      }
      // The recorder creates its file when the recording ends and writes the last chunk soon after.
      TimeUnit.SECONDS.sleep(1);
      clients.close();
      final FlameGraph graph = FlameGraph.read(recording, "SingleThreadIoEventLoop.run");
      graph.write(picture);
      System.out.println(graph.samples() + " samples of the event loop in " + picture);
      return graph.samples() > 0 ? 0 : 1;
    } finally {
      Files.deleteIfExists(recording);
      group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
  }
}
