package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
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

/**
 * Newer processes that are killed at random moments of their takeover, under load: no client of the
 * older process is left without an answer, and no message is lost, doubled, or sent after it was
 * refused. {@code -Dsuccessor.kills=N} plays more, {@code -Dsuccessor.seed=N} others. Prints what
 * it measured.
 */
@Tag("operators")
@Timeout(600)
final class SuccessorKillSoakTest {
  private static final int ACCEPTED = 202;
  private static final int KILLS = Integer.getInteger("successor.kills", 3);
  private static final long SEED = Long.getLong("successor.seed", 1);
  private static final int MESSAGES_PER_SECOND = Integer.getInteger("successor.rate", 300);

  /** The latest moment of a kill behind the event that it is counted from. */
  private static final int MAX_DELAY_MS = 300;

  /** What lies around a handover is measured within so much on either side of it. */
  private static final long AROUND_NS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Takeovers this near to a request that has no answer are printed with it. */
  private static final long NEAR_NS = TimeUnit.SECONDS.toNanos(3);

  /** From which line of the newer process the moment of its kill is counted. */
  enum Moment {
    BEHIND_READY("is ready at"),
    BEHIND_FIRST_LINE("takes over from");

    private final String line;

    Moment(final String line) {
      this.line = line;
    }
  }

  @TempDir private Path folder;
  private final Random random = new Random(SEED);
  private final List<Long> killToAnswerNs = new ArrayList<>();
  private final List<Long> handoversNs = new CopyOnWriteArrayList<>();

  /** From the handover to a newer process to its end, each. */
  private final List<long[]> newerLivedNs = new ArrayList<>();

  /** The span in which kills lie; below 0 until it is known how long a takeover takes here. */
  private long maxDelayNs;

  private CourierHarness older;

  @BeforeEach
  void startOlderProcess() throws IOException {
    older = new CourierHarness(folder);
    try (ServerSocket free = new ServerSocket(0)) {
      older.listenPort = free.getLocalPort();
    }
    enlarge(older);
    older.firstEndpoint.script(SentMessages::deliver);
    older.lineListener =
        line -> {
          if (line.contains("handed over with")) {
            handoversNs.add(System.nanoTime());
          }
        };
    older.start();
  }

  private static void enlarge(final CourierHarness courier) {
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
  void killedNewerProcesses_leaveEachRequestWithItsAnswer(final Moment moment) throws Exception {
    final LoadClients clients = new LoadClients(older, MESSAGES_PER_SECOND);
    clients.start();
    maxDelayNs = moment == Moment.BEHIND_READY ? TimeUnit.MILLISECONDS.toNanos(MAX_DELAY_MS) : -1;
    for (int kill = 0; kill < KILLS; kill++) {
      killOne(moment, clients);
    }
    final List<LoadClients.Request> requests = clients.stop();
    older.await(
        "all work to end",
        () -> older.sendOperatorRequest("GET", "/-/metrics").contains("svc_in_flight 0\n"));
    final FateCount fates = count(requests);
    if (!fates.isClean()) {
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
            + fates
            + "; kill to first answer "
            + LoadClients.percentiles(killToAnswerNs)
            + "; handed in to answered within 0.25 s of a handover "
            + LoadClients.percentiles(aroundHandovers(requests)));
    assertTrue(fates.isClean(), () -> "seed " + SEED + ": " + fates);
  }

  /** Starts a newer process and kills it; the first of its kind always lives until it is ready. */
  private void killOne(final Moment moment, final LoadClients clients) throws Exception {
    final int linesBefore = older.logLines.size();
    try (CourierHarness newer = older.successor()) {
      enlarge(newer);
      newer.launch();
      awaitLine(newer, moment.line);
      final long countedFromNs = System.nanoTime();
      if (maxDelayNs < 0) {
        awaitLine(newer, Moment.BEHIND_READY.line);
        maxDelayNs = System.nanoTime() - countedFromNs;
      } else {
        LockSupport.parkNanos((long) (random.nextDouble() * maxDelayNs));
      }
      newer.kill();
      final long killedNs = System.nanoTime();
      older.await("an answer after the kill", () -> clients.firstAnswerAfter(killedNs) != null);
      if (saidSince(linesBefore, "handed over with")) {
        older.await("the older process to serve", () -> saidSince(linesBefore, "is ready at"));
        killToAnswerNs.add(clients.firstAnswerAfter(killedNs) - killedNs);
        newerLivedNs.add(new long[] {handoversNs.get(handoversNs.size() - 1), killedNs});
      }
      final long settledNs = killedNs + TimeUnit.MILLISECONDS.toNanos(MAX_DELAY_MS);
      older.await("load behind it", () -> clients.firstAnswerAfter(settledNs) != null);
    }
  }

  private static void awaitLine(final CourierHarness courier, final String text) {
    courier.await(text, () -> courier.logLines.stream().anyMatch(line -> line.contains(text)));
  }

  private boolean saidSince(final int from, final String text) {
    return older.logLines.stream().skip(from).anyMatch(line -> line.contains(text));
  }

  private List<Long> aroundHandovers(final List<LoadClients.Request> requests) {
    final List<Long> waitsNs = new ArrayList<>();
    for (final LoadClients.Request request : requests) {
      if (request.answeredNs() > 0
          && handoversNs.stream().anyMatch(at -> Math.abs(request.sentNs() - at) < AROUND_NS)) {
        waitsNs.add(request.answeredNs() - request.sentNs());
      }
    }
    Collections.sort(waitsNs);
    return waitsNs;
  }

  /** Prints a request that has no answer, with the takeovers near it and what the log has of it. */
  private void describe(final LoadClients.Request request) {
    final List<String> takeovers =
        newerLivedNs.stream()
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
            + " ms before; newer processes decided from, ms behind it: "
            + takeovers
            + "; log: "
            + logged);
  }

