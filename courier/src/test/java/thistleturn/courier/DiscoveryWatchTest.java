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
 * The watch on the endpoint list when it is unresponsive, slow, truncated or formatted unusually.
 */
@Tag("crossings")
@Timeout(120)
final class DiscoveryWatchTest {
  private static final String WATCH_RESPONSE_HEAD =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** A change that an unresponsive watch misses must be known after this time. */
  private static final long MAX_STALENESS_MS = 6000;

  /** The discovery service may delay a response by this time. */
  private static final long MAX_RESPONSE_DELAY_MS = 2000;

  private static final long TRICKLE_INTERVAL_MS = 100;
  private static final long HEARTBEAT_INTERVAL_MS = 2000;

  /** Enough for an exponential backoff to reach its limit. */
  private static final int REJECTED_REQUESTS = 5;

  @TempDir private Path workDirectory;
  private CourierHarness harness;
  private ScheduledExecutorService scheduler;

  /** The requests for the list, in order. */
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

  /** How the platform responds to each request for the list. */
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

  /** Waits until a message is sent to the endpoint that the update added. */
  private void awaitCallToSecondEndpoint() {
    harness.await(
        "a call to the added endpoint",
        () -> {
          try {
            return harness.submit("m" + System.nanoTime(), "safe").status() == 202
                && !harness.secondEndpoint.requests.isEmpty();
          } catch (final IOException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  /** Detection, connecting and a delayed response must together fit into the staleness limit. */
  @Test
  void unresponsiveWatch_isReplacedWithinMaximumStaleness() throws IOException {
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
    final long unresponsiveSinceNs = System.nanoTime();
    harness.await("the second watch", () -> listRequests.size() == 2);
    final long atMs = requestedAfterMs(unresponsiveSinceNs, 1) + MAX_RESPONSE_DELAY_MS;
    assertTrue(
        atMs < MAX_STALENESS_MS,
        "the change was known " + atMs + " ms after the watch became unresponsive");
    awaitCallToSecondEndpoint();
  }

  /** Only a complete line is a heartbeat. */
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
    final long unresponsiveSinceNs = System.nanoTime();
    harness.await("another watch", () -> listRequests.size() == 2);
    assertTrue(
        requestedAfterMs(unresponsiveSinceNs, 1) < MAX_STALENESS_MS - MAX_RESPONSE_DELAY_MS,
        "requested after " + requestedAfterMs(unresponsiveSinceNs, 1) + " ms");
    harness.await(
        "the end of the first watch", () -> listRequests.get(0).connection().closedByPeer);
  }

  /** The response to the snapshot request at a new address never ends. */
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
    harness.await("the first request", () -> listRequests.size() == 1);
    harness.await("the second request", () -> listRequests.size() >= 2);
    final long tookMs =
        TimeUnit.NANOSECONDS.toMillis(
            listRequests.get(1).receivedNs() - listRequests.get(0).receivedNs());
    assertTrue(tookMs < 2 * MAX_RESPONSE_DELAY_MS, "requested again after " + tookMs + " ms");
    assertEquals(202, harness.submit("m1", "safe").status());
    harness.await("the call", () -> harness.secondEndpoint.requests.size() == 1);
  }

  /** Line ends within an object are not heartbeats. */
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
    assertEquals(1, listRequests.size(), "the watch was replaced: " + harness.logLines);
  }

  /** A truncated object is not joined with what follows it. */
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
        "part of the truncated object was applied: " + listRequests.get(1).requestLine());
  }

  /** However often the request is rejected, the retries meet the staleness limit. */
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
          "request " + number + " came after " + gapMs + " ms");
    }
  }

  /** Nothing is pushed over sockets, so that the list is watched in this mode, too. */
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
