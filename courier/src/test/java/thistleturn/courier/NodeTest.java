package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A courier process over loopback sockets: the guarantees of its protocol, and the faults of a
 * network.
 */
@Timeout(120)
final class NodeTest extends HarnessScenario {
  private static final long MAX_SHUTDOWN_MS = 3700;

  private static List<String> idsAt(final FakeHttpServer server) {
    return server.requests.stream().map(request -> request.header("X-Request-ID")).toList();
  }

  @Test
  void submittedMessage_isAcceptedAndDeliveredUnchanged() throws IOException {
    harness.start();
    assertEquals(200, harness.send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status());
    assertEquals(
        202,
        harness
            .send(CourierHarness.submitRequest("m1", "keyed", "\u00ff\u0000 any bytes"))
            .status());
    harness.await("the call", () -> harness.firstEndpoint.requests.size() == 1);
    final FakeHttpServer.Request call = harness.firstEndpoint.requests.get(0);
    assertEquals("POST /inbox HTTP/1.1", call.requestLine());
    assertEquals("m1", call.header("X-Request-ID"));
    assertEquals("key-m1", call.header("Idempotency-Key"));
    assertEquals((byte) 0xff, call.body()[0]);
    assertTrue(Long.parseLong(call.header("X-Timeout-Ms")) > 0);
    assertTrue(harness.outcomeReports.isEmpty(), "a delivered message has no outcome report");
  }

  // ---------------------------------------------------------------- restarts

  @Test
  void idempotentMessageInFlightAtKill_isSentAgain() throws IOException, InterruptedException {
    harness.firstEndpoint.script((request, connection) -> {});
    harness.start();
    assertEquals(202, harness.submit("m1", "safe").status());
    harness.await("the call", () -> harness.firstEndpoint.requests.size() == 1);
    harness.firstEndpoint.script((request, connection) -> connection.respond(200, ""));
    harness.killAndRestart();
    harness.await("the second call", () -> harness.firstEndpoint.requests.size() == 2);
    assertEquals(List.of("m1", "m1"), idsAt(harness.firstEndpoint));
    // Another call on the same connection shows that the response to the second one has been read.
    final FakeHttpServer.Connection used = harness.firstEndpoint.requests.get(1).connection();
    for (int count = 0;
        harness.firstEndpoint.requests.stream().filter(one -> one.connection() == used).count() < 2;
        count++) {
      final String id = "more" + count;
      assertEquals(202, harness.submit(id, "safe").status());
      harness.await(id, () -> idsAt(harness.firstEndpoint).contains(id));
    }
    harness.killAndRestart();
    assertEquals(202, harness.submit("last", "safe").status());
    harness.await("the last message", () -> idsAt(harness.firstEndpoint).contains("last"));
    assertEquals(
        2,
        idsAt(harness.firstEndpoint).stream().filter("m1"::equals).count(),
        "a delivered message is not sent again");
  }

  @Test
  void keyedMessageInFlightAtKill_isSentAgainWhileKeyIsRetained()
      throws IOException, InterruptedException {
    harness.firstEndpoint.script((request, connection) -> {});
    harness.start();
    assertEquals(202, harness.submit("m1", "keyed").status());
    harness.await("the call", () -> harness.firstEndpoint.requests.size() == 1);
    harness.firstEndpoint.script((request, connection) -> connection.respond(200, ""));
    harness.killAndRestart();
    harness.await("the second call", () -> harness.firstEndpoint.requests.size() == 2);
    assertEquals("key-m1", harness.firstEndpoint.requests.get(1).header("Idempotency-Key"));
  }

