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
 * Couriers as real processes, each pair joined by a relay in each direction, under a schedule of
 * faults. It reads what each holds at its operators' address and tells the judge. Processes are
 * ended by the pids that it started.
 */
public final class RealFleet implements AutoCloseable {
  private static final long LOOK_MS = 40;
  private static final long PATIENCE_MS = 120_000;
  private static final long STARVED_PERIOD_MS = 200;
  private static final Duration ASK = Duration.ofSeconds(15);
  private static final String KEY = "a fleet under test";
  private static final int FIRST_PORT = 20_000;
  private static final int LAST_PORT = 32_000;

  /** Fleets of one Java machine take one after the other; two machines begin apart. */
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
  private final boolean[] asked;
  private final boolean[] stopped;
  private final String[] lastSeen;
  private final JsonNode[] pages;
  private final Links links;
  private final Relay[][] relays;
  private final FleetChecker checker;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final HttpClient http =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
  private final ObjectMapper json = new ObjectMapper();
  private final Map<Fault.Kind, Integer> tookPlace = new EnumMap<>(Fault.Kind.class);
  private final List<String> said = new ArrayList<>();

  /** Those that were asked to end, and may still be at it. */
  private final List<ChildProcess> ending = new ArrayList<>();

  private Step onWhole = () -> {};
  private final List<Due> steps = new ArrayList<>();
  private long beganNs;

