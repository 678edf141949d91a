package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The real courier over loopback sockets: what the protocol promises, and what goes wrong on a
 * network.
 */
@Timeout(120)
final class NodeTest {
  private static final long STOP_LIMIT_MS = 3700;

  @TempDir private Path folder;
  private CourierHarness rig;

  @BeforeEach
  void build() throws IOException {
    rig = new CourierHarness(folder);
  }

  @AfterEach
  void end() throws IOException {
    rig.close();
  }

  private static List<String> idsAt(final FakeHttpServer server) {
    return server.requests.stream().map(request -> request.header("X-Request-ID")).toList();
  }

  @Test
  void takesAMessageOnAndDeliversItUnchanged() throws IOException {
    rig.start();
    assertEquals(200, rig.send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status());
    assertEquals(
        202,
        rig.send(CourierHarness.submitRequest("m1", "keyed", "\u00ff\u0000 any bytes")).status());
    rig.await("the call", () -> rig.firstEndpoint.requests.size() == 1);
    final FakeHttpServer.Request call = rig.firstEndpoint.requests.get(0);
    assertEquals("POST /inbox HTTP/1.1", call.requestLine());
    assertEquals("m1", call.header("X-Request-ID"));
    assertEquals("key-m1", call.header("Idempotency-Key"));
    assertEquals((byte) 0xff, call.body()[0]);
    assertTrue(Long.parseLong(call.header("X-Timeout-Ms")) > 0);
    assertTrue(rig.outcomeReports.isEmpty(), "a message that is delivered is owed nothing");
  }

  // ---------------------------------------------------------------- restarts

  @Test
  void aSafeMessageThatWasOutAtAKillGoesAgain() throws IOException, InterruptedException {
    rig.firstEndpoint.script((request, connection) -> {});
    rig.start();
    assertEquals(202, rig.submit("m1", "safe").status());
    rig.await("the call", () -> rig.firstEndpoint.requests.size() == 1);
    rig.firstEndpoint.script((request, connection) -> connection.respond(200, ""));
    rig.killAndRestart();
    rig.await("the second call", () -> rig.firstEndpoint.requests.size() == 2);
    assertEquals(List.of("m1", "m1"), idsAt(rig.firstEndpoint));
    // Another call on the same connection shows that the answer to the second one has been read.
    final FakeHttpServer.Connection used = rig.firstEndpoint.requests.get(1).connection();
    for (int count = 0;
        rig.firstEndpoint.requests.stream().filter(one -> one.connection() == used).count() < 2;
        count++) {
      final String id = "more" + count;
      assertEquals(202, rig.submit(id, "safe").status());
      rig.await(id, () -> idsAt(rig.firstEndpoint).contains(id));
    }
    rig.killAndRestart();
    assertEquals(202, rig.submit("last", "safe").status());
    rig.await("the last message", () -> idsAt(rig.firstEndpoint).contains("last"));
    assertEquals(
        2,
        idsAt(rig.firstEndpoint).stream().filter("m1"::equals).count(),
        "delivered, it does not go again");
  }

  @Test
  void aKeyedMessageGoesAgainAfterAKillWhileItsKeyIsHeld()
      throws IOException, InterruptedException {
    rig.firstEndpoint.script((request, connection) -> {});
    rig.start();
    assertEquals(202, rig.submit("m1", "keyed").status());
    rig.await("the call", () -> rig.firstEndpoint.requests.size() == 1);
    rig.firstEndpoint.script((request, connection) -> connection.respond(200, ""));
    rig.killAndRestart();
    rig.await("the second call", () -> rig.firstEndpoint.requests.size() == 2);
    assertEquals("key-m1", rig.firstEndpoint.requests.get(1).header("Idempotency-Key"));
  }

  @Test
  void aKeyedMessageWhoseKeyMayBeForgottenDoesNotGoAgain()
      throws IOException, InterruptedException {
    rig.firstEndpoint.script((request, connection) -> {});
    rig.start();
    assertEquals(202, rig.submit("m1", "brief").status());
    rig.await("the call", () -> rig.firstEndpoint.requests.size() == 1);
    final long calledNs = rig.firstEndpoint.requests.get(0).receivedNs();
    rig.kill();
    rig.await(
        "the key's window to pass",
        () -> System.nanoTime() - calledNs > TimeUnit.MILLISECONDS.toNanos(400));
    rig.start();
    rig.await("its notice", () -> rig.hasOutcomeReport("m1", "deferred"));
    assertTrue(
        rig.hasOutcomeReport("m1", "again_ms"),
        "it tells when to come again: " + rig.outcomeReports);
    assertEquals(1, rig.firstEndpoint.requests.size());
  }

