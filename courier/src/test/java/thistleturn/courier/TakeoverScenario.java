package thistleturn.courier;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.FreePorts;
import thistleturn.testkit.StandInClient.Unanswered;
import thistleturn.testkit.StandInWorld;
import thistleturn.testkit.Violation;
import thistleturn.testkit.rig.ChildProcess;

/**
 * A courier at one address whose processes take over from one another, with a simulated platform,
 * clients and endpoints. Records when each process was ended, and checks the delivery rules.
 */
final class TakeoverScenario implements AutoCloseable {
  private static final String MAIN = "thistleturn.courier.Main";
  private static final String HANDED_OVER = "handed over with ";
  private static final String READY = " is ready at ";
  private static final byte[] UP_REQUEST =
      "GET /up HTTP/1.1\r\nHost: backend.local\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final int BUSY_THREADS = 8;
  private static final long US_PER_MS = 1000;

  /** The time in which clients notice that their connections to a killed process have closed. */
  private static final long CLOSE_NOTICED_US = 200 * US_PER_MS;

  final StandInWorld world;
  private final Map<String, String> environment;
  private final List<ChildProcess> processes = new ArrayList<>();
  private final List<Socket> idleClients = new ArrayList<>();
  private final List<KillInterval> kills = new ArrayList<>();
  private final List<String> timeline = new ArrayList<>();
  private ChildProcess busyCore;
  private String busyCoreNumber = "";

  /** From the signal that kills a process until clients have noticed that it has exited. */
  private record KillInterval(long fromUs, long toUs) {
    private boolean contains(final long atUs) {
      return fromUs <= atUs && atUs <= toUs;
    }
  }

  /** Creates the scenario without a process; all endpoints must be listed before. */
  TakeoverScenario(final StandInWorld world, final CourierFiles.Size size) throws IOException {
    this.world = world;
    this.environment = new HashMap<>(world.environment(size));
    environment.put("PROXY_LISTEN", "127.0.0.1:" + FreePorts.next());
    environment.put("PROXY_OPERATOR", "127.0.0.1:0");
  }

  /** Returns the address at which each process accepts clients. */
  String address() {
    return environment.get("PROXY_LISTEN");
  }

  /** Starts a process without waiting for it. */
  ChildProcess launch() throws IOException {
    final ChildProcess process = ChildProcess.java(environment, "", MAIN);
    processes.add(process);
    recordEvent("process " + process.pid() + " started");
    return process;
  }

  /** Waits until a process accepts clients. */
  void awaitReady(final ChildProcess process) {
    process.await(line -> line.contains(READY));
    world.ruleChecker.recordRestart(world.clock.nowUs(), true);
    recordEvent("process " + process.pid() + " is ready");
  }

  /** Waits until a process that is about to take over has begun its warm-up. */
  void awaitWarmUp(final ChildProcess newer) {
    newer.await(line -> line.contains("takes over from the process that serves"));
  }

  /** Returns how often a process has handed over, for {@link #awaitHandover}. */
  static long handovers(final ChildProcess process) {
    return count(process, HANDED_OVER);
  }

  private static long count(final ChildProcess process, final String text) {
    return process.lines().stream().filter(line -> line.contains(text)).count();
  }

  /** Waits until a process has handed over more often than before. */
  void awaitHandover(final ChildProcess older, final long before) {
    world.await("the handover", () -> handovers(older) > before);
    recordEvent("process " + older.pid() + " has handed over");
  }

  /** Waits until the older process serves again, after the end of the newer one. */
  void awaitResumed(final ChildProcess older, final long before) {
    world.await(
        "the older process to serve again", () -> count(older, "this one takes up again") > before);
    world.ruleChecker.recordRestart(world.clock.nowUs(), true);
    recordEvent("process " + older.pid() + " serves again");
  }

  /** Returns how often a process has resumed serving, for {@link #awaitResumed}. */
  static long resumptions(final ChildProcess process) {
    return count(process, "this one takes up again");
  }

