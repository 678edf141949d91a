package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The list over a watch that falls silent, trickles, breaks off or is written in an unusual way.
 */
@Tag("crossings")
@Timeout(120)
final class DiscoveryWatchTest {
  private static final String WATCH_RESPONSE_HEAD =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** What a silent watch misses counts as told after so long. */
  private static final long MAX_STALENESS_MS = 6000;

  /** An answer may wait its turn for so long. */
  private static final long MAX_RESPONSE_DELAY_MS = 2000;

  private static final long TRICKLE_INTERVAL_MS = 100;
  private static final long HEARTBEAT_INTERVAL_MS = 2000;

  /** Enough for a wait that doubles to reach its bound. */
  private static final int REJECTED_REQUESTS = 5;

  @TempDir private Path workDirectory;
  private CourierHarness harness;
  private ScheduledExecutorService scheduler;

  /** The connections on which the list was asked for, in order, and when. */
  private final List<FakeHttpServer.Request> listRequests = new CopyOnWriteArrayList<>();

  @BeforeEach
  void createHarness() throws IOException {
    harness = new CourierHarness(workDirectory);
    scheduler = Executors.newSingleThreadScheduledExecutor();
  }

  @AfterEach
  void closeHarness() throws IOException {
    scheduler.shutdownNow();
    harness.close();
  }

  /** What the platform does with each further question about the list. */
  private interface ListRequestScript {
    void respond(int number, FakeHttpServer.Request request, FakeHttpServer.Connection connection);
  }

  private void scriptPlatform(final FakeHttpServer server, final ListRequestScript answers) {
    final AtomicInteger number = new AtomicInteger();
    server.script(
        (request, connection) -> {
          if (request.requestLine().startsWith("POST")) {
            connection.respond(204, "");
            return;
          }
          listRequests.add(request);
          answers.respond(number.getAndIncrement(), request, connection);
        });
  }

  private static String changeEvent(final int seq, final String host) {
    return "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[" + host + "]}\n";
  }