  @Test
  void anUnsafeMessageThatWasOutAtAKillIsFailed() throws IOException, InterruptedException {
    rig.firstEndpoint.script((request, connection) -> {});
    rig.start();
    assertEquals(202, rig.submit("m1", "once").status());
    rig.await("the call", () -> rig.firstEndpoint.requests.size() == 1);
    rig.killAndRestart();
    rig.await("its notice", () -> rig.hasOutcomeReport("m1", "undeliverable"));
    assertEquals(1, rig.firstEndpoint.requests.size());
  }

  @Test
  void aNoticeIsSentUntilItIsConfirmedAlsoByTheNextProcess()
      throws IOException, InterruptedException {
    rig.outcomeResponseStatus = 503;
    rig.firstEndpoint.script((request, connection) -> connection.reset());
    rig.start();
    assertEquals(202, rig.submit("m1", "once").status());
    rig.await("two tries", () -> rig.outcomeReports.size() >= 2);
    rig.kill();
    final int before = rig.outcomeReports.size();
    rig.start();
    rig.await("a try by the next process", () -> rig.outcomeReports.size() > before);
    rig.outcomeResponseStatus = 204;
    final int refused = rig.outcomeReports.size();
    rig.await("the one that is confirmed", () -> rig.outcomeReports.size() > refused);
    rig.killAndRestart();
    rig.outcomeResponseStatus = 503;
    assertEquals(202, rig.submit("m2", "once").status());
    rig.await("the next notice", () -> rig.hasOutcomeReport("m2", "undeliverable"));
    assertFalse(
        rig.outcomeReports.get(rig.outcomeReports.size() - 1).contains("m1"),
        "confirmed is confirmed");
  }

  @Test
  void onSigtermItServesOnForAWhileAndEndsBeforeTheKill() throws IOException, InterruptedException {
    rig.firstEndpoint.script((request, connection) -> {});
    rig.start();
    final Socket idle = rig.connect();
    assertEquals(
        202, CourierHarness.send(idle, CourierHarness.submitRequest("m1", "safe")).status());
    rig.await("the call", () -> rig.firstEndpoint.requests.size() == 1);
    final long termNs = System.nanoTime();
    final Process ending = rig.terminate();
    assertEquals(-1, idle.getInputStream().read(), "an idle client's connection is closed");
    final CourierHarness.Response late = rig.submit("m2", "safe");
    assertEquals(202, late.status());
    assertTrue(late.head().contains("connection: close"), late.head());
    assertTrue(ending.waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
    final long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - termNs);
    assertTrue(tookMs < STOP_LIMIT_MS, "took " + tookMs);
    idle.close();
    rig.firstEndpoint.script((request, connection) -> connection.respond(200, ""));
    final int before = rig.firstEndpoint.requests.size();
    rig.start();
    // Alone or, since both wait, in one call.
    rig.await(
        "what was held goes on",
        () ->
            List.of("m1", "m2").stream()
                .allMatch(
                    id ->
                        rig.firstEndpoint.requests.stream()
                            .skip(before)
                            .anyMatch(
                                call ->
                                    id.equals(call.header("X-Request-ID"))
                                        || call.text().contains(id))));
  }

  // ---------------------------------------------------------------- calls

  @Test
  void theConnectionOfACallThatTimedOutIsClosedBeforeTheNextAttempt() throws IOException {
    final List<Boolean> closedBefore = new ArrayList<>();
    rig.firstEndpoint.script(
        (request, connection) -> {
          if (rig.firstEndpoint.requests.size() > 1) {
            rig.await(
                "the first connection's end",
                () -> rig.firstEndpoint.requests.get(0).connection().closedByPeer);
            closedBefore.add(true);
            connection.respond(200, "");
          }
        });
    rig.start();
    assertEquals(202, rig.submit("m1", "safe").status());
    rig.await("the second attempt", () -> closedBefore.size() == 1);
    assertEquals(List.of("m1", "m1"), idsAt(rig.firstEndpoint));
  }

