package thistleturn.courier;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.StandInClient.Unanswered;
import thistleturn.testkit.StandInWorld;
import thistleturn.testkit.Violation;
import thistleturn.testkit.rig.ChildProcess;

/**
 * One courier at one address whose processes take over from one another, between stand-ins. It
 * notes which process was ended when, and judges what clients and endpoints saw.
 */
final class TakeoverScenario implements AutoCloseable {
  private static final String MAIN = "thistleturn.courier.Main";
  private static final String HANDED_OVER = "handed over with ";
  private static final String READY = " is ready at ";
  private static final byte[] UP_REQUEST =
      "GET /up HTTP/1.1\r\nHost: backend.local\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final int BUSY_THREADS = 8;
  private static final long US_PER_MS = 1000;

  /** Within so long after a process is gone its clients have read that their connections ended. */
  private static final long ENDS_READ_US = 200 * US_PER_MS;

  final StandInWorld world;
  private final Map<String, String> environment;
  private final List<ChildProcess> processes = new ArrayList<>();
  private final List<Socket> crowd = new ArrayList<>();
  private final List<Span> kills = new ArrayList<>();
  private final List<String> story = new ArrayList<>();
  private ChildProcess busyCore;
  private String busyCoreNumber = "";

  /** From the signal that ends a process until its connections' ends have been read. */
  private record Span(long fromUs, long toUs) {
    private boolean contains(final long atUs) {
      return fromUs <= atUs && atUs <= toUs;
    }
  }

  /** Starts the world and no process; all endpoints are to be listed by then. */
  TakeoverScenario(final StandInWorld world, final CourierFiles.Size size) throws IOException {
    this.world = world;
    this.environment = new HashMap<>(world.environment(size));
    environment.put("PROXY_LISTEN", "127.0.0.1:" + freePort());
    environment.put("PROXY_OPERATOR", "127.0.0.1:0");
  }

  private static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return free.getLocalPort();
    }
  }

  /** The address of clients, at which each process listens. */
  String address() {
    return environment.get("PROXY_LISTEN");
  }

  /** Starts a process, and does not wait for it. */
  ChildProcess launch() throws IOException {
    final ChildProcess process = ChildProcess.java(environment, "", MAIN);
    processes.add(process);
    note("process " + process.pid() + " started");
    return process;
  }

  /** Waits until a process accepts clients. */
  void awaitReady(final ChildProcess process) {
    process.await(line -> line.contains(READY));
    world.ruleChecker.recordRestart(world.clock.nowUs(), true);
    note("process " + process.pid() + " is ready");
  }

  /** Waits until a process that is about to take over has begun its warm-up. */
  void awaitWarmUp(final ChildProcess newer) {
    newer.await(line -> line.contains("takes over from the process that serves"));
  }

  /** Counts how often a process has handed over, to be given to {@link #awaitHandover}. */
  static long handovers(final ChildProcess process) {
    return count(process, HANDED_OVER);
  }

  private static long count(final ChildProcess process, final String text) {
    return process.lines().stream().filter(line -> line.contains(text)).count();
  }

  /** Waits until a process that had handed over so many times has done so once more. */
  void awaitHandover(final ChildProcess older, final long before) {
    world.await("the handover", () -> handovers(older) > before);
    note("process " + older.pid() + " has handed over");
  }

  /** Waits until the older process serves again, after the end of the newer one. */
  void awaitTakeBack(final ChildProcess older, final long before) {
    world.await(
        "the older process to take up again",
        () -> count(older, "this one takes up again") > before);
    world.ruleChecker.recordRestart(world.clock.nowUs(), true);
    note("process " + older.pid() + " takes up again");
  }

  /** Counts how often a process has taken up again, to be given to {@link #awaitTakeBack}. */
  static long takeBacks(final ChildProcess process) {
    return count(process, "this one takes up again");
  }

  /** Keeps a core busy from now on; a process that is killed then has little of it. */
  void keepCoreBusy() throws IOException {
    busyCoreNumber = Integer.toString(Runtime.getRuntime().availableProcessors() - 1);
    busyCore =
        ChildProcess.java(
            Map.of(), busyCoreNumber, BusyCore.class.getName(), Integer.toString(BUSY_THREADS));
    busyCore.await(line -> line.contains(BusyCore.STARTED));
  }

  /** Asks a process to end in order. */
  void terminate(final ChildProcess process) {
    note("SIGTERM to process " + process.pid());
    world.ruleChecker.recordRestart(world.clock.nowUs(), false);
    process.terminate();
  }

  /**
   * Kills a process after a time, on the busy core if there is one, and returns when it is gone.
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
    kills.add(new Span(fromUs, goneUs + ENDS_READ_US));
    note("process " + process.pid() + " killed in " + (goneUs - fromUs) + " us");
  }

  /** Clients that ask once whether the courier is up, and stay. */
  void connectCrowd(final int size) throws IOException {
    final int port = Integer.parseInt(address().substring(address().lastIndexOf(':') + 1));
    for (int number = 0; number < size; number++) {
      final Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
      client.setSoLinger(true, 0);
      crowd.add(client);
      client.getOutputStream().write(UP_REQUEST);
    }
    note("a crowd of " + size);
  }

  /** The crowd leaves. */
  void disconnectCrowd() throws IOException {
    for (final Socket client : crowd) {
      client.close();
    }
    crowd.clear();
  }

  /** Lets time pass. */
  void pass(final long ms) {
    world.waitUntil(world.clock.nowUs() + ms * US_PER_MS);
  }

  /** What the rules have to say, once the last message's time is up. */
  List<Violation> violations(final long timeoutMs) {
    return world.stopLoadAndCheck(timeoutMs);
  }

  /**
   * Requests of clients at processes that lived: their connection stayed open for as long as they
   * wait, or ended at another moment than a process and was read by then. What crosses the end of a
   * resting connection was never read, and no process knows of it.
   */
  List<String> unansweredByLivingProcess() {
    final String log =
        processes.stream()
            .flatMap(process -> process.lines().stream())
            .collect(Collectors.joining(" \n", "", " "));
    return world.client.unansweredRequests().stream()
        .filter(
            request ->
                request.timedOut()
                    || (!endedWithProcess(request) && log.contains(" id=" + request.id() + " ")))
        .map(request -> request + " (" + moment(request.writtenUs()) + ")")
        .toList();
  }

  private boolean endedWithProcess(final Unanswered request) {
    return kills.stream().anyMatch(kill -> kill.contains(request.endedUs()));
  }

  private String moment(final long us) {
    return kills.stream()
        .min((one, other) -> Long.compare(Math.abs(one.fromUs - us), Math.abs(other.fromUs - us)))
        .map(kill -> (us - kill.fromUs) / US_PER_MS + " ms after the nearest kill")
        .orElse("no kill");
  }

  private void note(final String what) {
    story.add(world.clock.nowUs() + " us: " + what);
  }

  /** What happened when, and what the processes said that is not of one message. */
  String story() {
    return processes.stream()
        .flatMap(process -> process.lines().stream())
        .filter(line -> !line.contains(" id="))
        .limit(60)
        .collect(Collectors.joining("\n", "\n" + String.join("\n", story) + "\n", ""));
  }

  @Override
  public void close() throws IOException {
    processes.forEach(ChildProcess::close);
    if (busyCore != null) {
      busyCore.close();
    }
    disconnectCrowd();
  }
}
