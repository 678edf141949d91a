package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import thistleturn.testkit.FreePorts;

/**
 * Kills newer processes at random moments of their takeover, under load. Every client of the older
 * process gets a response, and no message is lost, duplicated, or sent after its rejection. {@code
 * -Dsuccessor.kills=N} sets the number of kills, {@code -Dsuccessor.seed=N} the seed. Prints its
 * measurements.
 */
@Tag("operators")
@Timeout(600)
final class SuccessorKillSoakTest {
  private static final int ACCEPTED = 202;
  private static final int KILLS = Integer.getInteger("successor.kills", 3);
  private static final long SEED = Long.getLong("successor.seed", 1);
  private static final int MESSAGES_PER_SECOND = Integer.getInteger("successor.rate", 300);

  /** The longest time from the event that a kill is counted from to the kill. */
  private static final int MAX_DELAY_MS = 300;

  /** Requests sent within this time before or after a handover are measured. */
  private static final long NEAR_HANDOVER_NS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Takeovers within this time of an unanswered request are printed with it. */
  private static final long NEAR_NS = TimeUnit.SECONDS.toNanos(3);

  /** The log line of the newer process that the time of its kill is counted from. */
  enum Moment {
    AFTER_READY("is ready at"),
    AFTER_TAKEOVER_START("takes over from");

    private final String line;

    Moment(final String line) {
      this.line = line;
    }
  }

  @TempDir private Path folder;
  private final Random random = new Random(SEED);
  private final List<Long> killToAnswerNs = new ArrayList<>();
  private final List<Long> handoversNs = new CopyOnWriteArrayList<>();

  /** For each newer process, the times of the handover to it and of its end. */
  private final List<long[]> newerActiveNs = new ArrayList<>();

  /** The longest delay of a kill; below 0 until the duration of a takeover has been measured. */
  private long maxDelayNs;

  private CourierHarness older;

  @BeforeEach
  void startOlderProcess() throws IOException {
    older = new CourierHarness(folder);
    older.listenPort = FreePorts.next();
    raiseLimits(older);
    older.firstEndpoint.script(SentMessages::deliver);
    older.lineListener =
        line -> {
          if (line.contains("handed over with")) {
            handoversNs.add(System.nanoTime());
          }
        };
    older.start();
  }

  private static void raiseLimits(final CourierHarness courier) {
    courier.operatorPortEnabled = true;
    courier.maxOpenConnections = 2000;
    courier.maxCallsInFlight = 100;
    courier.diskMb = 100;
  }

  @AfterEach
  void stopOlderProcess() throws IOException {
    older.close();
  }

  @ParameterizedTest
  @EnumSource(Moment.class)
  void newerProcessesKilled_everyRequestIsAnswered(final Moment moment) throws Exception {
    final LoadClients clients = new LoadClients(older, MESSAGES_PER_SECOND);
    clients.start();
    maxDelayNs = moment == Moment.AFTER_READY ? TimeUnit.MILLISECONDS.toNanos(MAX_DELAY_MS) : -1;
    for (int kill = 0; kill < KILLS; kill++) {
      killOne(moment, clients);
    }
    final List<LoadClients.Request> requests = clients.stop();
    older.await(
        "all work to end",
        () -> older.sendOperatorRequest("GET", "/-/metrics").contains("svc_in_flight 0\n"));
    final OutcomeCounts outcomeCounts = count(requests);
    if (!outcomeCounts.isClean()) {
      requests.stream()
          .filter(
              request ->
                  (request.status() == LoadClients.TIMED_OUT
                          || request.status() == LoadClients.CONNECTION_LOST)
                      && !mayBelongToNewer(request.connectedNs()))
          .forEach(this::describe);
    }
    System.out.println(
        "seed "
            + SEED
            + " "
            + moment
            + ": "
            + KILLS
            + " kills, "
            + handoversNs.size()
            + " handovers, "
            + outcomeCounts
            + "; kill to first answer "
            + LoadClients.percentiles(killToAnswerNs)
            + "; request to response within 0.25 s of a handover "
            + LoadClients.percentiles(responseTimesNearHandovers(requests)));
    assertTrue(outcomeCounts.isClean(), () -> "seed " + SEED + ": " + outcomeCounts);
  }

  /**
   * Starts a newer process and kills it. With {@link Moment#AFTER_TAKEOVER_START} the first one is
   * not killed before it is ready.
   */
  private void killOne(final Moment moment, final LoadClients clients) throws Exception {
    final int linesBefore = older.logLines.size();
    try (CourierHarness newer = older.successor()) {
      raiseLimits(newer);
      newer.launch();
      awaitLine(newer, moment.line);
      final long countedFromNs = System.nanoTime();
      if (maxDelayNs < 0) {
        awaitLine(newer, Moment.AFTER_READY.line);
        maxDelayNs = System.nanoTime() - countedFromNs;
      } else {
        LockSupport.parkNanos((long) (random.nextDouble() * maxDelayNs));
      }
      newer.kill();
      final long killedNs = System.nanoTime();
      older.await("an answer after the kill", () -> clients.firstAnswerAfter(killedNs) != null);
      if (loggedSince(linesBefore, "handed over with")) {
        older.await("the older process to serve", () -> loggedSince(linesBefore, "is ready at"));
        killToAnswerNs.add(clients.firstAnswerAfter(killedNs) - killedNs);
        newerActiveNs.add(new long[] {handoversNs.get(handoversNs.size() - 1), killedNs});
      }
      final long settledNs = killedNs + TimeUnit.MILLISECONDS.toNanos(MAX_DELAY_MS);
      older.await("load after the kill", () -> clients.firstAnswerAfter(settledNs) != null);
    }
  }

