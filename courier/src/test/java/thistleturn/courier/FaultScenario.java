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
 * One courier as a process of its own whose system calls fail by rules, among six endpoints of
 * three destinations that are well.
 */
final class FaultScenario implements AutoCloseable {
  static final long TIMEOUT_MS = 3000;
  private static final int ENDPOINTS = 6;
  private static final int DESTINATIONS = 3;
  private static final long SERVICE_MS = 25;
  private static final double CALLS_PER_SECOND = 2000;
  private static final long KILLED_AFTER_US = 3_700_000;
  private static final double WARM_UP_RATE = 60;
  private static final int WARM_UP_MESSAGES = 60;
  private static final Pattern ID = Pattern.compile("m[0-9a-f]+-[0-9]+");
  private static final Pattern OF_A_MESSAGE =
      Pattern.compile(" id=|event=(connect_failed|socket_failed|accept_failed)");
  private static final int MOST_NAMED = 3;
  private static final int MOST_LINES = 60;
  private static final String MAIN = "thistleturn.courier.Main";

  final StandInWorld world;
  final List<StandInEndpoint> endpoints = new ArrayList<>();
  private final Path state;
  private final Map<String, String> addresses = new HashMap<>();
  private final Set<String> late = new HashSet<>();
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

  /** No fault yet, for a courier of this scenario. */
  FaultShim faults() {
    return FaultShim.forFolder(state);
  }

  /** Couriers that are started from now on listen there. */
  void setListenPort(final int port) {
    addresses.put("PROXY_LISTEN", "127.0.0.1:" + port);
  }

  /** Couriers that are started from now on hear operators there. */
  void setOperatorPort(final int port) {
    addresses.put("PROXY_OPERATOR", "127.0.0.1:" + port);
  }

  /** Starts a courier under these faults, and waits until it serves. */
  void start(final FaultShim faults) throws IOException {
    final Map<String, String> environment =
        new HashMap<>(world.environment(CourierFiles.Size.usual()));
    environment.putAll(addresses);
    // So small a disk that the journal is replaced every few seconds.
    final Path config = Path.of(environment.get("PROXY_CONFIG"));
    Files.writeString(config, Files.readString(config).replace("\"disk_mb\":64", "\"disk_mb\":1"));
    courier = ChildProcess.java(faults.environment(environment), "", MAIN);
    processes.add(courier);
    final String ready = courier.await(line -> line.contains("is ready at "));
    world.client.setCourierAddress(ready.substring(ready.lastIndexOf(' ') + 1));
  }

  /**
   * Starts a newer courier beside the one that serves, and ends the older one in order once the
   * newer one serves.
   */
  void takeOver(final FaultShim faults) throws IOException {
    final ChildProcess older = courier;
    start(faults);
    end(older);
  }

  /** Ends the courier in order, as the platform does, and starts another one in its folder. */
  void restartGracefully(final FaultShim faults) throws IOException {
    world.ruleChecker.recordRestart(world.clock.nowUs(), false);
    end(courier);
    world.resetConnections();
    start(faults);
    world.ruleChecker.recordRestart(world.clock.nowUs(), true);
  }

  /** SIGTERM, and SIGKILL 3.7 s later unless the process has ended by then. */
  private void end(final ChildProcess process) {
    process.terminate();
    final long untilUs = world.clock.nowUs() + KILLED_AFTER_US;
    world.await(
        "the end of the process", () -> !process.isAlive() || world.clock.nowUs() >= untilUs);
    process.kill();
  }

  /**
   * Lets a courier that has just begun run its code some times, on however little of a core: what
   * it answers late is not counted.
   */
  void warmUp() {
    final int before = delivered();
    startLoad(WARM_UP_RATE);
    world.await("the first deliveries", () -> delivered() >= before + WARM_UP_MESSAGES);
    world.stopSubmitting();
    world.await("answers to the first messages", () -> world.client.pendingRequests() <= 0);
    late.addAll(world.client.unansweredIds());
  }

  /** Requests that had no answer in their client's time, but for those of a warm-up. */
  List<String> unansweredIds() {
    return world.client.unansweredIds().stream().filter(id -> !late.contains(id)).toList();
  }

  /** Kills the courier and starts another one in its folder. */
  void killAndRestart(final FaultShim faults) throws IOException {
    world.ruleChecker.recordRestart(world.clock.nowUs(), false);
    courier.kill();
    world.resetConnections();
    // What was called up to now is the old process's: it went on until the signal reached it.
    world.ruleChecker.recordRestart(world.clock.nowUs(), false);
    start(faults);
    world.ruleChecker.recordRestart(world.clock.nowUs(), true);
  }

  /** Hands in so many messages a second to all destinations. */
  void startLoad(final double perSecond) {
    world.startLoad(perSecond, TIMEOUT_MS, 1, 2, 3);
  }

  /** Lets so much time pass under load. */
  void runFor(final long ms) {
    world.waitUntil(world.clock.nowUs() + ms * 1000);
  }

  /** Hands in no more; what the rules have to say once every message has its end or is overdue. */
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
   * What the couriers said of the messages that a verdict names, and of themselves, with the counts
   * of ends.
   */
  String diagnostics() {
    final Set<String> named = new TreeSet<>();
    final Matcher ids = ID.matcher(violations.toString());
    while (ids.find() && named.size() < MOST_NAMED) {
      named.add("id=" + ids.group() + " ");
    }
    final StringBuilder text =
        new StringBuilder(
            "ends "
                + world.ruleChecker.outcomeCounts()
                + ", without answer "
                + unansweredIds().size());
    for (final ChildProcess process : processes) {
      text.append("\nprocess ").append(process.pid());
      process.lines().stream()
          .filter(
              line -> !OF_A_MESSAGE.matcher(line).find() || named.stream().anyMatch(line::contains))
          .limit(MOST_LINES)
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