  @Test
  void keyedMessageWhoseKeyMayHaveExpired_isNotSentAgain()
      throws IOException, InterruptedException {
    harness.firstEndpoint.script((request, connection) -> {});
    harness.start();
    assertEquals(202, harness.submit("m1", "brief").status());
    harness.await("the call", () -> harness.firstEndpoint.requests.size() == 1);
    final long calledNs = harness.firstEndpoint.requests.get(0).receivedNs();
    harness.kill();
    harness.await(
        "the key's retention time to pass",
        () -> System.nanoTime() - calledNs > TimeUnit.MILLISECONDS.toNanos(400));
    harness.start();
    harness.await("the outcome report", () -> harness.hasOutcomeReport("m1", "deferred"));
    assertTrue(
        harness.hasOutcomeReport("m1", "again_ms"),
        "the report says when to submit the message again: " + harness.outcomeReports);
    assertEquals(1, harness.firstEndpoint.requests.size());
  }

  @Test
  void nonIdempotentMessageInFlightAtKill_isReportedUndeliverable()
      throws IOException, InterruptedException {
    harness.firstEndpoint.script((request, connection) -> {});
    harness.start();
    assertEquals(202, harness.submit("m1", "once").status());
    harness.await("the call", () -> harness.firstEndpoint.requests.size() == 1);
    harness.killAndRestart();
    harness.await("the outcome report", () -> harness.hasOutcomeReport("m1", "undeliverable"));
    assertEquals(1, harness.firstEndpoint.requests.size());
  }

  @Test
  void unconfirmedOutcomeReport_isRetriedAlsoByNextProcess()
      throws IOException, InterruptedException {
    harness.outcomeResponseStatus = 503;
    harness.firstEndpoint.script((request, connection) -> connection.reset());
    harness.start();
    assertEquals(202, harness.submit("m1", "once").status());
    harness.await("two attempts to report", () -> harness.outcomeReports.size() >= 2);
    harness.kill();
    final int before = harness.outcomeReports.size();
    harness.start();
    harness.await("a report by the next process", () -> harness.outcomeReports.size() > before);
    harness.outcomeResponseStatus = 204;
    final int unconfirmed = harness.outcomeReports.size();
    harness.await(
        "the report that is confirmed", () -> harness.outcomeReports.size() > unconfirmed);
    harness.killAndRestart();
    harness.outcomeResponseStatus = 503;
    assertEquals(202, harness.submit("m2", "once").status());
    harness.await("the next outcome report", () -> harness.hasOutcomeReport("m2", "undeliverable"));
    assertFalse(
        harness.outcomeReports.get(harness.outcomeReports.size() - 1).contains("m1"),
        "a confirmed report is not sent again");
  }

  @Test
  void sigterm_servesForAWhileAndExitsBeforeSigkill() throws IOException, InterruptedException {
    harness.firstEndpoint.script((request, connection) -> {});
    harness.start();
    final Socket idle = harness.connect();
    assertEquals(
        202, CourierHarness.send(idle, CourierHarness.submitRequest("m1", "safe")).status());
    harness.await("the call", () -> harness.firstEndpoint.requests.size() == 1);
    final long termNs = System.nanoTime();
    final Process ending = harness.terminate();
    assertEquals(-1, idle.getInputStream().read(), "an idle client's connection is closed");
    final CourierHarness.Response late = harness.submit("m2", "safe");
    assertEquals(202, late.status());
    assertTrue(late.head().contains("connection: close"), late.head());
    assertTrue(ending.waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
    final long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - termNs);
    assertTrue(tookMs < MAX_SHUTDOWN_MS, "took " + tookMs);
    idle.close();
    harness.firstEndpoint.script((request, connection) -> connection.respond(200, ""));
    final int before = harness.firstEndpoint.requests.size();
    harness.start();
    // Each in its own call or, since both are pending, in a shared one.
    harness.await(
        "the pending messages to be sent",
        () ->
            List.of("m1", "m2").stream()
                .allMatch(
                    id ->
                        harness.firstEndpoint.requests.stream()
                            .skip(before)
                            .anyMatch(
                                call ->
                                    id.equals(call.header("X-Request-ID"))
                                        || call.text().contains(id))));
  }

  // ---------------------------------------------------------------- calls

