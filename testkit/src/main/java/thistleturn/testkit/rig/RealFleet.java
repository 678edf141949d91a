package thistleturn.testkit.rig;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import thistleturn.testkit.CourierFiles;

/**
 * Couriers as real processes, each pair connected by a relay in each direction, under a schedule of
 * faults. It polls what each reports at its admin address and passes it to the checker. Processes
 * are ended by the pids that it started.
 */
public final class RealFleet implements AutoCloseable {
  private static final long POLL_MS = 40;
  private static final long AGREEMENT_TIMEOUT_MS = 120_000;
  private static final long STARVED_PERIOD_MS = 200;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(15);
  private static final String KEY = "a fleet under test";
  private static final int FIRST_PORT = 20_000;
  private static final int LAST_PORT = 32_000;

  /** Fleets of one Java machine take ports in turn; two Java machines start at different ports. */
  private static final AtomicInteger NEXT_PORT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % (LAST_PORT - FIRST_PORT)));

  private final Schedule schedule;
  private final Path folder;
  private final String discovery;
  private final String known;
  private final String extra;
  private final List<String> names;
  private final int[] listens;
  private final int[] admins;
  private final int[] operators;
  private final ChildProcess[] processes;
  private final boolean[] requestPending;
  private final boolean[] paused;
  private final String[] lastView;
  private final JsonNode[] pages;
  private final Links links;
  private final Relay[][] relays;
  private final FleetChecker checker;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final HttpClient http =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
  private final ObjectMapper json = new ObjectMapper();
  private final Map<Fault.Kind, Integer> faultCounts = new EnumMap<>(Fault.Kind.class);
  private final List<String> output = new ArrayList<>();

  /** Processes that were asked to shut down and may still be running. */
  private final List<ChildProcess> ending = new ArrayList<>();

  private Step onAgreement = () -> {};
  private final List<ScheduledStep> steps = new ArrayList<>();
  private long beganNs;

  /**
   * Creates a fleet without starting it.
   *
   * @param discovery the platform's address, and {@code known} the endpoint list that couriers
   *     start with
   * @param extra further settings of each courier, as TOML
   * @param pauseLimitMs how long a courier may be paused without being declared dead
   */
  public RealFleet(
      final Path folder,
      final Schedule schedule,
      final String discovery,
      final String known,
      final String extra,
      final long pauseLimitMs)
      throws IOException {
    this.folder = folder;
    this.schedule = schedule;
    this.discovery = discovery;
    this.known = known;
    this.extra = extra;
    final int members = schedule.members();
    this.names =
        IntStream.range(0, members).mapToObj(number -> String.format("n%02d", number)).toList();
    this.listens = new int[members];
    this.admins = new int[members];
    this.operators = new int[members];
    for (int number = 0; number < members; number++) {
      listens[number] = freePort();
      admins[number] = freePort();
      operators[number] = freePort();
    }
    this.processes = new ChildProcess[members];
    this.requestPending = new boolean[members];
    this.paused = new boolean[members];
    this.lastView = new String[members];
    this.pages = new JsonNode[members];
    this.links = new Links(members, schedule.seed());
    this.relays = new Relay[members][members];
    this.checker = new FleetChecker(pauseLimitMs);
    for (int from = 0; from < members; from++) {
      for (int to = 0; to < members; to++) {
        if (from != to) {
          relays[from][to] =
              new Relay(
                  from,
                  to,
                  new InetSocketAddress(InetAddress.getLoopbackAddress(), listens[to]),
                  links,
                  group.next());
        }
      }
    }
  }

  /**
   * Returns a port that is free for datagrams and connections, below the kernel's ephemeral range:
   * a port of that range may be taken by another connection before the process that is to listen
   * there has started.
   */
  private static int freePort() throws IOException {
    for (int tries = 0; tries < LAST_PORT - FIRST_PORT; tries++) {
      final int port =
          FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), LAST_PORT - FIRST_PORT);
      try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
          DatagramSocket same =
              new DatagramSocket(free.getLocalPort(), InetAddress.getLoopbackAddress())) {
        return same.getLocalPort();
      } catch (final BindException e) {
        // Taken; tries the next one.

      }
    }
    throw new IOException("no free port from " + FIRST_PORT + " to " + LAST_PORT);
  }

  private void start(final int number) throws IOException {
    final Path home = folder.resolve(names.get(number));
    Files.createDirectories(home);
    final StringBuilder via = new StringBuilder();
    final StringBuilder seeds = new StringBuilder();
    for (int other = 0; other < names.size(); other++) {
      if (other != number) {
        via.append(via.isEmpty() ? "" : ", ")
            .append("\"127.0.0.1:")
            .append(listens[other])
            .append("=127.0.0.1:")
            .append(relays[number][other].port())
            .append('"');
      }
      if (other < 3) {
        seeds
            .append(seeds.isEmpty() ? "" : ", ")
            .append("\"127.0.0.1:")
            .append(listens[other])
            .append('"');
      }
    }
    final Path file =
        Files.writeString(
            home.resolve("t.toml"),
            """
                [admin]
                enabled = true
                listen = "127.0.0.1:%d"
                [peers]
                enabled = true
                listen = "127.0.0.1:%d"
                seeds = [%s]
                fleet-key = "%s"
                via = [%s]
                %s
                """
                .formatted(admins[number], listens[number], seeds, KEY, via, extra));
    final Map<String, String> environment =
        new HashMap<>(
            CourierFiles.write(
                home, names.get(number), discovery, known, CourierFiles.Size.usual()));
    environment.put("PROXY_OPERATOR", "127.0.0.1:" + operators[number]);
    processes[number] =
        ChildProcess.java(
            environment, "", "thistleturn.cli.Main", "serve", "--config", file.toString());
    lastView[number] = "";
    requestPending[number] = false;
  }

  /** Milliseconds since the start. */
  public long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNs);
  }

  /** A step that is due at a time. */
  private record ScheduledStep(long atMs, Step step) {}

  /** A step of the schedule. */
  @FunctionalInterface
  public interface Step {
    /** Executes the step. */
    void run() throws IOException;
  }

  /** Sets a step to run once all couriers hold one view, before the schedule begins. */
  public void onAgreement(final Step step) {
    onAgreement = step;
  }

  /** Adds a step at a time of the schedule, beside its faults. */
  public void at(final long ms, final Step step) {
    steps.add(new ScheduledStep(ms, step));
  }

  /** Starts all couriers, waits until they agree, and then runs the schedule. */
  public FleetChecker run() throws IOException {
    beganNs = System.nanoTime();
    for (int number = 0; number < names.size(); number++) {
      start(number);
    }
    awaitAgreement();
    onAgreement.run();
    final long startMs = nowMs();
    final PriorityQueue<ScheduledStep> due =
        new PriorityQueue<>(Comparator.comparingLong(ScheduledStep::atMs));
    steps.forEach(step -> due.add(new ScheduledStep(startMs + step.atMs(), step.step())));
    for (final Fault fault : schedule.faults()) {
      due.add(new ScheduledStep(startMs + fault.atMs(), () -> applyFault(fault, startMs, due)));
    }
    while (nowMs() < startMs + schedule.endMs()) {
      while (!due.isEmpty() && due.peek().atMs() <= nowMs()) {
        due.poll().step().run();
      }
      pollAll();
      LockSupport.parkNanos(
          TimeUnit.MILLISECONDS.toNanos(
              due.isEmpty()
                  ? POLL_MS
                  : Math.max(1, Math.min(POLL_MS, due.peek().atMs() - nowMs()))));
    }
    checker.compareViews(nowMs());
    return checker;
  }

  private void awaitAgreement() {
    checker.compareViews(nowMs());
    while (!isComplete()) {
      pollAll();
      if (nowMs() > AGREEMENT_TIMEOUT_MS) {
        throw new AssertionError(
            "the fleet did not agree on one view: "
                + List.of((Object[]) lastView)
                + ", "
                + recentLines());
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MS));
    }
  }

  private synchronized boolean isComplete() {
    for (final JsonNode page : pages) {
      if (page == null || page.path("view").path("members").size() != names.size()) {
        return false;
      }
    }
    checker.compareViews(nowMs());
    return checker.isAgreed();
  }

  /** Polls all running processes; their answers are passed to the checker when they come. */
  private synchronized void pollAll() {
    for (int number = 0; number < names.size(); number++) {
      if (processes[number] == null || requestPending[number] || paused[number]) {
        continue;
      }
      requestPending[number] = true;
      final int one = number;
      final ChildProcess process = processes[number];
      http.sendAsync(
              HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + admins[number] + "/peers"))
                  .timeout(REQUEST_TIMEOUT)
                  .build(),
              HttpResponse.BodyHandlers.ofString())
          .whenComplete((answer, failure) -> pageReceived(one, process, answer));
    }
  }

  private synchronized void pageReceived(
      final int number, final ChildProcess process, final HttpResponse<String> answer) {
    if (processes[number] != process) {
      return;
    }
    requestPending[number] = false;
    if (answer == null || answer.statusCode() != 200) {
      return;
    }
    try {
      observe(number, json.readTree(answer.body()));
    } catch (final IOException e) {
      output.add(names.get(number) + ": the page is not JSON: " + e.getMessage());
    }
  }

  private void observe(final int number, final JsonNode page) {
    pages[number] = page;
    final JsonNode view = page.path("view");
    if (page.path("incarnation").isMissingNode()) {
      return;
    }
    checker.processStarted(
        names.get(number), names.get(number) + '#' + page.path("incarnation").asLong(), nowMs());
    final String lineage = view.path("generation").asText() + '/' + view.path("founder").asText();
    final String seen = lineage + '.' + view.path("number").asText();
    if (!view.isMissingNode() && !seen.equals(lastView[number])) {
      lastView[number] = seen;
      final Set<String> members = new TreeSet<>();
      view.path("members")
          .forEach(
              member ->
                  members.add(
                      member.path("name").asText() + '#' + member.path("incarnation").asLong()));
      checker.viewObserved(
          names.get(number), lineage, view.path("number").asLong(), members, nowMs());
    }
  }

  private synchronized void applyFault(
      final Fault fault, final long startMs, final PriorityQueue<ScheduledStep> due)
      throws IOException {
    faultCounts.merge(fault.kind(), Math.max(1, fault.targets().size()), Integer::sum);
    final long untilMs = fault.forMs() == 0 ? Long.MAX_VALUE : startMs + fault.endMs();
    switch (fault.kind()) {
      case KILL, LEAVE -> {
        for (final int number : fault.targets()) {
          endProcess(number, fault.kind() == Fault.Kind.LEAVE);
        }
      }
      case START -> {
        for (final int number : fault.targets()) {
          if (processes[number] == null) {
            start(number);
          }
        }
      }
      case PAUSE -> {
        for (final int number : fault.targets()) {
          setPaused(number, true);
          due.add(new ScheduledStep(untilMs, () -> setPaused(number, false)));
        }
      }
      case STARVE -> {
        for (final int number : fault.targets()) {
          starve(number, fault.value(), untilMs, due);
        }
      }
      case CUT -> {
        checker.linksCut(fault, names);
        links.addCuts(fault.targets(), fault.others(), 1);
        due.add(
            new ScheduledStep(untilMs, () -> links.addCuts(fault.targets(), fault.others(), -1)));
      }
      case BREAK -> {
        for (final int one : fault.targets()) {
          for (final int other : fault.others()) {
            relays[one][other].reset();
            relays[other][one].reset();
          }
        }
      }
      case LOSS -> links.setLoss(fault.value());
      case DOUBLE -> links.setDuplication(fault.value());
      case DELAY -> links.setJitter((long) fault.value());
    }
    if (fault.forMs() > 0 && fault.targets().isEmpty()) {
      due.add(
          new ScheduledStep(
              untilMs,
              () ->
                  applyFault(
                      new Fault(0, 0, fault.kind(), List.of(), List.of(), 0), startMs, due)));
    }
  }

  private void endProcess(final int number, final boolean gracefully) {
    final ChildProcess process = processes[number];
    if (process == null) {
      return;
    }
    processes[number] = null;
    if (gracefully) {
      process.terminate();
      checker.processEnded(names.get(number), nowMs());
      output.addAll(process.lines());
      ending.add(process);
    } else {
      process.kill();
      checker.processEnded(names.get(number), nowMs());
    }
    paused[number] = false;
    pages[number] = null;
  }

  private synchronized void setPaused(final int number, final boolean pause) throws IOException {
    if (processes[number] == null || paused[number] == pause) {
      return;
    }
    if (pause) {
      processes[number].pause();
    } else {
      processes[number].resume();
    }
    paused[number] = pause;
    checker.setPaused(names.get(number), pause, nowMs());
  }

  private synchronized void starve(
      final int number,
      final double share,
      final long untilMs,
      final PriorityQueue<ScheduledStep> due)
      throws IOException {
    setPaused(number, true);
    final long nowMs = nowMs();
    due.add(
        new ScheduledStep(
            nowMs + (long) (STARVED_PERIOD_MS * (1 - share)),
            () -> {
              setPaused(number, false);
              if (nowMs() < untilMs) {
                due.add(
                    new ScheduledStep(
                        nowMs + STARVED_PERIOD_MS, () -> starve(number, share, untilMs, due)));
              }
            }));
  }

  /**
   * The last {@code /peers} page of a process; null while it doesn't run or hasn't answered yet.
   */
  public synchronized JsonNode peersPage(final int number) {
    return pages[number];
  }

  /** The address of its admin pages. */
  public String adminAddress(final int number) {
    return "127.0.0.1:" + admins[number];
  }

  /** The address of its operator commands. */
  public String operatorAddress(final int number) {
    return "127.0.0.1:" + operators[number];
  }

  /**
   * The address at which it accepts clients; null while it doesn't run or hasn't reported it yet.
   */
  public synchronized String clientAddress(final int number) {
    return processes[number] == null
        ? null
        : processes[number].lines().stream()
            .filter(lineage -> lineage.contains("is ready at "))
            .map(
                lineage ->
                    lineage.substring(lineage.lastIndexOf("is ready at ") + "is ready at ".length())
                        .split(" ")[0])
            .findFirst()
            .orElse(null);
  }

  /** Fetches a page of a courier; null if it doesn't answer within 2 s. */
  public JsonNode fetchPage(final int number, final String page) {
    try {
      final HttpResponse<String> answer =
          http.send(
              HttpRequest.newBuilder(URI.create("http://" + adminAddress(number) + "/" + page))
                  .timeout(Duration.ofSeconds(2))
                  .build(),
              HttpResponse.BodyHandlers.ofString());
      return answer.statusCode() == 200 ? json.readTree(answer.body()) : null;
    } catch (final IOException e) {
      return null;
    } catch (final InterruptedException e) {
      Thread.currentThread().interrupt();
      return null;
    }
  }

  /**
   * Administratively disables or enables an endpoint at one courier; true if that was answered with
   * 200.
   */
  public boolean setDisabled(final int number, final String endpoint, final boolean disabled) {
    try {
      return http.send(
                  HttpRequest.newBuilder(
                          URI.create(
                              "http://"
                                  + operatorAddress(number)
                                  + "/-/endpoints/"
                                  + endpoint
                                  + (disabled ? "/disable" : "/enable")))
                      .timeout(Duration.ofSeconds(2))
                      .POST(HttpRequest.BodyPublishers.noBody())
                      .build(),
                  HttpResponse.BodyHandlers.ofString())
              .statusCode()
          == 200;
    } catch (final IOException e) {
      return false;
    } catch (final InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** The process; null while it doesn't run. */
  public synchronized ChildProcess process(final int number) {
    return processes[number];
  }

  /** The checker of the membership views. */
  public FleetChecker checker() {
    return checker;
  }

  /** Describes the faults that were injected and the traffic that passed. */
  public String summary() {
    return faultCounts + "; " + links.summary();
  }

  /** The last lines of output of each process. */
  public synchronized List<String> recentLines() {
    final List<String> lines = new ArrayList<>(output);
    for (int number = 0; number < names.size(); number++) {
      if (processes[number] != null) {
        final List<String> processLines = processes[number].lines();
        final String name = names.get(number);
        processLines
            .subList(Math.max(0, processLines.size() - 20), processLines.size())
            .forEach(lineage -> lines.add(name + ": " + lineage));
      }
    }
    return lines;
  }

  @Override
  public void close() {
    for (final ChildProcess process : processes) {
      if (process != null) {
        process.close();
      }
    }
    ending.forEach(ChildProcess::close);
    for (final Relay[] row : relays) {
      for (final Relay relay : row) {
        if (relay != null) {
          relay.close();
        }
      }
    }
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }
}