  private static void awaitLine(final CourierHarness courier, final String text) {
    courier.await(text, () -> courier.logLines.stream().anyMatch(line -> line.contains(text)));
  }

  private boolean loggedSince(final int from, final String text) {
    return older.logLines.stream().skip(from).anyMatch(line -> line.contains(text));
  }

  private List<Long> responseTimesNearHandovers(final List<LoadClients.Request> requests) {
    final List<Long> waitsNs = new ArrayList<>();
    for (final LoadClients.Request request : requests) {
      if (request.answeredNs() > 0
          && handoversNs.stream()
              .anyMatch(at -> Math.abs(request.sentNs() - at) < NEAR_HANDOVER_NS)) {
        waitsNs.add(request.answeredNs() - request.sentNs());
      }
    }
    Collections.sort(waitsNs);
    return waitsNs;
  }

  /** Prints an unanswered request with the takeovers near it and its log lines. */
  private void describe(final LoadClients.Request request) {
    final List<String> takeovers =
        newerActiveNs.stream()
            .filter(lived -> Math.abs(lived[1] - request.sentNs()) < NEAR_NS)
            .map(
                lived ->
                    millis(lived[0] - request.sentNs())
                        + " to "
                        + millis(lived[1] - request.sentNs()))
            .toList();
    final List<String> logged =
        older.logLines.stream().filter(line -> line.contains("=" + request.id() + " ")).toList();
    System.out.println(
        request.id()
            + ": status "
            + request.status()
            + ", connected "
            + millis(request.sentNs() - request.connectedNs())
            + " ms before; newer processes active from, to, ms after it: "
            + takeovers
            + "; log: "
            + logged);
  }

  private static long millis(final long spanNs) {
    return TimeUnit.NANOSECONDS.toMillis(spanNs);
  }

  /** Returns whether a connection of that time may have been to a process that was killed. */
  private boolean mayBelongToNewer(final long connectedNs) {
    return newerActiveNs.stream().anyMatch(l -> l[0] <= connectedNs && connectedNs <= l[1]);
  }

  private OutcomeCounts count(final List<LoadClients.Request> requests) {
    final Map<String, Integer> copies = new HashMap<>();
    SentMessages.ids(older.firstEndpoint).forEach(id -> copies.merge(id, 1, Integer::sum));
    final Set<String> ended = older.reportedIds();
    final OutcomeCounts outcomeCounts = new OutcomeCounts();
    for (final LoadClients.Request request : requests) {
      outcomeCounts.add(
          request,
          copies.containsKey(request.id()),
          ended.contains(request.id()),
          mayBelongToNewer(request.connectedNs()));
    }
    outcomeCounts.duplicated = copies.values().stream().filter(count -> count > 1).count();
    return outcomeCounts;
  }

  /** The number of requests by outcome. */
  private static final class OutcomeCounts {
    private long requests;

    /** Requests without a response in time on a connection that stayed open. */
    private long timedOut;

    /** Requests whose connection to the older process ended without a response. */
    private long disconnected;

    /** The same on a connection that may have been to a killed process. */
    private long disconnectedByKill;

    /** Requests that found no listener, between a kill and the older process listening again. */
    private long unconnected;

    /** Messages that were accepted, and neither sent nor reported. */
    private long lost;

    /** Non-idempotent messages that were sent more than once. */
    private long duplicated;

    /** Requests with a response other than acceptance. */
    private long rejected;

    /** Rejected messages that were sent nevertheless. */
    private long rejectedAndSent;

    private void add(
        final LoadClients.Request request,
        final boolean sent,
        final boolean ended,
        final boolean newer) {
      requests++;
      switch (request.status()) {
        case LoadClients.TIMED_OUT -> timedOut++;
        case LoadClients.UNCONNECTED -> unconnected++;
        case LoadClients.CONNECTION_LOST -> {
          disconnected += newer ? 0 : 1;
          disconnectedByKill += newer ? 1 : 0;
        }
        case ACCEPTED -> lost += sent || ended ? 0 : 1;
        default -> {
          rejected++;
          rejectedAndSent += sent ? 1 : 0;
        }
      }
    }

    private boolean isClean() {
      return timedOut == 0
          && disconnected == 0
          && lost == 0
          && duplicated == 0
          && rejectedAndSent == 0;
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "%d requests: %d timed out, %d disconnected by the older process, %d by kills,"
              + " %d not connected, %d lost, %d duplicated, %d rejected, %d of them sent",
          requests,
          timedOut,
          disconnected,
          disconnectedByKill,
          unconnected,
          lost,
          duplicated,
          rejected,
          rejectedAndSent);
    }
  }
}