  private void sendHeartbeats(final FakeHttpServer.Connection connection) {
    scheduler.scheduleAtFixedRate(
        () -> connection.writeChunk("\n"),
        HEARTBEAT_INTERVAL_MS,
        HEARTBEAT_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  private long requestedAfterMs(final long sinceNs, final int number) {
    return TimeUnit.NANOSECONDS.toMillis(listRequests.get(number).receivedNs() - sinceNs);
  }

  /** What the list has told counts: a message goes to the endpoint that was not there before. */
  private void awaitCallToSecondEndpoint() {
    harness.await(
        "a call where the change says",
        () -> {
          try {
            return harness.submit("m" + System.nanoTime(), "safe").status() == 202
                && !harness.secondEndpoint.requests.isEmpty();
          } catch (final IOException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  /**
   * Finding out, connecting and an answer that waits its turn have to fit into the time together.
   */
  @Test
  void silentWatch_isReplacedWithinMaximumStaleness() throws IOException {
    scriptPlatform(
        harness.platform,
        (number, request, connection) -> {
          if (number == 0) {
            connection.write(WATCH_RESPONSE_HEAD);
            connection.writeChunk("\n");
          } else {
            scheduler.schedule(
                () -> {
                  connection.write(WATCH_RESPONSE_HEAD);
                  connection.writeChunk(
                      changeEvent(
                          42,
                          CourierHarness.hostEntry("e2", harness.secondEndpoint, "Ready")
                              + ","
                              + CourierHarness.hostEntry("e1", harness.firstEndpoint, "Gone")));
                },
                MAX_RESPONSE_DELAY_MS,
                TimeUnit.MILLISECONDS);
          }
        });
    harness.start();
    harness.await("the first watch", () -> listRequests.size() == 1);
    final long silentNs = System.nanoTime();
    harness.await("the second watch", () -> listRequests.size() == 2);
    final long atMs = requestedAfterMs(silentNs, 1) + MAX_RESPONSE_DELAY_MS;
    assertTrue(atMs < MAX_STALENESS_MS, "told " + atMs + " ms after the watch fell silent");
    awaitCallToSecondEndpoint();
  }

  /** Bytes without an end are no sign of life: a line counts once it is whole. */
  @Test
  void unfinishedLine_doesNotKeepWatchAlive() throws IOException {
    scriptPlatform(
        harness.platform,
        (number, request, connection) -> {
          connection.write(WATCH_RESPONSE_HEAD);
          connection.writeChunk("\n");
          if (number == 0) {
            connection.writeChunk("{\"seq\":42,\"whole\":false,\"hosts\":[");
            scheduler.scheduleAtFixedRate(
                () -> connection.writeChunk(" "), 0, TRICKLE_INTERVAL_MS, TimeUnit.MILLISECONDS);
          } else {
            sendHeartbeats(connection);
          }
        });
    harness.start();
    harness.await("the first watch", () -> listRequests.size() == 1);
    final long silentNs = System.nanoTime();
    harness.await("another watch", () -> listRequests.size() == 2);
    assertTrue(
        requestedAfterMs(silentNs, 1) < MAX_STALENESS_MS - MAX_RESPONSE_DELAY_MS,
        "asked after " + requestedAfterMs(silentNs, 1) + " ms");
    harness.await("the end of the first", () -> listRequests.get(0).connection().closedByPeer);
  }

  /** The same for a whole list, which a courier asks for at a new address. */
  @Test
  void unfinishedSnapshot_isRequestedAgain() throws IOException, InterruptedException {
    scriptPlatform(
        harness.relocatedPlatform,
        (number, request, connection) -> {
          if (number == 0) {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n{\"seq\":3,");
            scheduler.scheduleAtFixedRate(
                () -> connection.write(" "), 0, TRICKLE_INTERVAL_MS, TimeUnit.MILLISECONDS);
          } else if (request.requestLine().contains("watch=1")) {
            connection.write(WATCH_RESPONSE_HEAD);
            connection.writeChunk("\n");
            sendHeartbeats(connection);
          } else {
            connection.respond(
                200,
                "{\"seq\":3,\"whole\":true,\"hosts\":["
                    + CourierHarness.hostEntry("e2", harness.secondEndpoint, "Ready")
                    + "]}\n");
          }
        });
    harness.start();
    harness.await("the watch", () -> harness.watchConnections.size() == 1);
    harness.writeConfiguration(harness.relocatedPlatform.address());
    harness.sendHangupSignal();
    harness.await("the first question", () -> listRequests.size() == 1);
    harness.await("the second", () -> listRequests.size() >= 2);
    final long tookMs =
        TimeUnit.NANOSECONDS.toMillis(
            listRequests.get(1).receivedNs() - listRequests.get(0).receivedNs());
    assertTrue(tookMs < 2 * MAX_RESPONSE_DELAY_MS, "asked again after " + tookMs + " ms");
    assertEquals(202, harness.submit("m1", "safe").status());
    harness.await("the call", () -> harness.secondEndpoint.requests.size() == 1);
  }

  /** A list may come with line ends within; they are not those of what it says. */
  @Test
  void indentedList_isParsed() throws IOException {
    scriptPlatform(
        harness.platform,
        (number, request, connection) -> {
          connection.write(WATCH_RESPONSE_HEAD);
          connection.writeChunk("\n");
          if (number == 0) {
            final String change =
                changeEvent(
                    42,
                    CourierHarness.hostEntry("e2", harness.secondEndpoint, "Ready")
                        + ","
                        + CourierHarness.hostEntry("e1", harness.firstEndpoint, "Gone"));
            connection.writeChunk(change.replace(",", ",\n    ").replace("{", "{\n  "));
          }
          sendHeartbeats(connection);
        });
    harness.start();
    harness.await("the watch", () -> listRequests.size() == 1);
    awaitCallToSecondEndpoint();
    assertEquals(1, listRequests.size(), "the watch stands: " + harness.logLines);
  }

  /** What was broken off is not joined to what comes behind it. */
  @Test
  void truncatedObject_endsWatch() throws IOException {
    scriptPlatform(
        harness.platform,
        (number, request, connection) -> {
          connection.write(WATCH_RESPONSE_HEAD);
          connection.writeChunk("\n");
          if (number == 0) {
            connection.writeChunk("{\"seq\":42,\"whole\":false,\"hosts\":[{\"host\":\"e\n");
            connection.writeChunk(
                changeEvent(43, CourierHarness.hostEntry("e2", harness.secondEndpoint, "Ready")));
          }
          sendHeartbeats(connection);
        });
    harness.start();
    harness.await("another watch", () -> listRequests.size() == 2);
    assertTrue(
        listRequests.get(1).requestLine().contains("after=41"),
        "nothing of it counts: " + listRequests.get(1).requestLine());
  }

  /**
   * Turned away again and again, it asks so often that what could be had from some moment on is
   * known 6 s after it.
   */
  @Test
  void rejectedListRequest_isRetriedSoon() throws IOException {
    scriptPlatform(
        harness.platform,
        (number, request, connection) -> {
          if (number < REJECTED_REQUESTS) {
            connection.respond(503, "");
          } else {
            connection.write(WATCH_RESPONSE_HEAD);
            connection.writeChunk("\n");
            sendHeartbeats(connection);
          }
        });
    harness.start();
    harness.await("the watch that is answered", () -> listRequests.size() > REJECTED_REQUESTS);
    for (int number = 1; number <= REJECTED_REQUESTS; number++) {
      final long gapMs = requestedAfterMs(listRequests.get(number - 1).receivedNs(), number);
      assertTrue(
          gapMs <= MAX_STALENESS_MS - 2 * MAX_RESPONSE_DELAY_MS,
          "asked after " + gapMs + " ms, the time before question " + number);
    }
  }

  /**
   * On sockets nobody pushes: a list that the settings call pushed comes over a watch all the same.
   */
  @Test
  void pushedMode_isWatched() throws IOException {
    harness.discoveryMode = "pushed";
    harness.start();
    harness.await("the watch", () -> harness.watchConnections.size() == 1);
    harness.sendEndpointChange(
        42,
        CourierHarness.hostEntry("e2", harness.secondEndpoint, "Ready")
            + ","
            + CourierHarness.hostEntry("e1", harness.firstEndpoint, "Gone"));
    awaitCallToSecondEndpoint();
  }
}