  /**
   * A fleet that is not started yet.
   *
   * @param discovery the platform's address, and {@code known} the list that couriers begin with
   * @param extra further settings of each courier, as TOML
   * @param pauseLimitMs longer stops may cost a life its place
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
    this.asked = new boolean[members];
    this.stopped = new boolean[members];
    this.lastSeen = new String[members];
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
   * A number that is free for datagrams and connections alike, below those that the system gives to
   * connections by itself: one of these may be taken again before the process that is to listen
   * there has begun.
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
        // Taken: the next one.

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
    lastSeen[number] = "";
    asked[number] = false;
  }

  /** Milliseconds since all began. */
  public long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNs);
  }

  /** Something that is due. */
  private record Due(long atMs, Step step) {}

  /** Something that is done at a moment of the schedule. */
  @FunctionalInterface
  public interface Step {
    /** Does it. */
    void run() throws IOException;
  }

  /** Has that done as soon as all hold one view, before the schedule begins. */
  public void onAgreement(final Step step) {
    onWhole = step;
  }

  /** Has something done at a moment of the schedule, beside its faults. */
  public void at(final long ms, final Step step) {
    steps.add(new Due(ms, step));
  }

  /** Starts all, waits until they agree, and plays the schedule from then on. */
  public FleetChecker run() throws IOException {
    beganNs = System.nanoTime();
    for (int number = 0; number < names.size(); number++) {
      start(number);
    }
    awaitAgreement();
    onWhole.run();
    final long zeroMs = nowMs();
    final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingLong(Due::atMs));
    steps.forEach(step -> due.add(new Due(zeroMs + step.atMs(), step.step())));
    for (final Fault fault : schedule.faults()) {
      due.add(new Due(zeroMs + fault.atMs(), () -> begin(fault, zeroMs, due)));
    }
    while (nowMs() < zeroMs + schedule.endMs()) {
      while (!due.isEmpty() && due.peek().atMs() <= nowMs()) {
        due.poll().step().run();
      }
      look();
      LockSupport.parkNanos(
          TimeUnit.MILLISECONDS.toNanos(
              due.isEmpty()
                  ? LOOK_MS
                  : Math.max(1, Math.min(LOOK_MS, due.peek().atMs() - nowMs()))));
    }
    checker.compareViews(nowMs());
    return checker;
  }

  private void awaitAgreement() {
    checker.compareViews(nowMs());
    while (!isWhole()) {
      look();
      if (nowMs() > PATIENCE_MS) {
        throw new AssertionError(
            "the fleet never came together: "
                + List.of((Object[]) lastSeen)
                + ", "
                + recentLines());
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(LOOK_MS));
    }
  }

  private synchronized boolean isWhole() {
    for (final JsonNode page : pages) {
      if (page == null || page.path("view").path("members").size() != names.size()) {
        return false;
      }
    }
    checker.compareViews(nowMs());
    return checker.isAgreed();
  }

  /** Asks all that run what they hold; what they answer is told to the judge when it comes. */
  private synchronized void look() {
    for (int number = 0; number < names.size(); number++) {
      if (processes[number] == null || asked[number] || stopped[number]) {
        continue;
      }
      asked[number] = true;
      final int one = number;
      final ChildProcess of = processes[number];
      http.sendAsync(
              HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + admins[number] + "/peers"))
                  .timeout(ASK)
                  .build(),
              HttpResponse.BodyHandlers.ofString())
          .whenComplete((answer, failure) -> told(one, of, answer));
    }
  }

  private synchronized void told(
      final int number, final ChildProcess of, final HttpResponse<String> answer) {
    if (processes[number] != of) {
      return;
    }
    asked[number] = false;
    if (answer == null || answer.statusCode() != 200) {
      return;
    }
    try {
      observe(number, json.readTree(answer.body()));
    } catch (final IOException e) {
      said.add(names.get(number) + ": a page that is none: " + e.getMessage());
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
    final String line = view.path("generation").asText() + '/' + view.path("founder").asText();
    final String seen = line + '.' + view.path("number").asText();
    if (!view.isMissingNode() && !seen.equals(lastSeen[number])) {
      lastSeen[number] = seen;
      final Set<String> members = new TreeSet<>();
      view.path("members")
          .forEach(
              member ->
                  members.add(
                      member.path("name").asText() + '#' + member.path("incarnation").asLong()));
      checker.viewObserved(names.get(number), line, view.path("number").asLong(), members, nowMs());
    }
  }

  private synchronized void begin(
      final Fault fault, final long zeroMs, final PriorityQueue<Due> due) throws IOException {
    tookPlace.merge(fault.kind(), Math.max(1, fault.targets().size()), Integer::sum);
    final long untilMs = fault.forMs() == 0 ? Long.MAX_VALUE : zeroMs + fault.endMs();
    switch (fault.kind()) {
      case KILL, LEAVE -> {
        for (final int number : fault.targets()) {
          end(number, fault.kind() == Fault.Kind.LEAVE);
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
          stop(number, true);
          due.add(new Due(untilMs, () -> stop(number, false)));
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
        due.add(new Due(untilMs, () -> links.addCuts(fault.targets(), fault.others(), -1)));
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
          new Due(
              untilMs,
              () -> begin(new Fault(0, 0, fault.kind(), List.of(), List.of(), 0), zeroMs, due)));
    }
  }

  private void end(final int number, final boolean inOrder) {
    final ChildProcess process = processes[number];
    if (process == null) {
      return;
    }
    processes[number] = null;
    if (inOrder) {
      process.terminate();
      checker.processEnded(names.get(number), nowMs());
      said.addAll(process.lines());
      ending.add(process);
    } else {
      process.kill();
      checker.processEnded(names.get(number), nowMs());
    }
    stopped[number] = false;
    pages[number] = null;
  }

  private synchronized void stop(final int number, final boolean stop) throws IOException {
    if (processes[number] == null || stopped[number] == stop) {
      return;
    }
    if (stop) {
      processes[number].pause();
    } else {
      processes[number].resume();
    }
    stopped[number] = stop;
    checker.setPaused(names.get(number), stop, nowMs());
  }

  private synchronized void starve(
      final int number, final double share, final long untilMs, final PriorityQueue<Due> due)
      throws IOException {
    stop(number, true);
    final long nowMs = nowMs();
    due.add(
        new Due(
            nowMs + (long) (STARVED_PERIOD_MS * (1 - share)),
            () -> {
              stop(number, false);
              if (nowMs() < untilMs) {
                due.add(
                    new Due(nowMs + STARVED_PERIOD_MS, () -> starve(number, share, untilMs, due)));
              }
            }));
  }

  /** What each process said last of its fleet; null: it does not run, or has said nothing yet. */
  public synchronized JsonNode peersPage(final int number) {
    return pages[number];
  }

  /** Its address for operators. */
  public String adminAddress(final int number) {
    return "127.0.0.1:" + admins[number];
  }

  /** Its address for operators' calls. */
  public String operatorAddress(final int number) {
    return "127.0.0.1:" + operators[number];
  }

  /** Where it takes clients; null while it does not run, or has not said so yet. */
  public synchronized String clientAddress(final int number) {
    return processes[number] == null
        ? null
        : processes[number].lines().stream()
            .filter(line -> line.contains("is ready at "))
            .map(
                line ->
                    line.substring(line.lastIndexOf("is ready at ") + "is ready at ".length())
                        .split(" ")[0])
            .findFirst()
            .orElse(null);
  }

  /** One page of a courier's, as it is now; null if none is to be had within 2 s. */
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
   * An operator leaves an endpoint out, or lets it serve, at one courier; true if that was answered
   * with a yes.
   */
  public boolean setDisabled(final int number, final String endpoint, final boolean leaveOut) {
    try {
      return http.send(
                  HttpRequest.newBuilder(
                          URI.create(
                              "http://"
                                  + operatorAddress(number)
                                  + "/-/endpoints/"
                                  + endpoint
                                  + (leaveOut ? "/disable" : "/enable")))
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

  /** The process, or null while it does not run. */
  public synchronized ChildProcess process(final int number) {
    return processes[number];
  }

  /** The judge. */
  public FleetChecker checker() {
    return checker;
  }

  /** Which faults took place, and what passed. */
  public String summary() {
    return tookPlace + "; " + links.summary();
  }

  /** The last lines that each process said. */
  public synchronized List<String> recentLines() {
    final List<String> lines = new ArrayList<>(said);
    for (int number = 0; number < names.size(); number++) {
      if (processes[number] != null) {
        final List<String> own = processes[number].lines();
        final String name = names.get(number);
        own.subList(Math.max(0, own.size() - 20), own.size())
            .forEach(line -> lines.add(name + ": " + line));
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
