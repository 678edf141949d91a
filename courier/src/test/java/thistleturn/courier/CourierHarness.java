package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** A real courier as a process of its own, between fakes of the platform and of its endpoints. */
final class CourierHarness implements AutoCloseable {
  static final long TIMEOUT_S = 20;
  private static final String MESSAGE_CLASSES =
      """
            [{"name":"safe","effect":"pure","target":5000000,"deadline":20000000,"points":1.0},
             {"name":"keyed","effect":"token","group":"all","dedup_window":10000000,"target":5000000,"deadline":20000000},
             {"name":"brief","effect":"token","group":"all","dedup_window":300000,"target":5000000,"deadline":20000000},
             {"name":"once","effect":"side_effect","target":5000000,"deadline":20000000}]""";

  /** What a client was answered. */
  record Response(int status, String head) {}

  /** The platform's notices, a line each. */
  final List<String> outcomeReports = new CopyOnWriteArrayList<>();

  final List<FakeHttpServer.Connection> watchConnections = new CopyOnWriteArrayList<>();
  final FakeHttpServer platform;

  /** Where the platform is after a move. */
  final FakeHttpServer relocatedPlatform;

  final FakeHttpServer firstEndpoint =
      new FakeHttpServer((request, connection) -> connection.respond(200, ""));
  final FakeHttpServer secondEndpoint =
      new FakeHttpServer((request, connection) -> connection.respond(200, ""));
  final List<String> logLines = new CopyOnWriteArrayList<>();
  volatile int outcomeResponseStatus = 204;
  int maxOpenConnections = 50;

  /** Calls that may be out at once. */
  int maxCallsInFlight = 12;

  /** How the list comes, by the settings: {@code on_request} or {@code pushed}. */
  String discoveryMode = "on_request";

  int diskMb = 3;
  int socketLimit = 1024;
  String extraSetting = "\"unheard_of\":[{\"x\":1}]";

  /** Endpoints that the courier knows at its start. */
  String configuredHosts;

  /** The whole list, where it is asked for. */
  volatile String relocatedHosts = "";

  private final Path workDirectory;

  /** The rig whose platform counts, where this is a further process of its courier. */
  private CourierHarness platformOwner;

  private Process process;
  private int port;

  /** Whether operators have an address, and its port. */
  boolean operatorPortEnabled;

  int operatorPort;

  /** Where clients connect; 0: wherever the system says. */
  int listenPort;

  CourierHarness(final Path folder) throws IOException {
    this.workDirectory = folder;
    this.platform = new FakeHttpServer(this::answerPlatformRequest);
    this.relocatedPlatform = new FakeHttpServer(this::answerPlatformRequest);
    this.configuredHosts = hostEntry("e1", firstEndpoint, "Ready");
  }

  /**
   * A further process of the same courier: same addresses and folder, but another one for
   * operators.
   */
  CourierHarness successor() throws IOException {
    final CourierHarness next = new CourierHarness(workDirectory);
    next.platformOwner = platformOwner == null ? this : platformOwner;
    next.configuredHosts = configuredHosts;
    next.operatorPortEnabled = operatorPortEnabled;
    next.listenPort = listenPort;
    return next;
  }

  private void answerPlatformRequest(
      final FakeHttpServer.Request request, final FakeHttpServer.Connection connection) {
    if (request.requestLine().startsWith("POST")) {
      outcomeReports.addAll(request.text().lines().toList());
      connection.respond(outcomeResponseStatus, "");
    } else if (!request.requestLine().contains("watch=1")) {
      connection.respond(200, "{\"seq\":3,\"whole\":true,\"hosts\":[" + relocatedHosts + "]}\n");
    } else {
      connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      connection.writeChunk("\n");
      watchConnections.add(connection);
    }
  }

  static String hostEntry(final String name, final FakeHttpServer at, final String health) {
    return hostEntry(name, at.address(), health);
  }

  static String hostEntry(final String name, final String address, final String health) {
    return "{\"host\":\""
        + name
        + "\",\"dial\":\""
        + address
        + "\",\"site\":\"a\",\"class\":\"std\",\"block\":7,"
        + "\"health\":\""
        + health
        + "\",\"share\":100.0,\"born_ms\":0}";
  }

  /** Tells a change of the list over the newest watch. */
  void sendEndpointChange(final long seq, final String host) {
    watchConnections
        .get(watchConnections.size() - 1)
        .writeChunk("{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[" + host + "]}\n");
  }

  /** Starts the program and waits until it is ready. */
  CourierHarness start() throws IOException {
    launch();
    final List<String> before = List.copyOf(logLines);
    await("ready", () -> readyLine(before.size()) != null);
    final String ready = readyLine(before.size());
    port = Integer.parseInt(ready.substring(ready.lastIndexOf(':') + 1));
    if (operatorPortEnabled) {
      final String hears =
          logLines.stream()
              .skip(before.size())
              .filter(line -> line.contains("hears operators at"))
              .findFirst()
              .orElseThrow();
      operatorPort = Integer.parseInt(hears.substring(hears.lastIndexOf(':') + 1));
    }
    return this;
  }