  @Test
  void anUnsafeMessageIsTriedAgainOnlyWhereTheFirstTryNeverCameUp() throws IOException {
    final FakeHttpServer shut = new FakeHttpServer((request, connection) -> {});
    shut.close();
    rig.configuredHosts = CourierHarness.hostEntry("e0", shut, "Ready");
    rig.start();
    assertEquals(202, rig.submit("m1", "once").status());
    rig.await("the watch", () -> !rig.watchConnections.isEmpty());
    rig.sendEndpointChange(42, CourierHarness.hostEntry("e1", rig.firstEndpoint, "Ready"));
    rig.await("another endpoint's call", () -> rig.firstEndpoint.requests.size() == 1);
    assertTrue(rig.outcomeReports.isEmpty());
  }

  @Test
  void anUnsafeMessageWhoseConnectionBrokeAfterTheLastByteIsFailedAtOnce() throws IOException {
    rig.firstEndpoint.script((request, connection) -> connection.reset());
    rig.start();
    final long handedNs = System.nanoTime();
    assertEquals(202, rig.submit("m1", "once").status());
    rig.await("its notice", () -> rig.hasOutcomeReport("m1", "undeliverable"));
    assertEquals(1, rig.firstEndpoint.requests.size());
    assertTrue(
        System.nanoTime() - handedNs < TimeUnit.SECONDS.toNanos(15), "long before its 20 s are up");
  }

  @Test
  void aDeliveredMessageStaysDeliveredIfItsConnectionBreaksBehindTheFirstLine() throws IOException {
    rig.firstEndpoint.script(
        (request, connection) -> {
          connection.write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf");
          connection.reset();
        });
    rig.start();
    assertEquals(202, rig.submit("m1", "safe").status());
    rig.await("the call", () -> rig.firstEndpoint.requests.size() == 1);
    rig.firstEndpoint.script((request, connection) -> connection.respond(200, ""));
    assertEquals(202, rig.submit("m2", "safe").status());
    rig.await("the next", () -> idsAt(rig.firstEndpoint).contains("m2"));
    assertEquals(2, rig.firstEndpoint.requests.size());
  }

  @Test
  void connectionsAreUsedAgain() throws IOException {
    rig.start();
    for (int round = 0; round < 5; round++) {
      final int calls = round + 1;
      assertEquals(202, rig.submit("m" + round, "safe").status());
      rig.await("call " + calls, () -> rig.firstEndpoint.requests.size() == calls);
    }
    assertTrue(
        rig.firstEndpoint.connections.size() <= 2,
        "connections: " + rig.firstEndpoint.connections.size());
  }

  @Test
  void aToldWaitBindsTheWholeDestination() throws IOException {
    final long waitMs = 1500;
    rig.configuredHosts =
        CourierHarness.hostEntry("e1", rig.firstEndpoint, "Ready")
            + ","
            + CourierHarness.hostEntry("e2", rig.secondEndpoint, "Ready");
    final List<Long> toldNs = new ArrayList<>();
    final List<Long> laterNs = new ArrayList<>();
    final var script =
        (java.util.function.BiConsumer<FakeHttpServer.Request, FakeHttpServer.Connection>)
            (request, connection) -> {
              synchronized (toldNs) {
                if (toldNs.isEmpty()) {
                  toldNs.add(System.nanoTime());
                  connection.respond(429, "", "Retry-After: 1.5");
                } else {
                  laterNs.add(request.receivedNs());
                  connection.respond(200, "");
                }
              }
            };
    rig.firstEndpoint.script(script);
    rig.secondEndpoint.script(script);
    rig.start();
    assertEquals(202, rig.submit("m0", "safe").status());
    rig.await("the wait", () -> !toldNs.isEmpty());
    for (int count = 1; count < 5; count++) {
      assertEquals(202, rig.submit("m" + count, "safe").status());
    }
    rig.await("what waited", () -> !laterNs.isEmpty());
    final long tookMs = TimeUnit.NANOSECONDS.toMillis(laterNs.get(0) - toldNs.get(0));
    assertTrue(tookMs >= waitMs, "sent after " + tookMs);
  }

