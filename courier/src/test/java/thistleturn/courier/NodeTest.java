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
  private Rig rig;

  @BeforeEach
  void build() throws IOException {
    rig = new Rig(folder);
  }

  @AfterEach
  void end() throws IOException {
    rig.close();
  }

  private static List<String> idsAt(final FakeServer server) {
    return server.requests.stream().map(request -> request.header("X-Request-ID")).toList();
  }

  @Test
  void takesAMessageOnAndDeliversItUnchanged() throws IOException {
    rig.start();
    assertEquals(200, rig.send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status());
    assertEquals(202, rig.send(Rig.message("m1", "keyed", "\u00ff\u0000 any bytes")).status());
    rig.await("the call", () -> rig.first.requests.size() == 1);
    final FakeServer.Request call = rig.first.requests.get(0);
    assertEquals("POST /inbox HTTP/1.1", call.line());
    assertEquals("m1", call.header("X-Request-ID"));
    assertEquals("key-m1", call.header("Idempotency-Key"));
    assertEquals((byte) 0xff, call.body()[0]);
    assertTrue(Long.parseLong(call.header("X-Timeout-Ms")) > 0);
    assertTrue(rig.notices.isEmpty(), "a message that is delivered is owed nothing");
  }

  // ---------------------------------------------------------------- restarts

  @Test
  void aSafeMessageThatWasOutAtAKillGoesAgain() throws IOException, InterruptedException {
    rig.first.script((request, connection) -> {});
    rig.start();
    assertEquals(202, rig.handIn("m1", "safe").status());
    rig.await("the call", () -> rig.first.requests.size() == 1);
    rig.first.script((request, connection) -> connection.answer(200, ""));
    rig.killAndRestart();
    rig.await("the second call", () -> rig.first.requests.size() == 2);
    assertEquals(List.of("m1", "m1"), idsAt(rig.first));
    // Another call on the same connection shows that the answer to the second one has been read.
    final FakeServer.Connection used = rig.first.requests.get(1).connection();
    for (int count = 0;
        rig.first.requests.stream().filter(one -> one.connection() == used).count() < 2;
        count++) {
      final String id = "more" + count;
      assertEquals(202, rig.handIn(id, "safe").status());
      rig.await(id, () -> idsAt(rig.first).contains(id));
    }
    rig.killAndRestart();
    assertEquals(202, rig.handIn("last", "safe").status());
    rig.await("the last message", () -> idsAt(rig.first).contains("last"));
    assertEquals(
        2,
        idsAt(rig.first).stream().filter("m1"::equals).count(),
        "delivered, it does not go again");
  }

  @Test
  void aKeyedMessageGoesAgainAfterAKillWhileItsKeyIsHeld()
      throws IOException, InterruptedException {
    rig.first.script((request, connection) -> {});
    rig.start();
    assertEquals(202, rig.handIn("m1", "keyed").status());
    rig.await("the call", () -> rig.first.requests.size() == 1);
    rig.first.script((request, connection) -> connection.answer(200, ""));
    rig.killAndRestart();
    rig.await("the second call", () -> rig.first.requests.size() == 2);
    assertEquals("key-m1", rig.first.requests.get(1).header("Idempotency-Key"));
  }

  @Test
  void aKeyedMessageWhoseKeyMayBeForgottenDoesNotGoAgain()
      throws IOException, InterruptedException {
    rig.first.script((request, connection) -> {});
    rig.start();
    assertEquals(202, rig.handIn("m1", "brief").status());
    rig.await("the call", () -> rig.first.requests.size() == 1);
    final long calledNs = rig.first.requests.get(0).atNs();
    rig.kill();
    rig.await(
        "the key's window to pass",
        () -> System.nanoTime() - calledNs > TimeUnit.MILLISECONDS.toNanos(400));
    rig.start();
    rig.await("its notice", () -> rig.noticed("m1", "deferred"));
    assertTrue(rig.noticed("m1", "again_ms"), "it tells when to come again: " + rig.notices);
    assertEquals(1, rig.first.requests.size());
  }

  @Test
  void anUnsafeMessageThatWasOutAtAKillIsFailed() throws IOException, InterruptedException {
    rig.first.script((request, connection) -> {});
    rig.start();
    assertEquals(202, rig.handIn("m1", "once").status());
    rig.await("the call", () -> rig.first.requests.size() == 1);
    rig.killAndRestart();
    rig.await("its notice", () -> rig.noticed("m1", "undeliverable"));
    assertEquals(1, rig.first.requests.size());
  }

  @Test
  void aNoticeIsSentUntilItIsConfirmedAlsoByTheNextProcess()
      throws IOException, InterruptedException {
    rig.noticeStatus = 503;
    rig.first.script((request, connection) -> connection.reset());
    rig.start();
    assertEquals(202, rig.handIn("m1", "once").status());
    rig.await("two tries", () -> rig.notices.size() >= 2);
    rig.kill();
    final int before = rig.notices.size();
    rig.start();
    rig.await("a try by the next process", () -> rig.notices.size() > before);
    rig.noticeStatus = 204;
    final int refused = rig.notices.size();
    rig.await("the one that is confirmed", () -> rig.notices.size() > refused);
    rig.killAndRestart();
    rig.noticeStatus = 503;
    assertEquals(202, rig.handIn("m2", "once").status());
    rig.await("the next notice", () -> rig.noticed("m2", "undeliverable"));
    assertFalse(rig.notices.get(rig.notices.size() - 1).contains("m1"), "confirmed is confirmed");
  }

  @Test
  void onSigtermItServesOnForAWhileAndEndsBeforeTheKill() throws IOException, InterruptedException {
    rig.first.script((request, connection) -> {});
    rig.start();
    final Socket idle = rig.connect();
    assertEquals(202, Rig.send(idle, Rig.message("m1", "safe")).status());
    rig.await("the call", () -> rig.first.requests.size() == 1);
    final long termNs = System.nanoTime();
    final Process ending = rig.terminate();
    assertEquals(-1, idle.getInputStream().read(), "an idle client's connection is closed");
    final Rig.Answer late = rig.handIn("m2", "safe");
    assertEquals(202, late.status());
    assertTrue(late.head().contains("connection: close"), late.head());
    assertTrue(ending.waitFor(Rig.PATIENCE_S, TimeUnit.SECONDS));
    final long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - termNs);
    assertTrue(tookMs < STOP_LIMIT_MS, "took " + tookMs);
    idle.close();
    rig.first.script((request, connection) -> connection.answer(200, ""));
    final int before = rig.first.requests.size();
    rig.start();
    // Alone or, since both wait, in one call.
    rig.await(
        "what was held goes on",
        () ->
            List.of("m1", "m2").stream()
                .allMatch(
                    id ->
                        rig.first.requests.stream()
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
    rig.first.script(
        (request, connection) -> {
          if (rig.first.requests.size() > 1) {
            rig.await(
                "the first connection's end", () -> rig.first.requests.get(0).connection().ended);
            closedBefore.add(true);
            connection.answer(200, "");
          }
        });
    rig.start();
    assertEquals(202, rig.handIn("m1", "safe").status());
    rig.await("the second attempt", () -> closedBefore.size() == 1);
    assertEquals(List.of("m1", "m1"), idsAt(rig.first));
  }

  @Test
  void anUnsafeMessageIsTriedAgainOnlyWhereTheFirstTryNeverCameUp() throws IOException {
    final FakeServer shut = new FakeServer((request, connection) -> {});
    shut.close();
    rig.hosts = Rig.host("e0", shut, "Ready");
    rig.start();
    assertEquals(202, rig.handIn("m1", "once").status());
    rig.await("the watch", () -> !rig.watches.isEmpty());
    rig.change(42, Rig.host("e1", rig.first, "Ready"));
    rig.await("another endpoint's call", () -> rig.first.requests.size() == 1);
    assertTrue(rig.notices.isEmpty());
  }

  @Test
  void anUnsafeMessageWhoseConnectionBrokeAfterTheLastByteIsFailedAtOnce() throws IOException {
    rig.first.script((request, connection) -> connection.reset());
    rig.start();
    final long handedNs = System.nanoTime();
    assertEquals(202, rig.handIn("m1", "once").status());
    rig.await("its notice", () -> rig.noticed("m1", "undeliverable"));
    assertEquals(1, rig.first.requests.size());
    assertTrue(
        System.nanoTime() - handedNs < TimeUnit.SECONDS.toNanos(15), "long before its 20 s are up");
  }

  @Test
  void aDeliveredMessageStaysDeliveredIfItsConnectionBreaksBehindTheFirstLine() throws IOException {
    rig.first.script(
        (request, connection) -> {
          connection.write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf");
          connection.reset();
        });
    rig.start();
    assertEquals(202, rig.handIn("m1", "safe").status());
    rig.await("the call", () -> rig.first.requests.size() == 1);
    rig.first.script((request, connection) -> connection.answer(200, ""));
    assertEquals(202, rig.handIn("m2", "safe").status());
    rig.await("the next", () -> idsAt(rig.first).contains("m2"));
    assertEquals(2, rig.first.requests.size());
  }

  @Test
  void connectionsAreUsedAgain() throws IOException {
    rig.start();
    for (int round = 0; round < 5; round++) {
      final int calls = round + 1;
      assertEquals(202, rig.handIn("m" + round, "safe").status());
      rig.await("call " + calls, () -> rig.first.requests.size() == calls);
    }
    assertTrue(rig.first.connections.size() <= 2, "connections: " + rig.first.connections.size());
  }

  @Test
  void aToldWaitBindsTheWholeDestination() throws IOException {
    final long waitMs = 1500;
    rig.hosts = Rig.host("e1", rig.first, "Ready") + "," + Rig.host("e2", rig.second, "Ready");
    final List<Long> toldNs = new ArrayList<>();
    final List<Long> laterNs = new ArrayList<>();
    final var script =
        (java.util.function.BiConsumer<FakeServer.Request, FakeServer.Connection>)
            (request, connection) -> {
              synchronized (toldNs) {
                if (toldNs.isEmpty()) {
                  toldNs.add(System.nanoTime());
                  connection.answer(429, "", "Retry-After: 1.5");
                } else {
                  laterNs.add(request.atNs());
                  connection.answer(200, "");
                }
              }
            };
    rig.first.script(script);
    rig.second.script(script);
    rig.start();
    assertEquals(202, rig.handIn("m0", "safe").status());
    rig.await("the wait", () -> !toldNs.isEmpty());
    for (int count = 1; count < 5; count++) {
      assertEquals(202, rig.handIn("m" + count, "safe").status());
    }
    rig.await("what waited", () -> !laterNs.isEmpty());
    final long tookMs = TimeUnit.NANOSECONDS.toMillis(laterNs.get(0) - toldNs.get(0));
    assertTrue(tookMs >= waitMs, "sent after " + tookMs);
  }

  @Test
  void theMessagesOfOneCallFareEachByTheirOwnState() throws IOException {
    final List<FakeServer.Request> bulks = new ArrayList<>();
    rig.first.script(
        (request, connection) -> {
          if (request.line().contains("/inbox/bulk")) {
            bulks.add(request);
            connection.answer(
                200,
                "[{\"id\":\"ok\",\"state\":\"accepted\"},{\"id\":\"bad\",\"state\":\"fault\"},"
                    + "{\"id\":\"off\",\"state\":\"deferred\"},{\"id\":\"old\",\"state\":\"expired\"}]");
          } else if (rig.first.requests.size() == 1) {
            connection.answer(429, "", "Retry-After: 1");
          } else {
            connection.answer(200, "");
          }
        });
    rig.start();
    assertEquals(202, rig.handIn("off", "brief").status());
    rig.await("the wait", () -> rig.first.requests.size() == 1);
    for (final String id : List.of("ok", "bad", "old")) {
      assertEquals(202, rig.handIn(id, "brief").status());
    }
    rig.await(
        "all ends",
        () ->
            rig.noticed("bad", "deferred")
                && rig.first.requests.size() >= 3
                && "off"
                    .equals(
                        rig.first
                            .requests
                            .get(rig.first.requests.size() - 1)
                            .header("X-Request-ID")));
    assertEquals(1, bulks.size());
    assertTrue(bulks.get(0).text().contains("\"body\":\"aGVsbG8=\""), bulks.get(0).text());
    assertEquals(
        1,
        rig.notices.size(),
        "of these only the one that may have run is owed a notice: " + rig.notices);
  }

  // ---------------------------------------------------------------- the list

  @Test
  void nothingNewGoesToAnEndpointThatDrains() throws IOException {
    rig.hosts = Rig.host("e1", rig.first, "Ready") + "," + Rig.host("e2", rig.second, "Ready");
    rig.start();
    rig.await("the watch", () -> !rig.watches.isEmpty());
    // In pieces: a line may come in several reads.
    final String line =
        "{\"seq\":42,\"whole\":false,\"hosts\":["
            + Rig.host("e1", rig.first, "Terminating")
            + "]}\n";
    rig.watches.get(0).chunk(line.substring(0, 30));
    rig.watches.get(0).chunk(line.substring(30));
    rig.change(43, Rig.host("e3", rig.first, "Gone"));
    assertEquals(202, rig.handIn("warm", "safe").status());
    rig.await(
        "the news to have been read",
        () -> rig.second.requests.size() + rig.first.requests.size() == 1);
    final int before = rig.first.requests.size();
    for (int round = 0; round < 6; round++) {
      final int calls = round + 2;
      assertEquals(202, rig.handIn("m" + round, "safe").status());
      rig.await(
          "call " + calls, () -> rig.second.requests.size() + rig.first.requests.size() == calls);
    }
    assertEquals(before, rig.first.requests.size());
  }

  @Test
  void aBrokenWatchIsAskedForAgainFromWhereItStood() throws IOException {
    rig.start();
    rig.await("the watch", () -> rig.watches.size() == 1);
    assertTrue(rig.platform.requests.get(0).line().contains("after=41"));
    rig.change(42, Rig.host("e2", rig.second, "Ready"));
    rig.change(43, Rig.host("e1", rig.first, "Gone"));
    assertEquals(202, rig.handIn("m1", "safe").status());
    rig.await("the call", () -> rig.second.requests.size() + rig.first.requests.size() == 1);
    rig.watches.get(0).reset();
    rig.await("the next watch", () -> rig.watches.size() == 2);
    final int last = rig.platform.requests.size() - 1;
    assertTrue(rig.platform.requests.get(last).line().contains("after=43"));
  }

  @Test
  void aWatchThatFallsSilentIsAskedForAgain() throws IOException {
    rig.start();
    rig.await("the watch", () -> rig.watches.size() == 1);
    rig.await("the next watch", () -> rig.watches.size() == 2);
    assertTrue(rig.watches.get(0).ended, "the silent one is closed");
  }

  @Test
  void aLineThatCannotBeReadEndsTheWatchAndNotTheCourier() throws IOException {
    rig.start();
    rig.await("the watch", () -> rig.watches.size() == 1);
    rig.watches.get(0).chunk("{\"seq\":42,\"hosts\":[{\"host\":\"e9\"\n");
    rig.await("the next watch", () -> rig.watches.size() == 2);
    assertEquals(202, rig.handIn("m1", "safe").status());
    rig.await("the call", () -> rig.first.requests.size() == 1);
  }

  // ---------------------------------------------------------------- clients

  @Test
  void whatCannotBeReadOrUsedIsAnsweredAndNothingIsTaken() throws IOException {
    rig.start();
    final String good = Rig.message("bad", "keyed");
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
            Rig.message("bad", "keyed", "x".repeat((1 << 16) + 1)),
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
    assertEquals(202, rig.handIn("m1", "safe").status());
    rig.await("the good one", () -> rig.first.requests.size() == 1);
    assertEquals(List.of("m1"), idsAt(rig.first));
    assertTrue(rig.notices.isEmpty());
  }

  @Test
  void theLargestBodyIsTaken() throws IOException {
    rig.start();
    assertEquals(202, rig.send(Rig.message("m1", "safe", "x".repeat(1 << 16))).status());
    rig.await("the call", () -> rig.first.requests.size() == 1);
    assertEquals(1 << 16, rig.first.requests.get(0).body().length);
  }

  @Test
  void requestsThatComeTogetherAreAnsweredInTheirOrder() throws IOException {
    rig.start();
    try (Socket socket = rig.connect()) {
      final String three =
          Rig.message("m1", "safe")
              + "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
              + Rig.message("m2", "unheard");
      assertEquals(202, Rig.send(socket, three).status());
      assertEquals(200, Rig.read(socket.getInputStream()).status());
      assertEquals(404, Rig.read(socket.getInputStream()).status());
    }
  }

  @Test
  void anIdThatIsHeldAlreadyIsNotTakenTwice() throws IOException {
    rig.first.script((request, connection) -> {});
    rig.start();
    assertEquals(202, rig.handIn("m1", "safe").status());
    assertEquals(409, rig.handIn("m1", "safe").status());
  }

  @Test
  void aFullStoreRefusesInsteadOfLosing() throws IOException {
    rig.maxOpen = 3;
    rig.first.script((request, connection) -> {});
    rig.start();
    final List<Integer> statuses = new ArrayList<>();
    for (int count = 0; count < 8; count++) {
      final Rig.Answer answer = rig.handIn("m" + count, "once");
      statuses.add(answer.status());
      assertTrue(answer.status() == 202 || answer.head().contains("retry-after"), answer.head());
    }
    final long taken = statuses.stream().filter(status -> status == 202).count();
    assertTrue(taken >= 2 && taken <= 3 + rig.notices.size(), statuses.toString());
    assertTrue(
        statuses.stream().allMatch(status -> status == 202 || status == 429 || status == 503));
  }

  @Test
  void aFullJournalRefusesInsteadOfPromising() throws IOException {
    rig.diskMb = 1;
    rig.first.script((request, connection) -> {});
    rig.start();
    final List<Integer> statuses = new ArrayList<>();
    for (int count = 0; count < 20; count++) {
      statuses.add(rig.send(Rig.message("m" + count, "once", "x".repeat(50_000))).status());
    }
    assertEquals(202, statuses.get(0));
    assertEquals(503, statuses.get(statuses.size() - 1));
  }

  // ---------------------------------------------------------------- the start

  @Test
  void aBadValueEndsTheStartWithOneLine() throws IOException, InterruptedException {
    rig.extraSetting = "\"step\":5000,\"goal\":{\"whole\":0.5}";
    rig.maxOpen = 0;
    final Process process = rig.launch();
    assertTrue(process.waitFor(Rig.PATIENCE_S, TimeUnit.SECONDS));
    assertEquals(1, process.exitValue());
    rig.await("its line", () -> !rig.log.isEmpty());
    assertEquals(1, rig.log.size(), rig.log.toString());
    assertTrue(rig.log.get(0).contains("at least one message, not 0"), rig.log.toString());
  }

  @Test
  void aListThatCannotBeReadEndsTheStartToo() throws IOException, InterruptedException {
    rig.hosts = Rig.host("e1", "nowhere", "Ready");
    final Process process = rig.launch();
    assertTrue(process.waitFor(Rig.PATIENCE_S, TimeUnit.SECONDS));
    assertEquals(1, process.exitValue());
    rig.await("its line", () -> !rig.log.isEmpty());
    assertTrue(rig.log.get(0).contains("'dial' is no address: 'nowhere'"), rig.log.toString());
  }
}
