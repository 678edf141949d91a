package thistleturn.courier;

import static java.util.stream.Collectors.toSet;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import thistleturn.testkit.StandInWorld;
import thistleturn.testkit.Violation;
import thistleturn.testkit.rig.ChildProcess;

/**
 * A courier in processes of its own that are restarted one after another, under clients that keep
 * using their connections until the process ends.
 */
final class RestartedCourier implements AutoCloseable {
  private static final String MAIN = "thistleturn.courier.Main";
  private static final int IDLE_CLIENTS = 300;
  private static final long US_PER_MS = 1000;

  /** The shortest time from SIGTERM to SIGKILL that the platform documents. */
  private static final long KILL_AFTER_US = 3_700_000;

  /** The time from SIGKILL to the next start. */
  private static final long START_AFTER_US = 600_000;

  private static final Pattern MESSAGE = Pattern.compile("\\bm[0-9a-f]+-\\d+\\b");
  private static final Pattern ID = Pattern.compile(" id=(\\S+)");

  private final StandInWorld world;
  private final Map<String, String> environment;
  private final Random random;
  private final List<Socket> idleClients = new ArrayList<>();
  private final List<ChildProcess> processes = new ArrayList<>();

  /** All choices come from the random numbers. */
  RestartedCourier(
      final StandInWorld world, final Map<String, String> environment, final Random random) {
    this.world = world;
    this.environment = environment;
    this.random = random;
  }

  /** Starts the next process, and returns once it is ready. */
  void start() throws IOException {
    final boolean restarted = !processes.isEmpty();
    processes.add(ChildProcess.java(environment, "", MAIN));
    world.client.setCourierAddress(current().awaitReadyAddress());
    if (restarted) {
      world.ruleChecker.recordRestart(world.clock.nowUs(), true);
      world.client.openConnections(true);
    }
  }

  private ChildProcess current() {
    return processes.get(processes.size() - 1);
  }

  void waitUnderLoad(final long ms) {
    world.waitUntil(world.clock.nowUs() + ms * US_PER_MS);
  }

  /** Clients that never send anything. */
  private void connectIdleClients() throws IOException {
    final String address = current().awaitReadyAddress();
    final int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    for (int number = 0; number < IDLE_CLIENTS; number++) {
      idleClients.add(new Socket(InetAddress.getLoopbackAddress(), port));
    }
  }

  /** Sends up to three SIGHUPs in a row. */
  private void sendHangupSignals() throws IOException {
    for (int count = random.nextInt(4); count > 0; count--) {
      current().hangUp();
      waitUnderLoad(random.nextInt(30));
    }
  }

  /**
   * Restarts the process once it has worked for a time between the bounds: after up to three
   * SIGHUPs, in some runs with many idle clients.
   *
   * @param killed whether by SIGKILL; else by SIGTERM
   */
  void restart(final boolean killed, final int minMs, final int maxMs) throws IOException {
    if (random.nextInt(3) == 0) {
      connectIdleClients();
    }
    waitUnderLoad(minMs + random.nextInt(maxMs - minMs));
    sendHangupSignals();
    if (killed) {
      kill();
    } else {
      shutDown();
    }
    start();
  }

  /** Ends the load, and checks that no rule was broken. */
  void assertNoRuleBroken(final String played, final long messageTimeoutMs, final boolean killed) {
    final List<Violation> violations = world.stopLoadAndCheck(messageTimeoutMs);
    assertEquals(List.of(), violations, () -> played + logExcerpt(violations));
    assertEquals(List.of(), lines("attempt_after_end"), played);
    if (!killed) {
      assertEquals(Set.of(), readButUnansweredIds(), () -> played + logExcerpt());
    }
  }

  /** Sends SIGTERM, in some runs more signals, and checks that the process exits before SIGKILL. */
  private void shutDown() throws IOException {
    final long terminatedUs = world.clock.nowUs();
    world.ruleChecker.recordRestart(terminatedUs, false);
    current().terminate();
    if (random.nextBoolean()) {
      waitUnderLoad(random.nextInt(100));
      current().terminate();
    }
    sendHangupSignals();
    world.waitUntil(terminatedUs + (200 + random.nextInt(200)) * US_PER_MS);
    world.client.openConnections(false);
    world.waitUntil(terminatedUs + KILL_AFTER_US);
    assertFalse(current().isAlive(), () -> "the process has not exited: " + current().lines());
    recordEnd();
  }

  /** Sends SIGKILL. */
  private void kill() {
    current().kill();
    recordEnd();
  }

  private void recordEnd() {
    world.resetConnections();
    world.ruleChecker.recordRestart(world.clock.nowUs(), false);
    world.waitUntil(world.clock.nowUs() + START_AFTER_US);
  }

  /**
   * Returns the ids of unanswered requests that a courier has logged. Requests that were under way
   * when an idle connection was closed were never read, so no courier has logged them.
   */
  private Set<String> readButUnansweredIds() {
    final Set<String> logged =
        processes.stream()
            .flatMap(courier -> courier.lines().stream())
            .map(ID::matcher)
            .filter(Matcher::find)
            .map(id -> id.group(1))
            .collect(toSet());
    logged.retainAll(world.client.unansweredIds());
    return logged;
  }

  /** Returns the log lines that name a message which a text names, and the other events. */
  String logExcerpt(final Object violations) {
    final Set<String> ids =
        MESSAGE.matcher(violations.toString()).results().map(MatchResult::group).collect(toSet());
    return processes.stream()
            .flatMap(courier -> courier.lines().stream())
            .filter(line -> ids.stream().anyMatch(line::contains))
            .limit(40)
            .collect(Collectors.joining("\n", "\n", "\n"))
        + logExcerpt();
  }

  /** Returns the lines of an event. */
  List<String> lines(final String event) {
    return processes.stream()
        .flatMap(courier -> courier.lines().stream())
        .filter(line -> line.contains("event=" + event + " "))
        .toList();
  }

  String logExcerpt() {
    return processes.stream()
        .flatMap(courier -> courier.lines().stream())
        .filter(line -> line.contains("request_unanswered") || !line.contains(" id="))
        .filter(line -> !line.contains("endpoint_connection_closed"))
        .limit(60)
        .collect(Collectors.joining("\n", "\n", ""));
  }

  @Override
  public void close() throws IOException {
    processes.forEach(ChildProcess::close);
    for (final Socket client : idleClients) {
      client.close();
    }
  }
}