  @Test
  void callTimedOut_connectionIsClosedBeforeNextAttempt() throws IOException {
    final List<Boolean> closedBefore = new ArrayList<>();
    harness.firstEndpoint.script(
        (request, connection) -> {
          if (harness.firstEndpoint.requests.size() > 1) {
            harness.await(
                "the first connection to be closed",
                () -> harness.firstEndpoint.requests.get(0).connection().closedByPeer);
            closedBefore.add(true);
            connection.respond(200, "");
          }
        });
    harness.start();
    assertEquals(202, harness.submit("m1", "safe").status());
    harness.await("the second attempt", () -> closedBefore.size() == 1);
    assertEquals(List.of("m1", "m1"), idsAt(harness.firstEndpoint));
  }

  @Test
  void connectFailed_nonIdempotentMessageIsRetriedElsewhere() throws IOException {
    final FakeHttpServer closedEndpoint = new FakeHttpServer((request, connection) -> {});
    closedEndpoint.close();
    harness.configuredHosts = CourierHarness.hostEntry("e0", closedEndpoint, "Ready");
    harness.start();
    assertEquals(202, harness.submit("m1", "once").status());
    harness.await("the watch", () -> !harness.watchConnections.isEmpty());
    harness.sendEndpointChange(42, CourierHarness.hostEntry("e1", harness.firstEndpoint, "Ready"));
    harness.await("another endpoint's call", () -> harness.firstEndpoint.requests.size() == 1);
    assertTrue(harness.outcomeReports.isEmpty());
  }

  @Test
  void connectionResetAfterRequest_nonIdempotentMessageFailsAtOnce() throws IOException {
    harness.firstEndpoint.script((request, connection) -> connection.reset());
    harness.start();
    final long submittedNs = System.nanoTime();
    assertEquals(202, harness.submit("m1", "once").status());
    harness.await("the outcome report", () -> harness.hasOutcomeReport("m1", "undeliverable"));
    assertEquals(1, harness.firstEndpoint.requests.size());
    assertTrue(
        System.nanoTime() - submittedNs < TimeUnit.SECONDS.toNanos(15),
        "long before its deadline of 20 s");
  }

  @Test
  void connectionResetAfterStatusLine_messageStaysDelivered() throws IOException {
    harness.firstEndpoint.script(
        (request, connection) -> {
          connection.write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf");
          connection.reset();
        });
    harness.start();
    assertEquals(202, harness.submit("m1", "safe").status());
    harness.await("the call", () -> harness.firstEndpoint.requests.size() == 1);
    harness.firstEndpoint.script((request, connection) -> connection.respond(200, ""));
    assertEquals(202, harness.submit("m2", "safe").status());
    harness.await("the next call", () -> idsAt(harness.firstEndpoint).contains("m2"));
    assertEquals(2, harness.firstEndpoint.requests.size());
  }

  @Test
  void sequentialCalls_reuseConnections() throws IOException {
    harness.start();
    for (int round = 0; round < 5; round++) {
      final int calls = round + 1;
      assertEquals(202, harness.submit("m" + round, "safe").status());
      harness.await("call " + calls, () -> harness.firstEndpoint.requests.size() == calls);
    }
    assertTrue(
        harness.firstEndpoint.connections.size() <= 2,
        "connections: " + harness.firstEndpoint.connections.size());
  }