  @Test
  void theMessagesOfOneCallFareEachByTheirOwnState() throws IOException {
    final List<FakeHttpServer.Request> bulks = new ArrayList<>();
    rig.firstEndpoint.script(
        (request, connection) -> {
          if (request.requestLine().contains("/inbox/bulk")) {
            bulks.add(request);
            connection.respond(
                200,
                "[{\"id\":\"ok\",\"state\":\"accepted\"},{\"id\":\"bad\",\"state\":\"fault\"},"
                    + "{\"id\":\"off\",\"state\":\"deferred\"},{\"id\":\"old\",\"state\":\"expired\"}]");
          } else if (rig.firstEndpoint.requests.size() == 1) {
            connection.respond(429, "", "Retry-After: 1");
          } else {
            connection.respond(200, "");
          }
        });
    rig.start();
    assertEquals(202, rig.submit("off", "brief").status());
    rig.await("the wait", () -> rig.firstEndpoint.requests.size() == 1);
    for (final String id : List.of("ok", "bad", "old")) {
      assertEquals(202, rig.submit(id, "brief").status());
    }
    rig.await(
        "all ends",
        () ->
            rig.hasOutcomeReport("bad", "deferred")
                && rig.firstEndpoint.requests.size() >= 3
                && "off"
                    .equals(
                        rig.firstEndpoint
                            .requests
                            .get(rig.firstEndpoint.requests.size() - 1)
                            .header("X-Request-ID")));
    assertEquals(1, bulks.size());
    assertTrue(bulks.get(0).text().contains("\"body\":\"aGVsbG8=\""), bulks.get(0).text());
    assertEquals(
        1,
        rig.outcomeReports.size(),
        "of these only the one that may have run is owed a notice: " + rig.outcomeReports);
  }

  // ---------------------------------------------------------------- the list

  @Test
  void nothingNewGoesToAnEndpointThatDrains() throws IOException {
    rig.configuredHosts =
        CourierHarness.hostEntry("e1", rig.firstEndpoint, "Ready")
            + ","
            + CourierHarness.hostEntry("e2", rig.secondEndpoint, "Ready");
    rig.start();
    rig.await("the watch", () -> !rig.watchConnections.isEmpty());
    // In pieces: a line may come in several reads.
    final String line =
        "{\"seq\":42,\"whole\":false,\"hosts\":["
            + CourierHarness.hostEntry("e1", rig.firstEndpoint, "Terminating")
            + "]}\n";
    rig.watchConnections.get(0).writeChunk(line.substring(0, 30));
    rig.watchConnections.get(0).writeChunk(line.substring(30));
    rig.sendEndpointChange(43, CourierHarness.hostEntry("e3", rig.firstEndpoint, "Gone"));
    assertEquals(202, rig.submit("warm", "safe").status());
    rig.await(
        "the news to have been read",
        () -> rig.secondEndpoint.requests.size() + rig.firstEndpoint.requests.size() == 1);
    final int before = rig.firstEndpoint.requests.size();
    for (int round = 0; round < 6; round++) {
      final int calls = round + 2;
      assertEquals(202, rig.submit("m" + round, "safe").status());
      rig.await(
          "call " + calls,
          () -> rig.secondEndpoint.requests.size() + rig.firstEndpoint.requests.size() == calls);
    }
    assertEquals(before, rig.firstEndpoint.requests.size());
  }

  @Test
  void aBrokenWatchIsAskedForAgainFromWhereItStood() throws IOException {
    rig.start();
    rig.await("the watch", () -> rig.watchConnections.size() == 1);
    assertTrue(rig.platform.requests.get(0).requestLine().contains("after=41"));
    rig.sendEndpointChange(42, CourierHarness.hostEntry("e2", rig.secondEndpoint, "Ready"));
    rig.sendEndpointChange(43, CourierHarness.hostEntry("e1", rig.firstEndpoint, "Gone"));
    assertEquals(202, rig.submit("m1", "safe").status());
    rig.await(
        "the call",
        () -> rig.secondEndpoint.requests.size() + rig.firstEndpoint.requests.size() == 1);
    rig.watchConnections.get(0).reset();
    rig.await("the next watch", () -> rig.watchConnections.size() == 2);
    final int last = rig.platform.requests.size() - 1;
    assertTrue(rig.platform.requests.get(last).requestLine().contains("after=43"));
  }

  @Test
  void aWatchThatFallsSilentIsAskedForAgain() throws IOException {
    rig.start();
    rig.await("the watch", () -> rig.watchConnections.size() == 1);
    rig.await("the next watch", () -> rig.watchConnections.size() == 2);
    assertTrue(rig.watchConnections.get(0).closedByPeer, "the silent one is closed");
  }

  @Test
  void aLineThatCannotBeReadEndsTheWatchAndNotTheCourier() throws IOException {
    rig.start();
    rig.await("the watch", () -> rig.watchConnections.size() == 1);
    rig.watchConnections.get(0).writeChunk("{\"seq\":42,\"hosts\":[{\"host\":\"e9\"\n");
    rig.await("the next watch", () -> rig.watchConnections.size() == 2);
    assertEquals(202, rig.submit("m1", "safe").status());
    rig.await("the call", () -> rig.firstEndpoint.requests.size() == 1);
  }

