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
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Runs a courier in its own process, between a fake platform and fake endpoints. */
final class CourierHarness implements AutoCloseable {
  static final long TIMEOUT_S = 20;
  private static final String MESSAGE_CLASSES =
      """
            [{"name":"safe","effect":"pure","target":5000000,"deadline":20000000,"points":1.0},
             {"name":"keyed","effect":"token","group":"all","dedup_window":10000000,"target":5000000,"deadline":20000000},
             {"name":"brief","effect":"token","group":"all","dedup_window":300000,"target":5000000,"deadline":20000000},
             {"name":"once","effect":"side_effect","target":5000000,"deadline":20000000}]""";

  /** The response that a client received. */
  record Response(int status, String head) {}

  /** The outcome reports that the platform received, one line each. */
  final List<String> outcomeReports = new CopyOnWriteArrayList<>();

  final List<FakeHttpServer.Connection> watchConnections = new CopyOnWriteArrayList<>();
  final FakeHttpServer platform;

  /** The platform after its address has changed. */
  final FakeHttpServer relocatedPlatform;

  final FakeHttpServer firstEndpoint =
      new FakeHttpServer((request, connection) -> connection.respond(200, ""));
  final FakeHttpServer secondEndpoint =
      new FakeHttpServer((request, connection) -> connection.respond(200, ""));
  final List<String> logLines = new CopyOnWriteArrayList<>();
  volatile int outcomeResponseStatus = 204;

  /** Called with each log line, on the thread that reads the log. */
  Consumer<String> lineListener = line -> {};

  int maxOpenConnections = 50;

  /** The limit of concurrent calls. */
  int maxCallsInFlight = 12;

  /** How the endpoint list is updated: {@code on_request} or {@code pushed}. */
  String discoveryMode = "on_request";

  int diskMb = 3;
  int socketLimit = 1024;
  String extraSetting = "\"unheard_of\":[{\"x\":1}]";

  /** Options of the process's Java machine, beside its heap. */
  List<String> jvmOptions = List.of();

  /** The main class of the process. */
  String mainClass = "thistleturn.courier.Main";

  /** The endpoints in the configuration. */
  String configuredHosts;

  /** The endpoints in the snapshot that the relocated platform sends. */
  volatile String relocatedHosts = "";

  private final Path workDirectory;

  /** The harness whose platform is used, if this one runs another process of the same courier. */
  private CourierHarness platformOwner;

  private Process process;
  private int port;

  /** Whether the courier opens an operator port. */
  boolean operatorPortEnabled;

  int operatorPort;

  /** The port for clients; 0 for any. */
  int listenPort;

  CourierHarness(final Path workDirectory) throws IOException {
    this.workDirectory = workDirectory;
    this.platform = new FakeHttpServer(this::answerPlatformRequest);
    this.relocatedPlatform = new FakeHttpServer(this::answerPlatformRequest);
    this.configuredHosts = hostEntry("e1", firstEndpoint, "Ready");
  }

  /**
   * Another process of the same courier: same addresses and directory, but another operator port.
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

  /** Sends a change of the endpoint list over the latest watch. */
  void sendEndpointChange(final long seq, final String host) {
    watchConnections
        .get(watchConnections.size() - 1)
        .writeChunk("{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[" + host + "]}\n");
  }

  /** Starts the process and waits until it is ready. */
  CourierHarness start() throws IOException {
    launch();
    awaitReady(logLines.size());
    return this;
  }

  /** Waits until the process, which was launched before, is ready. */
  void awaitReady() {
    awaitReady(0);
  }

  private void awaitReady(final int from) {
    await("ready", () -> readyLine(from) != null);
    final String ready = readyLine(from);
    // With several shards, their number follows the address.
    port = Integer.parseInt(ready.substring(ready.lastIndexOf(':') + 1).split(" ")[0]);
    if (operatorPortEnabled) {
      final String operatorLine =
          logLines.stream()
              .skip(from)
              .filter(line -> line.contains("listens to operators at"))
              .findFirst()
              .orElseThrow();
      operatorPort = Integer.parseInt(operatorLine.substring(operatorLine.lastIndexOf(':') + 1));
    }
  }

  /** Sends a request to the operator port, and returns the complete response. */
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