  @Test
  void retryAfter_appliesToWholeDestination() throws IOException {
    final long waitMs = 1500;
    harness.configuredHosts =
        CourierHarness.hostEntry("e1", harness.firstEndpoint, "Ready")
            + ","
            + CourierHarness.hostEntry("e2", harness.secondEndpoint, "Ready");
    final List<Long> rejectedNs = new ArrayList<>();
    final List<Long> deliveredNs = new ArrayList<>();
    final var script =
        (java.util.function.BiConsumer<FakeHttpServer.Request, FakeHttpServer.Connection>)
            (request, connection) -> {
              synchronized (rejectedNs) {
                if (rejectedNs.isEmpty()) {
                  rejectedNs.add(System.nanoTime());
                  connection.respond(429, "", "Retry-After: 1.5");
                } else {
                  deliveredNs.add(request.receivedNs());
                  connection.respond(200, "");
                }
              }
            };
    harness.firstEndpoint.script(script);
    harness.secondEndpoint.script(script);
    harness.start();
    assertEquals(202, harness.submit("m0", "safe").status());
    harness.await("the response with Retry-After", () -> !rejectedNs.isEmpty());
    for (int count = 1; count < 5; count++) {
      assertEquals(202, harness.submit("m" + count, "safe").status());
    }
    harness.await("a call after the wait", () -> !deliveredNs.isEmpty());
    final long tookMs = TimeUnit.NANOSECONDS.toMillis(deliveredNs.get(0) - rejectedNs.get(0));
    assertTrue(tookMs >= waitMs, "sent after " + tookMs);
  }

  @Test
  void bulkCall_eachMessageEndsByItsOwnState() throws IOException {
    final List<FakeHttpServer.Request> bulks = new ArrayList<>();
    harness.firstEndpoint.script(
        (request, connection) -> {
          if (request.requestLine().contains("/inbox/bulk")) {
            bulks.add(request);
            connection.respond(
                200,
                "[{\"id\":\"ok\",\"state\":\"accepted\"},{\"id\":\"bad\",\"state\":\"fault\"},"
                    + "{\"id\":\"off\",\"state\":\"deferred\"},{\"id\":\"old\",\"state\":\"expired\"}]");
          } else if (harness.firstEndpoint.requests.size() == 1) {
            connection.respond(429, "", "Retry-After: 1");
          } else {
            connection.respond(200, "");
          }
        });
    harness.start();
    assertEquals(202, harness.submit("off", "brief").status());
    harness.await(
        "the response with Retry-After", () -> harness.firstEndpoint.requests.size() == 1);
    for (final String id : List.of("ok", "bad", "old")) {
      assertEquals(202, harness.submit(id, "brief").status());
    }
    harness.await(
        "all outcomes",
        () ->
            harness.hasOutcomeReport("bad", "deferred")
                && harness.firstEndpoint.requests.size() >= 3
                && "off"
                    .equals(
                        harness
                            .firstEndpoint
                            .requests
                            .get(harness.firstEndpoint.requests.size() - 1)
                            .header("X-Request-ID")));
    assertEquals(1, bulks.size());
    assertTrue(bulks.get(0).text().contains("\"body\":\"aGVsbG8=\""), bulks.get(0).text());
    assertEquals(
        1,
        harness.outcomeReports.size(),
        "only the message that may have been executed is reported: " + harness.outcomeReports);
  }

  // ---------------------------------------------------------------- the endpoint list

  @Test
  void drainingEndpoint_getsNoNewCalls() throws IOException {
    harness.configuredHosts =
        CourierHarness.hostEntry("e1", harness.firstEndpoint, "Ready")
            + ","
            + CourierHarness.hostEntry("e2", harness.secondEndpoint, "Ready");
    harness.start();
    harness.await("the watch", () -> !harness.watchConnections.isEmpty());
    // In two parts: a line may arrive in several reads.
    final String line =
        "{\"seq\":42,\"whole\":false,\"hosts\":["
            + CourierHarness.hostEntry("e1", harness.firstEndpoint, "Terminating")
            + "]}\n";
    harness.watchConnections.get(0).writeChunk(line.substring(0, 30));
    harness.watchConnections.get(0).writeChunk(line.substring(30));
    harness.sendEndpointChange(43, CourierHarness.hostEntry("e3", harness.firstEndpoint, "Gone"));
    assertEquals(202, harness.submit("warm", "safe").status());
    harness.await(
        "the first call after the changes",
        () -> harness.secondEndpoint.requests.size() + harness.firstEndpoint.requests.size() == 1);
    final int before = harness.firstEndpoint.requests.size();
    for (int round = 0; round < 6; round++) {
      final int calls = round + 2;
      assertEquals(202, harness.submit("m" + round, "safe").status());
      harness.await(
          "call " + calls,
          () ->
              harness.secondEndpoint.requests.size() + harness.firstEndpoint.requests.size()
                  == calls);
    }
    assertEquals(before, harness.firstEndpoint.requests.size());
  }

