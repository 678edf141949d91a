package thistleturn.courier;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInEndpoint.Behavior;
import thistleturn.testkit.StandInWorld;
import thistleturn.testkit.Violation;
import thistleturn.testkit.rig.ChildProcess;
import thistleturn.testkit.rig.FaultShim;

/**
 * A courier in its own process whose system calls fail according to rules, with six healthy
 * endpoints of three destinations.
 */
final class FaultScenario implements AutoCloseable {
  static final long TIMEOUT_MS = 3000;
  private static final int ENDPOINTS = 6;
  private static final int DESTINATIONS = 3;
  private static final long SERVICE_MS = 25;
  private static final double CALLS_PER_SECOND = 2000;
  private static final long SHUTDOWN_LIMIT_US = 3_700_000;
  private static final double WARM_UP_RATE = 60;
  private static final int WARM_UP_MESSAGES = 60;
  private static final Pattern ID = Pattern.compile("m[0-9a-f]+-[0-9]+");
  private static final Pattern MESSAGE_EVENT =
      Pattern.compile(" id=|event=(connect_failed|socket_failed|accept_failed)");
  private static final int MAX_MESSAGES_SHOWN = 3;
  private static final int MAX_LINES_PER_PROCESS = 60;
  private static final String MAIN = "thistleturn.courier.Main";

  final StandInWorld world;
  final List<StandInEndpoint> endpoints = new ArrayList<>();
  private final Path state;
  private final Map<String, String> addresses = new HashMap<>();
  private final Set<String> unansweredInWarmUp = new HashSet<>();
  private final List<ChildProcess> processes = new ArrayList<>();
  private ChildProcess courier;
  private List<Violation> violations = List.of();

  FaultScenario(final Path folder, final long seed) {
    world = new StandInWorld(folder, seed);
    state = folder.resolve("state");
    for (int index = 0; index < ENDPOINTS; index++) {
      final StandInEndpoint endpoint = world.endpoint(1 + index % DESTINATIONS);
      endpoint.setBehavior(Behavior.deliverAfter(SERVICE_MS));
      world.platform.announce(endpoint, "Ready", CALLS_PER_SECOND);
      endpoints.add(endpoint);
    }
  }

  /** Returns a shim without faults for a courier of this scenario. */
  FaultShim faults() {
    return FaultShim.forFolder(state);
  }

  /** Sets the client port of couriers that are started from now on. */
  void setListenPort(final int port) {
    addresses.put("PROXY_LISTEN", "127.0.0.1:" + port);
  }

  /** Sets the operator port of couriers that are started from now on. */
  void setOperatorPort(final int port) {
    addresses.put("PROXY_OPERATOR", "127.0.0.1:" + port);
  }

  /** Starts a courier with these faults, and waits until it serves. */
  void start(final FaultShim faults) throws IOException {
    final Map<String, String> environment =
        new HashMap<>(world.environment(CourierFiles.Size.usual()));
    environment.putAll(addresses);
    // The disk limit is so small that the journal is replaced every few seconds.
    final Path config = Path.of(environment.get("PROXY_CONFIG"));
    Files.writeString(config, Files.readString(config).replace("\"disk_mb\":64", "\"disk_mb\":1"));
    courier = ChildProcess.java(faults.environment(environment), "", MAIN);
    processes.add(courier);
    world.client.setCourierAddress(courier.awaitReadyAddress());
  }

  /**
   * Starts a newer courier beside the serving one, and shuts the older one down gracefully once the
   * newer one serves.
   */
  void takeOver(final FaultShim faults) throws IOException {
    final ChildProcess older = courier;
    start(faults);
    shutDown(older);
  }

  /** Shuts the courier down as the platform does, and starts another one in its folder. */
  void restartGracefully(final FaultShim faults) throws IOException {
    world.ruleChecker.recordRestart(world.clock.nowUs(), false);
    shutDown(courier);
    world.resetConnections();
    start(faults);
    world.ruleChecker.recordRestart(world.clock.nowUs(), true);
  }

  /** Sends SIGTERM, and SIGKILL 3.7 s later unless the process has ended by then. */
  private void shutDown(final ChildProcess process) {
    process.terminate();
    final long untilUs = world.clock.nowUs() + SHUTDOWN_LIMIT_US;
    world.await(
        "the end of the process", () -> !process.isAlive() || world.clock.nowUs() >= untilUs);
    process.kill();
  }

  /**
   * Lets a newly started courier deliver a few messages, however little processor time it gets.
   * Requests that it does not answer in time are not counted.
   */
  void warmUp() {
    final int before = delivered();
    startLoad(WARM_UP_RATE);
    world.await("the first deliveries", () -> delivered() >= before + WARM_UP_MESSAGES);
    world.stopSubmitting();
    world.await("answers to the warm-up messages", () -> world.client.pendingRequests() <= 0);
    unansweredInWarmUp.addAll(world.client.unansweredIds());
  }

  /** Returns the requests that timed out without an answer, except those of the warm-up. */
  List<String> unansweredIds() {
    return world.client.unansweredIds().stream()
        .filter(id -> !unansweredInWarmUp.contains(id))
        .toList();
  }

  /** Kills the courier and starts another one in its folder. */
  void killAndRestart(final FaultShim faults) throws IOException {
    world.ruleChecker.recordRestart(world.clock.nowUs(), false);
    courier.kill();
    world.resetConnections();
    // Calls up to now were made by the old process, which ran until the signal reached it.
    world.ruleChecker.recordRestart(world.clock.nowUs(), false);
    start(faults);
    world.ruleChecker.recordRestart(world.clock.nowUs(), true);
  }

  /** Starts to submit this many messages per second, spread over all destinations. */
  void startLoad(final double perSecond) {
    world.startLoad(perSecond, TIMEOUT_MS, 1, 2, 3);
  }

  /** Waits this long while the load continues. */
  void runFor(final long ms) {
    world.waitUntil(world.clock.nowUs() + ms * 1000);
  }

  /**
   * Stops the load, waits until every message has its final outcome or is overdue, and returns the
   * violations of the rules.
   */
  List<Violation> stopAndCheck() {
    violations = world.stopLoadAndCheck(TIMEOUT_MS);
    return violations;
  }

  int delivered() {
    return world.ruleChecker.outcomeCounts().getOrDefault("delivered", 0);
  }

  int ended() {
    return world.ruleChecker.outcomeCounts().values().stream().mapToInt(Integer::intValue).sum();
  }

  ChildProcess courier() {
    return courier;
  }

  /**
   * Returns the counts of outcomes, and the couriers' log lines about themselves and about the
   * messages that the violations name.
   */
  String diagnostics() {
    final Set<String> shownIds = new TreeSet<>();
    final Matcher ids = ID.matcher(violations.toString());
    while (ids.find() && shownIds.size() < MAX_MESSAGES_SHOWN) {
      shownIds.add("id=" + ids.group() + " ");
    }
    final StringBuilder text =
        new StringBuilder(
            "outcomes "
                + world.ruleChecker.outcomeCounts()
                + ", without answer "
                + unansweredIds().size());
    for (final ChildProcess process : processes) {
      text.append("\nprocess ").append(process.pid());
      process.lines().stream()
          .filter(
              line ->
                  !MESSAGE_EVENT.matcher(line).find() || shownIds.stream().anyMatch(line::contains))
          .limit(MAX_LINES_PER_PROCESS)
          .forEach(line -> text.append('\n').append(line));
    }
    return text.toString();
  }

  @Override
  public void close() {
    processes.forEach(ChildProcess::close);
    world.close();
  }
}