  private static long millis(final long spanNs) {
    return TimeUnit.NANOSECONDS.toMillis(spanNs);
  }

  /** Returns whether a connection that was made then may have been one of a killed process. */
  private boolean mayBelongToNewer(final long connectedNs) {
    return newerLivedNs.stream().anyMatch(l -> l[0] <= connectedNs && connectedNs <= l[1]);
  }

  private FateCount count(final List<LoadClients.Request> requests) {
    final Map<String, Integer> copies = new HashMap<>();
    SentMessages.ids(older.firstEndpoint).forEach(id -> copies.merge(id, 1, Integer::sum));
    final Set<String> ended = older.reportedIds();
    final FateCount fates = new FateCount();
    for (final LoadClients.Request request : requests) {
      fates.add(
          request,
          copies.containsKey(request.id()),
          ended.contains(request.id()),
          mayBelongToNewer(request.connectedNs()));
    }
    fates.doubled = copies.values().stream().filter(count -> count > 1).count();
    return fates;
  }

  /** How the requests fared. */
  private static final class FateCount {
    private long requests;

    /** No answer in time on a connection that stayed open. */
    private long silent;

    /** The connection to the older process ended without an answer. */
    private long cut;

    /** The same on a connection that may have been to the process that was killed. */
    private long cutByKill;

    /** Nobody listened between the kill and the older process's listener. */
    private long unconnected;

    /** Accepted, and neither sent nor reported. */
    private long lost;

    /** Sent more than once, though not repeatable. */
    private long doubled;

    /** Answered otherwise than by an acceptance. */
    private long refused;

    /** Of these the ones that were sent all the same. */
    private long refusedAndSent;

    private void add(
        final LoadClients.Request request,
        final boolean sent,
        final boolean ended,
        final boolean newer) {
      requests++;
      switch (request.status()) {
        case LoadClients.TIMED_OUT -> silent++;
        case LoadClients.UNCONNECTED -> unconnected++;
        case LoadClients.CONNECTION_LOST -> {
          cut += newer ? 0 : 1;
          cutByKill += newer ? 1 : 0;
        }
        case ACCEPTED -> lost += sent || ended ? 0 : 1;
        default -> {
          refused++;
          refusedAndSent += sent ? 1 : 0;
        }
      }
    }

    private boolean isClean() {
      return silent == 0 && cut == 0 && lost == 0 && doubled == 0 && refusedAndSent == 0;
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "%d requests: %d silent, %d cut at the older process, %d cut by kills, %d not connected,"
              + " %d lost, %d doubled, %d refused, %d of them sent",
          requests,
          silent,
          cut,
          cutByKill,
          unconnected,
          lost,
          doubled,
          refused,
          refusedAndSent);
    }
  }
}