  @Test
  void brokenWatch_resumesAfterLastSequenceNumber() throws IOException {
    harness.start();
    harness.await("the watch", () -> harness.watchConnections.size() == 1);
    assertTrue(harness.platform.requests.get(0).requestLine().contains("after=41"));
    harness.sendEndpointChange(42, CourierHarness.hostEntry("e2", harness.secondEndpoint, "Ready"));
    harness.sendEndpointChange(43, CourierHarness.hostEntry("e1", harness.firstEndpoint, "Gone"));
    assertEquals(202, harness.submit("m1", "safe").status());
    harness.await(
        "the call",
        () -> harness.secondEndpoint.requests.size() + harness.firstEndpoint.requests.size() == 1);
    harness.watchConnections.get(0).reset();
    harness.await("the next watch", () -> harness.watchConnections.size() == 2);
    final int last = harness.platform.requests.size() - 1;
    assertTrue(harness.platform.requests.get(last).requestLine().contains("after=43"));
  }

  @Test
  void unresponsiveWatch_isClosedAndReopened() throws IOException {
    harness.start();
    harness.await("the watch", () -> harness.watchConnections.size() == 1);
    harness.await("the next watch", () -> harness.watchConnections.size() == 2);
    harness.await(
        "the end of the unresponsive watch", () -> harness.watchConnections.get(0).closedByPeer);
  }

  @Test
  void unparsableWatchEvent_endsTheWatchButNotTheCourier() throws IOException {
    harness.start();
    harness.await("the watch", () -> harness.watchConnections.size() == 1);
    harness.watchConnections.get(0).writeChunk("{\"seq\":42,\"hosts\":[{\"host\":\"e9\"\n");
    harness.await("the next watch", () -> harness.watchConnections.size() == 2);
    assertEquals(202, harness.submit("m1", "safe").status());
    harness.await("the call", () -> harness.firstEndpoint.requests.size() == 1);
  }

  // ---------------------------------------------------------------- clients

