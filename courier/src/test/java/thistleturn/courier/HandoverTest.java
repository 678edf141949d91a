package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.testkit.FreePorts;

/**
 * A newer process takes over from the serving one; clients, endpoints and the platform see a single
 * courier.
 */
@Tag("operators")
@Timeout(120)
final class HandoverTest {
  @TempDir private Path folder;
  private CourierHarness older;
  private CourierHarness newer;

  @BeforeEach
  void startOlderProcess() throws IOException {
    older = new CourierHarness(folder);
    older.operatorPortEnabled = true;
    older.listenPort = FreePorts.next();
    older.start();
    newer = older.successor();
  }

  @AfterEach
  void stopProcesses() throws IOException {
    newer.close();
    older.close();
  }

  private static Set<String> requestIds(final FakeHttpServer server) {
    final Set<String> ids = new HashSet<>();
    server.requests.forEach(request -> ids.add(request.header("X-Request-ID")));
    return ids;
  }

  @Test
  void callInFlightAtHandover_endsThroughOlderProcess() throws IOException, InterruptedException {
    older.firstEndpoint.script((request, connection) -> {});
    assertEquals(202, older.submit("out", "once").status());
    older.await("the call", () -> older.firstEndpoint.requests.size() == 1);
    final FakeHttpServer.Request heldCall = older.firstEndpoint.requests.get(0);
    older.firstEndpoint.script((request, connection) -> connection.respond(200, ""));
    newer.start();
    assertTrue(newer.sendOperatorRequest("GET", "/-/ready").startsWith("HTTP/1.1 200"));
    newer.await(
        "the call in flight in the newer process's metrics",
        () -> newer.sendOperatorRequest("GET", "/-/metrics").contains("svc_in_flight 1\n"));
    heldCall.connection().respond(200, "");
    newer.await(
        "the outcome in the newer process's metrics",
        () ->
            newer
                .sendOperatorRequest("GET", "/-/metrics")
                .contains("svc_requests_total{class=\"once\",outcome=\"served\"} 1\n"));
    assertTrue(older.terminate().waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
    assertEquals(202, newer.submit("later", "once").status());
    newer.await("the next call", () -> older.firstEndpoint.requests.size() == 2);
    assertTrue(
        older.outcomeReports.isEmpty(),
        () -> "a delivered message was reported: " + older.outcomeReports);
  }

  @Test
  void clientOnOldConnection_isServedThroughOlderProcess() throws IOException {
    try (Socket oldConnection = older.connect()) {
      assertEquals(
          202,
          CourierHarness.send(oldConnection, CourierHarness.submitRequest("m1", "safe")).status());
      older.await(
          "the first outcome",
          () -> older.sendOperatorRequest("GET", "/-/metrics").contains("svc_in_flight 0\n"));
      newer.start();
      final CourierHarness.Response response =
          CourierHarness.send(oldConnection, CourierHarness.submitRequest("m2", "safe"));
      assertEquals(202, response.status());
      assertTrue(response.head().contains("connection: close"), response.head());
      assertEquals(
          -1,
          oldConnection.getInputStream().read(),
          "expected a close, so that the client reconnects to the newer process");
    }
    newer.await("both calls", () -> requestIds(older.firstEndpoint).equals(Set.of("m1", "m2")));
    newer.await(
        "the second outcome in the newer process",
        () ->
            newer
                .sendOperatorRequest("GET", "/-/metrics")
                .contains("svc_requests_total{class=\"safe\",outcome=\"served\"} 1\n"));
  }

  @Test
  void retryAfterSeenByOlderProcess_bindsNewerProcess() throws IOException {
    older.firstEndpoint.script(
        (request, connection) ->
            connection.write("HTTP/1.1 429 x\r\nRetry-After: 1.500\r\nContent-Length: 0\r\n\r\n"));
    assertEquals(202, older.submit("m1", "safe").status());
    older.await("the call", () -> older.firstEndpoint.requests.size() == 1);
    older.await(
        "the response",
        () -> older.sendOperatorRequest("GET", "/-/metrics").contains("svc_attempts_total 1\n"));
    older.firstEndpoint.script((request, connection) -> connection.respond(200, ""));
    newer.start();
    newer.await("the next call", () -> older.firstEndpoint.requests.size() == 2);
    final long waitedMs =
        (older.firstEndpoint.requests.get(1).receivedNs()
                - older.firstEndpoint.requests.get(0).receivedNs())
            / 1_000_000;
    assertTrue(waitedMs >= 1500, "the next call came after " + waitedMs + " ms");
  }

  @Test
  void olderProcessKilled_onlyIdempotentCallIsRetried() throws IOException, InterruptedException {
    older.firstEndpoint.script((request, connection) -> {});
    assertEquals(202, older.submit("once", "once").status());
    assertEquals(202, older.submit("safe", "safe").status());
    older.await("the calls", () -> older.firstEndpoint.requests.size() == 2);
    newer.start();
    older.firstEndpoint.script((request, connection) -> connection.respond(200, ""));
    older.kill();
    newer.await(
        "the outcome of the non-idempotent message",
        () -> newer.hasOutcomeReport("once", "undeliverable"));
    newer.await(
        "the retry of the idempotent message", () -> older.firstEndpoint.requests.size() == 3);
    assertEquals("safe", older.firstEndpoint.requests.get(2).header("X-Request-ID"));
  }

  @Test
  void handoverUnderLoad_rejectsNoClientAndDuplicatesNothing()
      throws IOException, InterruptedException {
    final Set<String> sent = new HashSet<>();
    final Thread upgrade =
        new Thread(
            () -> {
              try {
                newer.start();
                older.terminate().waitFor();
              } catch (final IOException | InterruptedException e) {
                throw new IllegalStateException(e);
              }
            });
    upgrade.start();
    for (int number = 0; upgrade.isAlive() || number < 200; number++) {
      sent.add("u" + number);
      assertEquals(202, older.submit("u" + number, "once").status(), "message " + number);
      // One by one: messages that wait together are sent in one call.
      newer.await("its call", () -> older.firstEndpoint.requests.size() >= sent.size());
    }
    newer.await("all calls", () -> requestIds(older.firstEndpoint).equals(sent));
    assertEquals(sent.size(), older.firstEndpoint.requests.size(), "expected no duplicate calls");
    assertTrue(
        older.outcomeReports.isEmpty(),
        () -> "expected all messages to be delivered: " + older.outcomeReports);
  }

  @Test
  void newerProcessKilled_olderProcessResumes() throws IOException, InterruptedException {
    older.firstEndpoint.script((request, connection) -> {});
    assertEquals(202, older.submit("out", "once").status());
    older.await("the call", () -> older.firstEndpoint.requests.size() == 1);
    newer.start();
    assertEquals(202, newer.submit("its-own", "once").status());
    newer.await("its call", () -> older.firstEndpoint.requests.size() == 2);
    older.firstEndpoint.script((request, connection) -> connection.respond(200, ""));
    newer.kill();
    older.await(
        "the older process to resume",
        () -> older.logLines.stream().filter(l -> l.contains("is ready at")).count() == 2);
    older.await(
        "the outcome of the call of the newer process",
        () -> older.hasOutcomeReport("its-own", "undeliverable"));
    older.firstEndpoint.requests.get(0).connection().respond(200, "");
    older.await(
        "the outcome of its own call",
        () ->
            older
                .sendOperatorRequest("GET", "/-/metrics")
                .contains("svc_requests_total{class=\"once\",outcome=\"served\"} 1\n"));
    assertEquals(202, older.submit("m3", "safe").status());
    older.await("the next call", () -> requestIds(older.firstEndpoint).contains("m3"));
    try (CourierHarness third = newer.successor()) {
      third.start();
      assertTrue(older.terminate().waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
      assertEquals(202, third.submit("m4", "safe").status());
      third.await("a call of the third", () -> requestIds(older.firstEndpoint).contains("m4"));
    }
    assertFalse(older.hasOutcomeReport("out", "undeliverable"));
  }

  @Test
  void twoHandoversInARow_thirdProcessDelivers() throws IOException, InterruptedException {
    newer.start();
    assertTrue(older.terminate().waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
    try (CourierHarness third = newer.successor()) {
      third.start();
      assertTrue(newer.terminate().waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
      assertEquals(202, third.submit("m1", "safe").status());
      third.await("the call", () -> older.firstEndpoint.requests.size() == 1);
      assertFalse(
          List.copyOf(third.logLines).stream().anyMatch(line -> line.contains("Exception")),
          third.logLines::toString);
    }
  }

  /**
   * The newer process reads the configuration while it waits for the older one to hand over, when
   * it cannot apply the change yet.
   */
  @Test
  void reloadDuringHandover_isAppliedByNewerProcess() throws Exception {
    older.relocatedHosts = CourierHarness.hostEntry("e2", older.secondEndpoint, "Ready");
    final CourierServer next =
        CourierServer.start(
            Map.of(
                "PROXY_CONFIG",
                newer.writeConfiguration(older.platform.address()).toString(),
                "PROXY_STATE",
                folder.resolve("state").toString(),
                "PROXY_OPERATOR",
                "127.0.0.1:0"));
    try {
      newer.writeConfiguration(older.relocatedPlatform.address());
      next.reload();
      next.ready().get(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS);
      older.await(
          "the watch at the new address",
          () ->
              older.relocatedPlatform.requests.stream()
                  .anyMatch(request -> request.requestLine().contains("after=3")));
    } finally {
      next.kill();
    }
  }
}