  /** Keeps a core busy from now on, so that processes get little of it while they are killed. */
  void keepCoreBusy() throws IOException {
    busyCoreNumber = Integer.toString(Runtime.getRuntime().availableProcessors() - 1);
    busyCore =
        ChildProcess.java(
            Map.of(), busyCoreNumber, BusyCore.class.getName(), Integer.toString(BUSY_THREADS));
    busyCore.await(line -> line.contains(BusyCore.STARTED));
  }

  /** Requests a graceful shutdown of a process. */
  void terminate(final ChildProcess process) {
    recordEvent("SIGTERM to process " + process.pid());
    world.ruleChecker.recordRestart(world.clock.nowUs(), false);
    process.terminate();
  }

  /**
   * Kills a process after a delay, on the busy core if there is one, and waits until it has exited.
   */
  void kill(final ChildProcess process, final long afterMs) throws IOException {
    final long atUs = world.clock.nowUs() + afterMs * US_PER_MS;
    if (busyCore != null) {
      process.runOn(busyCoreNumber);
    }
    world.waitUntil(atUs);
    final long fromUs = world.clock.nowUs();
    world.ruleChecker.recordRestart(fromUs, false);
    process.kill();
    final long goneUs = world.clock.nowUs();
    kills.add(new KillInterval(fromUs, goneUs + CLOSE_NOTICED_US));
    recordEvent("process " + process.pid() + " killed in " + (goneUs - fromUs) + " us");
  }

  /** Connects clients that send one liveness request and stay connected. */
  void connectIdleClients(final int size) throws IOException {
    final int port = Integer.parseInt(address().substring(address().lastIndexOf(':') + 1));
    for (int number = 0; number < size; number++) {
      final Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
      client.setSoLinger(true, 0);
      idleClients.add(client);
      client.getOutputStream().write(UP_REQUEST);
    }
    recordEvent("idle clients connected: " + size);
  }

  /** Disconnects the idle clients. */
  void disconnectIdleClients() throws IOException {
    for (final Socket client : idleClients) {
      client.close();
    }
    idleClients.clear();
  }

  /** Waits while the load goes on. */
  void waitUnderLoad(final long ms) {
    world.waitUntil(world.clock.nowUs() + ms * US_PER_MS);
  }

  /** Returns the violations of the delivery rules once the last message has expired. */
  List<Violation> violations(final long timeoutMs) {
    return world.stopLoadAndCheck(timeoutMs);
  }

  /**
   * Returns the unanswered requests to processes that were running: those whose connection stayed
   * open for the client's whole timeout, and those that a process has logged and whose connection
   * ended at another time than a process. Requests that were under way when an idle connection was
   * closed were never read, so no process has logged them.
   */
  List<String> unansweredByRunningProcess() {
    final String log =
        processes.stream()
            .flatMap(process -> process.lines().stream())
            .collect(Collectors.joining(" \n", "", " "));
    return world.client.unansweredRequests().stream()
        .filter(
            request ->
                request.timedOut()
                    || (!endedWithKill(request) && log.contains(" id=" + request.id() + " ")))
        .map(request -> request + " (" + describeTime(request.writtenUs()) + ")")
        .toList();
  }

  private boolean endedWithKill(final Unanswered request) {
    return kills.stream().anyMatch(kill -> kill.contains(request.endedUs()));
  }

  private String describeTime(final long us) {
    return kills.stream()
        .min((one, other) -> Long.compare(Math.abs(one.fromUs - us), Math.abs(other.fromUs - us)))
        .map(kill -> (us - kill.fromUs) / US_PER_MS + " ms after the nearest kill")
        .orElse("no kill");
  }

  private void recordEvent(final String what) {
    timeline.add(world.clock.nowUs() + " us: " + what);
  }

  /** Returns the recorded events, and the log lines that do not concern a single message. */
  String timeline() {
    return processes.stream()
        .flatMap(process -> process.lines().stream())
        .filter(line -> !line.contains(" id="))
        .limit(60)
        .collect(Collectors.joining("\n", "\n" + String.join("\n", timeline) + "\n", ""));
  }

  @Override
  public void close() throws IOException {
    processes.forEach(ChildProcess::close);
    if (busyCore != null) {
      busyCore.close();
    }
    disconnectIdleClients();
  }
}