  /** Starts the process without waiting for it. */
  Process launch() throws IOException {
    return launch(writeConfiguration(discoveryAddress()));
  }

  /** Starts the process with an existing configuration. */
  Process launch(final Path config) throws IOException {
    final List<String> command =
        new ArrayList<>(
            List.of(
                System.getProperty("java.home") + "/bin/java",
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1"));
    command.addAll(jvmOptions);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass));
    final ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("PROXY_CONFIG", config.toString());
    if (operatorPortEnabled) {
      builder.environment().put("PROXY_OPERATOR", "127.0.0.1:0");
    }
    builder.environment().put("PROXY_DISCOVERY", discoveryAddress());
    builder.environment().put("PROXY_STATE", workDirectory.resolve("state").toString());
    process = builder.redirectErrorStream(true).start();
    final BufferedReader out =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    final Thread reader = new Thread(() -> out.lines().peek(lineListener).forEach(logLines::add));
    reader.setDaemon(true);
    reader.start();
    return process;
  }

  private String discoveryAddress() {
    return (platformOwner == null ? this : platformOwner).platform.address();
  }

  /** Replaces the configuration, with the platform at this address. */
  Path writeConfiguration(final String platformAddress) throws IOException {
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
                platformAddress,
                socketLimit,
                diskMb,
                configuredHosts,
                discoveryMode,
                MESSAGE_CLASSES,
                maxCallsInFlight,
                maxOpenConnections,
                extraSetting));
    return config;
  }

  /** Kills the process as a power failure would, and starts the next one in the same directory. */
  void killAndRestart() throws IOException, InterruptedException {
    kill();
    start();
  }

  void kill() throws InterruptedException {
    process.destroyForcibly();
    assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS));
  }

  /** Sends SIGHUP to the process. */
  void sendHangupSignal() throws IOException, InterruptedException {
    sendSignal("-HUP");
  }

  /** Pauses the process with SIGSTOP until {@link #resume}. */
  void pause() throws IOException, InterruptedException {
    sendSignal("-STOP");
  }

  /** Resumes the process with SIGCONT. */
  void resume() throws IOException, InterruptedException {
    sendSignal("-CONT");
  }

  private void sendSignal(final String signal) throws IOException, InterruptedException {
    assertTrue(
        new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor() == 0);
  }

  boolean isRunning() {
    return process.isAlive();
  }

  /** Sends SIGTERM; the caller may wait for the process to end. Its output stays open. */
  Process terminate() {
    process.toHandle().destroy();
    return process;
  }

  static String submitRequest(final String id, final String messageClass) {
    return submitRequest(id, messageClass, "hello");
  }

  static String submitRequest(final String id, final String messageClass, final String body) {
    return "POST /"
        + messageClass
        + " HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: "
        + id
        + "\r\nX-Priority-Class: "
        + messageClass
        + "\r\nX-Timeout-Ms: 20000\r\nIdempotency-Key: key-"
        + id
        + "\r\nX-Consignee: dest=7\r\n"
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  Response submit(final String id, final String messageClass) throws IOException {
    return send(submitRequest(id, messageClass));
  }

  Socket connect() throws IOException {
    final Socket socket = new Socket("127.0.0.1", port);
    socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
    return socket;
  }

  /** Sends a request over a new connection, and reads the response. */
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
    return new Response(status, String.join("\n", lines).toLowerCase(Locale.ROOT));
  }

  /** Waits for a condition; fails if it is not met within {@link #TIMEOUT_S}. */
  void await(final String what, final BooleanSupplier condition) {
    final long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
    while (!condition.getAsBoolean()) {
      assertTrue(
          System.nanoTime() < untilNs, "timed out waiting for: " + what + "; log: " + logLines);
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
    }
  }

  boolean hasOutcomeReport(final String id, final String status) {
    return (platformOwner == null ? this : platformOwner)
        .outcomeReports.stream()
            .anyMatch(line -> line.contains('"' + id + '"') && line.contains(status));
  }

  /** Returns the ids of all messages whose outcome was reported to the platform. */
  Set<String> reportedIds() {
    final Set<String> ids = new HashSet<>();
    outcomeReports.forEach(line -> ids.add(line.replaceAll(".*\"id\":\"([^\"]*)\".*", "$1")));
    return ids;
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