  @Test
  void invalidRequests_areRejectedAndNotAccepted() throws IOException {
    harness.start();
    final String good = CourierHarness.submitRequest("bad", "keyed");
    final List<String> bad =
        List.of(
            "what is this\r\n\r\n",
            good.replace("POST /keyed", "POST /unheard"),
            good.replace("POST", "GET"),
            good.replace("X-Priority-Class: keyed", "X-Priority-Class: safe"),
            good.replace("X-Request-ID: bad\r\n", ""),
            good.replace("X-Timeout-Ms: 20000", "X-Timeout-Ms: soon"),
            good.replace("20000", "-1"),
            good.replace("dest=7", "dest=x"),
            good.replace("X-Consignee: dest=7\r\n", ""),
            good.replace("Idempotency-Key: key-bad\r\n", ""),
            good.replace("Length: 5", "Length: -5"),
            good.replace("Length: 5", "Length: 99999999999999999999"),
            CourierHarness.submitRequest("bad", "keyed", "x".repeat((1 << 16) + 1)),
            "GET /" + "x".repeat(20_000) + " HTTP/1.1\r\n\r\n",
            good.replace("Host: backend.local", "Host: " + "x".repeat(20_000)));
    for (final String raw : bad) {
      final int status = harness.send(raw).status();
      assertTrue(status >= 400 && status < 500, status + " for " + raw.lines().limit(8).toList());
    }
    try (Socket half = harness.connect()) {
      half.getOutputStream()
          .write(
              good.substring(0, good.length() - 2)
                  .getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
    }
    assertEquals(202, harness.submit("m1", "safe").status());
    harness.await(
        "the call with the valid message", () -> harness.firstEndpoint.requests.size() == 1);
    assertEquals(List.of("m1"), idsAt(harness.firstEndpoint));
    assertTrue(harness.outcomeReports.isEmpty());
  }

  @Test
  void largestAllowedBody_isAccepted() throws IOException {
    harness.start();
    assertEquals(
        202,
        harness.send(CourierHarness.submitRequest("m1", "safe", "x".repeat(1 << 16))).status());
    harness.await("the call", () -> harness.firstEndpoint.requests.size() == 1);
    assertEquals(1 << 16, harness.firstEndpoint.requests.get(0).body().length);
  }

  @Test
  void pipelinedRequests_areAnsweredInOrder() throws IOException {
    harness.start();
    try (Socket socket = harness.connect()) {
      final String three =
          CourierHarness.submitRequest("m1", "safe")
              + "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
              + CourierHarness.submitRequest("m2", "unheard");
      assertEquals(202, CourierHarness.send(socket, three).status());
      assertEquals(200, CourierHarness.readResponse(socket.getInputStream()).status());
      assertEquals(404, CourierHarness.readResponse(socket.getInputStream()).status());
    }
  }

  @Test
  void idOfPendingMessage_isRejectedWith409() throws IOException {
    harness.firstEndpoint.script((request, connection) -> {});
    harness.start();
    assertEquals(202, harness.submit("m1", "safe").status());
    assertEquals(409, harness.submit("m1", "safe").status());
  }

  @Test
  void fullStore_rejectsInsteadOfLosingMessages() throws IOException {
    harness.maxOpenConnections = 3;
    harness.firstEndpoint.script((request, connection) -> {});
    harness.start();
    final List<Integer> statuses = new ArrayList<>();
    for (int count = 0; count < 8; count++) {
      final CourierHarness.Response response = harness.submit("m" + count, "once");
      statuses.add(response.status());
      assertTrue(
          response.status() == 202 || response.head().contains("retry-after"), response.head());
    }
    final long accepted = statuses.stream().filter(status -> status == 202).count();
    assertTrue(accepted >= 2 && accepted <= 3 + harness.outcomeReports.size(), statuses.toString());
    assertTrue(
        statuses.stream().allMatch(status -> status == 202 || status == 429 || status == 503));
  }

  @Test
  void fullJournal_rejectsInsteadOfAccepting() throws IOException {
    harness.diskMb = 1;
    harness.firstEndpoint.script((request, connection) -> {});
    harness.start();
    final List<Integer> statuses = new ArrayList<>();
    for (int count = 0; count < 20; count++) {
      statuses.add(
          harness
              .send(CourierHarness.submitRequest("m" + count, "once", "x".repeat(50_000)))
              .status());
    }
    assertEquals(202, statuses.get(0));
    assertEquals(503, statuses.get(statuses.size() - 1));
  }

  // ---------------------------------------------------------------- startup

  @Test
  void invalidSetting_startFailsWithOneLogLine() throws IOException, InterruptedException {
    harness.extraSetting = "\"step\":5000,\"goal\":{\"whole\":0.5}";
    harness.maxOpenConnections = 0;
    final Process process = harness.launch();
    assertTrue(process.waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
    assertEquals(1, process.exitValue());
    harness.await("the log line", () -> !harness.logLines.isEmpty());
    assertEquals(1, harness.logLines.size(), harness.logLines.toString());
    assertTrue(
        harness
            .logLines
            .get(0)
            .contains("the maximum of pending messages must be at least 1, not 0"),
        harness.logLines.toString());
  }

  @Test
  void invalidEndpointAddress_startFails() throws IOException, InterruptedException {
    harness.configuredHosts = CourierHarness.hostEntry("e1", "nowhere", "Ready");
    final Process process = harness.launch();
    assertTrue(process.waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
    assertEquals(1, process.exitValue());
    harness.await("the log line", () -> !harness.logLines.isEmpty());
    assertTrue(
        harness.logLines.get(0).contains("'dial' is no address: 'nowhere'"),
        harness.logLines.toString());
  }
}