  // ---------------------------------------------------------------- clients

  @Test
  void whatCannotBeReadOrUsedIsAnsweredAndNothingIsTaken() throws IOException {
    rig.start();
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
      final int status = rig.send(raw).status();
      assertTrue(status >= 400 && status < 500, status + " for " + raw.lines().limit(8).toList());
    }
    try (Socket half = rig.connect()) {
      half.getOutputStream()
          .write(
              good.substring(0, good.length() - 2)
                  .getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
    }
    assertEquals(202, rig.submit("m1", "safe").status());
    rig.await("the good one", () -> rig.firstEndpoint.requests.size() == 1);
    assertEquals(List.of("m1"), idsAt(rig.firstEndpoint));
    assertTrue(rig.outcomeReports.isEmpty());
  }

  @Test
  void theLargestBodyIsTaken() throws IOException {
    rig.start();
    assertEquals(
        202, rig.send(CourierHarness.submitRequest("m1", "safe", "x".repeat(1 << 16))).status());
    rig.await("the call", () -> rig.firstEndpoint.requests.size() == 1);
    assertEquals(1 << 16, rig.firstEndpoint.requests.get(0).body().length);
  }

  @Test
  void requestsThatComeTogetherAreAnsweredInTheirOrder() throws IOException {
    rig.start();
    try (Socket socket = rig.connect()) {
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
  void anIdThatIsHeldAlreadyIsNotTakenTwice() throws IOException {
    rig.firstEndpoint.script((request, connection) -> {});
    rig.start();
    assertEquals(202, rig.submit("m1", "safe").status());
    assertEquals(409, rig.submit("m1", "safe").status());
  }

  @Test
  void aFullStoreRefusesInsteadOfLosing() throws IOException {
    rig.maxOpenConnections = 3;
    rig.firstEndpoint.script((request, connection) -> {});
    rig.start();
    final List<Integer> statuses = new ArrayList<>();
    for (int count = 0; count < 8; count++) {
      final CourierHarness.Response answer = rig.submit("m" + count, "once");
      statuses.add(answer.status());
      assertTrue(answer.status() == 202 || answer.head().contains("retry-after"), answer.head());
    }
    final long taken = statuses.stream().filter(status -> status == 202).count();
    assertTrue(taken >= 2 && taken <= 3 + rig.outcomeReports.size(), statuses.toString());
    assertTrue(
        statuses.stream().allMatch(status -> status == 202 || status == 429 || status == 503));
  }

  @Test
  void aFullJournalRefusesInsteadOfPromising() throws IOException {
    rig.diskMb = 1;
    rig.firstEndpoint.script((request, connection) -> {});
    rig.start();
    final List<Integer> statuses = new ArrayList<>();
    for (int count = 0; count < 20; count++) {
      statuses.add(
          rig.send(CourierHarness.submitRequest("m" + count, "once", "x".repeat(50_000))).status());
    }
    assertEquals(202, statuses.get(0));
    assertEquals(503, statuses.get(statuses.size() - 1));
  }

  // ---------------------------------------------------------------- the start

  @Test
  void aBadValueEndsTheStartWithOneLine() throws IOException, InterruptedException {
    rig.extraSetting = "\"step\":5000,\"goal\":{\"whole\":0.5}";
    rig.maxOpenConnections = 0;
    final Process process = rig.launch();
    assertTrue(process.waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
    assertEquals(1, process.exitValue());
    rig.await("its line", () -> !rig.logLines.isEmpty());
    assertEquals(1, rig.logLines.size(), rig.logLines.toString());
    assertTrue(
        rig.logLines.get(0).contains("at least one message, not 0"), rig.logLines.toString());
  }

  @Test
  void aListThatCannotBeReadEndsTheStartToo() throws IOException, InterruptedException {
    rig.configuredHosts = CourierHarness.hostEntry("e1", "nowhere", "Ready");
    final Process process = rig.launch();
    assertTrue(process.waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
    assertEquals(1, process.exitValue());
    rig.await("its line", () -> !rig.logLines.isEmpty());
    assertTrue(
        rig.logLines.get(0).contains("'dial' is no address: 'nowhere'"), rig.logLines.toString());
  }
}
