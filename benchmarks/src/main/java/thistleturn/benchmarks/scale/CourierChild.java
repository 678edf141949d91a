package thistleturn.benchmarks.scale;

import com.sun.net.httpserver.HttpServer;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A courier that runs as a separate process, on its own cores if {@code taskset} is installed, and
 * the stand-in platform that serves its endpoint list and receives its notices.
 */
final class CourierChild implements AutoCloseable {
  private static final Pattern READY = Pattern.compile("is ready at (\\S+):(\\d+)");
  private static final long START_S = 90;
  private static final double TICKS_PER_S = 100;

  /**
   * C1 only, like the platform's command line: on one core, C2 would compete with the measured
   * work.
   */
  private static final int TIERS = Integer.getInteger("scale.tiers", 1);

  /** Configuration of a courier. {@code cores} has the syntax of taskset. */
  record Config(
      String cores,
      int heapMb,
      int callLimit,
      int maxOpen,
      int sockets,
      int destinations,
      int shards,
      long idleUs,
      double clientShare,
      List<String> javaOptions) {
    /** One shard with the platform's descriptor shares and idle timeout. */
    static Config singleShard(
        final String cores,
        final int heapMb,
        final int callLimit,
        final int maxOpen,
        final int destinations) {
      return new Config(
          cores, heapMb, callLimit, maxOpen, 19_000, destinations, 1, 10_000_000, 0.4, List.of());
    }
  }

  /** Final outcomes reported to the platform. */
  final AtomicLong outcomeNotices = new AtomicLong();

  private final Path folder = Files.createTempDirectory("thistleturn-scale");
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final HttpServer platform;
  private final Config config;
  private final String endpointList;
  private Process process;
  private InetSocketAddress address;

  CourierChild(final Config config, final String endpoint) throws IOException {
    this.config = config;
    this.endpointList = endpointList(config.destinations(), endpoint);
    this.platform = platform();
    Files.createDirectories(folder.resolve("state"));
    Files.writeString(
        folder.resolve("config.json"),
        """
                {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":4096,"sockets":%d,"disk_mb":2000},"known":%s,
                 "settings":{"balancers":1,"my_zone":"a","discovery":"on_request","weights":"none",
                  "classes":[{"name":"safe","effect":"pure","target":300000000,"deadline":600000000,"points":1}],
                  "flavors":["std"],"extra":{"calls_out":%d,"per_call":[1],"routes_apart":[false]},
                  "guarantees":{"must_ask_in":10000000,"cold_from":0.5,"cold":1000000,"tip_multiple":2},
                  "limits":{"max_open":%d,"most_tries":8,"cancel":true,"idle_close":10000000,"retry_after":true,
                   "connect_timeout":1000000,"max_retry_after":2000000}}}"""
            .formatted(
                platform.getAddress().getPort(),
                config.sockets(),
                endpointList,
                config.callLimit(),
                config.maxOpen()));
    start();
  }

  private static String endpointList(final int destinations, final String endpoint) {
    final StringBuilder hosts = new StringBuilder("{\"seq\":3,\"whole\":true,\"hosts\":[");
    for (int index = 1; index <= destinations; index++) {
      hosts
          .append(index == 1 ? "" : ",")
          .append("{\"host\":\"s-")
          .append(index)
          .append("\",\"dial\":\"")
          .append(endpoint)
          .append("\",\"site\":\"a\",\"class\":\"std\",\"block\":")
          .append(index)
          .append(",\"health\":\"Ready\",\"share\":1.0,\"born_ms\":0}");
    }
    return hosts.append("]}").toString();
  }