  /** One call of an operator, and all that is answered. */
  String sendOperatorRequest(final String method, final String path) {
    try (Socket socket = new Socket("127.0.0.1", operatorPort)) {
      socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
      socket
          .getOutputStream()
          .write(
              (method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    } catch (final IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private String readyLine(final int from) {
    return logLines.stream()
        .skip(from)
        .filter(line -> line.contains("is ready at"))
        .findFirst()
        .orElse(null);
  }

  /** Starts the program without waiting for anything. */
  Process launch() throws IOException {
    return launch(writeConfiguration(discoveryAddress()));
  }

  /** The same, with a configuration that stands ready. */
  Process launch(final Path config) throws IOException {
    final ProcessBuilder builder =
        new ProcessBuilder(
            System.getProperty("java.home") + "/bin/java",
            "-Xmx64m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            System.getProperty("java.class.path"),
            "thistleturn.courier.Main");
    builder.environment().put("PROXY_CONFIG", config.toString());
    if (operatorPortEnabled) {
      builder.environment().put("PROXY_OPERATOR", "127.0.0.1:0");
    }
    builder.environment().put("PROXY_DISCOVERY", discoveryAddress());
    builder.environment().put("PROXY_STATE", workDirectory.resolve("state").toString());
    process = builder.redirectErrorStream(true).start();
    final BufferedReader out =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    final Thread reader = new Thread(() -> out.lines().forEach(logLines::add));
    reader.setDaemon(true);
    reader.start();
    return process;
  }

  private String discoveryAddress() {
    return (platformOwner == null ? this : platformOwner).platform.address();
  }

  /**
   * Writes the configuration in full, with the platform at that address, in the place of the one
   * before.
   */
  Path writeConfiguration(final String discovery) throws IOException {
    final Path config = workDirectory.resolve("config.json");
    Files.writeString(
        config,
        """
                {"name":"n0","listen":"127.0.0.1:%d","discovery":"%s","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":%d,"disk_mb":%d},
                 "known":{"seq":41,"whole":true,"hosts":[%s]},
                 "settings":{"balancers":1,"my_zone":"a","discovery":"%s","weights":"nominal",
                  "classes":%s,"flavors":["std"],"extra":{"calls_out":%d,"per_call":[5],"routes_apart":[false]},
                  "guarantees":{"must_ask_in":10000000,"cold_from":0.5,"cold":1000000,"tip_multiple":2.0},
                  "limits":{"max_open":%d,"most_tries":8,"cancel":true,"idle_close":10000000,"retry_after":true,
                   "connect_timeout":1000000,"max_retry_after":2000000},%s}}"""
            .formatted(
                listenPort,
                discovery,
                socketLimit,
                diskMb,
                configuredHosts,
                this.discoveryMode,
                MESSAGE_CLASSES,
                maxCallsInFlight,
                maxOpenConnections,
                extraSetting));
    return config;
  }

  /** Ends the process as a power cut would, and starts the next one on the same folder. */
  void killAndRestart() throws IOException, InterruptedException {
    kill();
    start();
  }

  void kill() throws InterruptedException {
    process.destroyForcibly();
    assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS));
  }

  /** Sends SIGHUP to the program. */
  void sendHangupSignal() throws IOException, InterruptedException {
    assertTrue(
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor() == 0);
  }

  boolean isRunning() {
    return process.isAlive();
  }

  /** Sends SIGTERM; the result tells when it has ended. */
  Process terminate() {
    process.destroy();
    return process;
  }

  static String submitRequest(final String id, final String kind) {
    return submitRequest(id, kind, "hello");
  }

  static String submitRequest(final String id, final String kind, final String body) {
    return "POST /"
        + kind
        + " HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: "
        + id
        + "\r\nX-Priority-Class: "
        + kind
        + "\r\nX-Timeout-Ms: 20000\r\nIdempotency-Key: key-"
        + id
        + "\r\nX-Consignee: dest=7\r\n"
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  Response submit(final String id, final String kind) throws IOException {
    return send(submitRequest(id, kind));
  }

  Socket connect() throws IOException {
    final Socket socket = new Socket("127.0.0.1", port);
    socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
    return socket;
  }

  /** Sends some bytes on a connection of their own, and reads the answer. */
  Response send(final String raw) throws IOException {
    try (Socket socket = connect()) {
      return send(socket, raw);
    }
  }

  static Response send(final Socket socket, final String raw) throws IOException {
    socket.getOutputStream().write(raw.getBytes(StandardCharsets.ISO_8859_1));
    return readResponse(socket.getInputStream());
  }

  static Response readResponse(final InputStream in) throws IOException {
    final List<String> lines = new ArrayList<>();
    for (String line = FakeHttpServer.readLine(in);
        !line.isEmpty();
        line = FakeHttpServer.readLine(in)) {
      lines.add(line);
    }
    final int status = lines.isEmpty() ? 0 : Integer.parseInt(lines.get(0).split(" ")[1]);
    return new Response(status, String.join("\n", lines).toLowerCase(java.util.Locale.ROOT));
  }

  /** Waits for something that must come, under a bound that only a failure reaches. */
  void await(final String what, final BooleanSupplier condition) {
    final long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < untilNs, "never came: " + what + "; log: " + logLines);
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
    }
  }

  boolean hasOutcomeReport(final String id, final String status) {
    return (platformOwner == null ? this : platformOwner)
        .outcomeReports.stream()
            .anyMatch(line -> line.contains('"' + id + '"') && line.contains(status));
  }

  @Override
  public void close() throws IOException {
    if (process != null) {
      process.destroyForcibly();
    }
    platform.close();
    relocatedPlatform.close();
    firstEndpoint.close();
    secondEndpoint.close();
  }
}