  private HttpServer platform() throws IOException {
    final HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
    server.setExecutor(threads);
    server.createContext(
        "/v1/outcomes",
        exchange -> {
          outcomeNotices.addAndGet(
              new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8)
                  .lines()
                  .count());
          exchange.sendResponseHeaders(204, -1);
          exchange.close();
        });
    server.createContext(
        "/discovery/hosts",
        exchange -> {
          final boolean watch =
              String.valueOf(exchange.getRequestURI().getQuery()).contains("watch=1");
          exchange.sendResponseHeaders(200, watch ? 0 : endpointList.length());
          try (OutputStream out = exchange.getResponseBody()) {
            if (!watch) {
              out.write(endpointList.getBytes(StandardCharsets.US_ASCII));
            }
            while (watch && !threads.isShutdown()) {
              out.write('\n');
              out.flush();
              TimeUnit.SECONDS.sleep(2);
            }
          } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    server.start();
    return server;
  }

  /** Starts or restarts the process, which resumes the messages stored in its folder. */
  void start() throws IOException {
    final List<String> command = new ArrayList<>();
    if (Files.isExecutable(Path.of("/usr/bin/taskset")) && !config.cores().isEmpty()) {
      command.addAll(List.of("/usr/bin/taskset", "-c", config.cores()));
    }
    command.addAll(
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-XX:+UseSerialGC",
            "-XX:-UsePerfData",
            "-Xshare:auto",
            "-Dio.netty.allocator.type=unpooled",
            "-XX:TieredStopAtLevel=" + TIERS,
            "-Xms" + config.heapMb() + "m",
            "-Xmx" + config.heapMb() + "m"));
    command.addAll(config.javaOptions());
    command.addAll(
        List.of(
            "-cp",
            System.getProperty("java.class.path"),
            ScaleCourier.class.getName(),
            Integer.toString(config.shards()),
            Long.toString(config.idleUs()),
            Double.toString(config.clientShare())));
    final ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().put("PROXY_CONFIG", folder.resolve("config.json").toString());
    builder.environment().put("PROXY_STATE", folder.resolve("state").toString());
    process = builder.start();
    final CompletableFuture<InetSocketAddress> ready = new CompletableFuture<>();
    final Process child = process;
    final List<String> log = new ArrayList<>();
    threads.execute(
        () -> {
          try (BufferedReader lines =
              new BufferedReader(
                  new InputStreamReader(child.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
              log.add(line);
              final Matcher matcher = READY.matcher(line);
              if (matcher.find()) {
                ready.complete(
                    new InetSocketAddress(matcher.group(1), Integer.parseInt(matcher.group(2))));
              } else if (!line.contains("journal:") && !line.contains("resumed")) {
                System.err.println("courier: " + line);
              }
            }
          } catch (final IOException e) {
            log.add(e.toString());
          }
          ready.completeExceptionally(new IOException("the courier process ended: " + log));
        });
    address = ready.orTimeout(START_S, TimeUnit.SECONDS).join();
  }

  InetSocketAddress address() {
    return address;
  }

  /** User and system CPU time used so far, in s. */
  double[] cpuS() throws IOException {
    final String[] fields =
        Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat"))
            .replaceFirst("^.*\\) ", "")
            .split(" ");
    return new double[] {
      Long.parseLong(fields[11]) / TICKS_PER_S, Long.parseLong(fields[12]) / TICKS_PER_S
    };
  }

  /** A field of /proc/PID/status, in kB; 0 if it is absent. */
  long statusKb(final String name) throws IOException {
    return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
        .filter(line -> line.startsWith(name + ":"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
        .findFirst()
        .orElse(0);
  }

  /** Heap in use after a full garbage collection, in bytes; 0 if the JDK has no {@code jcmd}. */
  long heapBytes() throws IOException, InterruptedException {
    final Path jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd");
    if (!Files.isExecutable(jcmd)) {
      return 0;
    }
    final String pid = Long.toString(process.pid());
    new ProcessBuilder(jcmd.toString(), pid, "GC.run")
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
        .start()
        .waitFor();
    final Process heapInfo = new ProcessBuilder(jcmd.toString(), pid, "GC.heap_info").start();
    final String output =
        new String(heapInfo.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    final Matcher matcher =
        Pattern.compile("(?:generation|heap)\\s+total \\d+K, used (\\d+)K").matcher(output);
    long kb = 0;
    while (matcher.find()) {
      kb += Long.parseLong(matcher.group(1));
    }
    return kb * 1024;
  }

  /** Kills the process and waits for its end. */
  void kill() {
    process.destroyForcibly();
    process.onExit().join();
  }

  @Override
  public void close() throws IOException {
    kill();
    threads.shutdownNow();
    platform.stop(0);
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    }
  }
}
