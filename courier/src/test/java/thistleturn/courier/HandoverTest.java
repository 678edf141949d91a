package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
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

/** A newer process takes over from one that serves: the two are one courier to everyone outside. */
@Tag("operators")
@Timeout(120)
final class HandoverTest {
  @TempDir private Path folder;
  private Rig older;
  private Rig newer;

  @BeforeEach
  void build() throws IOException {
    older = new Rig(folder);
    older.operator = true;
    try (ServerSocket free = new ServerSocket(0)) {
      older.listenPort = free.getLocalPort();
    }
    older.start();
    newer = older.successor();
  }

  @AfterEach
  void end() throws IOException {
    newer.close();
    older.close();
  }

  private static Set<String> ids(final FakeServer server) {
    final Set<String> ids = new HashSet<>();
    server.requests.forEach(request -> ids.add(request.header("X-Request-ID")));
    return ids;
  }

  @Test
  void whatIsOutStaysWithTheOlderOneAndEndsInTheNewerOne()
      throws IOException, InterruptedException {
    older.first.script((request, connection) -> {});
    assertEquals(202, older.handIn("out", "once").status());
    older.await("the call", () -> older.first.requests.size() == 1);
    final FakeServer.Request out = older.first.requests.get(0);
    older.first.script((request, connection) -> connection.answer(200, ""));
    newer.start();
    assertTrue(newer.ask("GET", "/-/ready").startsWith("HTTP/1.1 200"));
    newer.await(
        "the call that is out, in its figures",
        () -> newer.ask("GET", "/-/metrics").contains("svc_in_flight 1\n"));
    out.connection().answer(200, "");
    newer.await(
        "its end",
        () ->
            newer
                .ask("GET", "/-/metrics")
                .contains("svc_requests_total{class=\"once\",outcome=\"served\"} 1\n"));
    assertTrue(older.terminate().waitFor(Rig.PATIENCE_S, TimeUnit.SECONDS));
    assertEquals(202, newer.handIn("later", "once").status());
    newer.await("the next call", () -> older.first.requests.size() == 2);
    assertTrue(older.notices.isEmpty(), () -> "delivered, so nothing is owed: " + older.notices);
  }

  @Test
  void aClientThatKeepsItsConnectionIsServedThroughTheOlderOne() throws IOException {
    try (Socket kept = older.connect()) {
      assertEquals(202, Rig.send(kept, Rig.message("m1", "safe")).status());
      older.await(
          "the first one's end",
          () -> older.ask("GET", "/-/metrics").contains("svc_in_flight 0\n"));
      newer.start();
      final Rig.Answer answer = Rig.send(kept, Rig.message("m2", "safe"));
      assertEquals(202, answer.status());
      assertTrue(answer.head().contains("connection: close"), answer.head());
      assertEquals(-1, kept.getInputStream().read(), "it is told to come again elsewhere");
    }
    newer.await("both calls", () -> ids(older.first).equals(Set.of("m1", "m2")));
    newer.await(
        "the end of the second in the newer one",
        () ->
            newer
                .ask("GET", "/-/metrics")
                .contains("svc_requests_total{class=\"safe\",outcome=\"served\"} 1\n"));
  }

  @Test
  void aWaitToldToOneBindsTheOther() throws IOException {
    older.first.script(
        (request, connection) ->
            connection.write("HTTP/1.1 429 x\r\nRetry-After: 1.500\r\nContent-Length: 0\r\n\r\n"));
    assertEquals(202, older.handIn("m1", "safe").status());
    older.await("the call", () -> older.first.requests.size() == 1);
    older.await(
        "the answer", () -> older.ask("GET", "/-/metrics").contains("svc_attempts_total 1\n"));
    older.first.script((request, connection) -> connection.answer(200, ""));
    newer.start();
    newer.await("the next call", () -> older.first.requests.size() == 2);
    final long waitedMs =
        (older.first.requests.get(1).atNs() - older.first.requests.get(0).atNs()) / 1_000_000;
    assertTrue(waitedMs >= 1500, "it came after " + waitedMs + " ms");
  }

  @Test
  void aCallWhoseProcessIsKilledMayHaveRun() throws IOException, InterruptedException {
    older.first.script((request, connection) -> {});
    assertEquals(202, older.handIn("once", "once").status());
    assertEquals(202, older.handIn("safe", "safe").status());
    older.await("the calls", () -> older.first.requests.size() == 2);
    newer.start();
    older.first.script((request, connection) -> connection.answer(200, ""));
    older.kill();
    newer.await("the end of what may not go again", () -> newer.noticed("once", "undeliverable"));
    newer.await("what may", () -> older.first.requests.size() == 3);
    assertEquals("safe", older.first.requests.get(2).header("X-Request-ID"));
  }

  @Test
  void underLoadNoClientIsTurnedAwayAndNothingGoesTwice() throws IOException, InterruptedException {
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
      assertEquals(202, older.handIn("u" + number, "once").status(), "message " + number);
      // One by one: what waits together travels in one call.
      newer.await("its call", () -> older.first.requests.size() >= sent.size());
    }
    newer.await("all calls", () -> ids(older.first).equals(sent));
    assertEquals(sent.size(), older.first.requests.size(), "no copies");
    assertTrue(older.notices.isEmpty(), () -> "all delivered: " + older.notices);
  }

  @Test
  void aNewerOneThatDiesLeavesAllToTheOlderWhichTakesUpAgain()
      throws IOException, InterruptedException {
    older.first.script((request, connection) -> {});
    assertEquals(202, older.handIn("out", "once").status());
    older.await("the call", () -> older.first.requests.size() == 1);
    newer.start();
    assertEquals(202, newer.handIn("its-own", "once").status());
    newer.await("its call", () -> older.first.requests.size() == 2);
    older.first.script((request, connection) -> connection.answer(200, ""));
    newer.kill();
    older.await(
        "that it takes up again",
        () -> older.log.stream().filter(l -> l.contains("is ready at")).count() == 2);
    older.await(
        "the end of what the newer one had out", () -> older.noticed("its-own", "undeliverable"));
    older.first.requests.get(0).connection().answer(200, "");
    older.await(
        "the end of what it has out itself",
        () ->
            older
                .ask("GET", "/-/metrics")
                .contains("svc_requests_total{class=\"once\",outcome=\"served\"} 1\n"));
    assertEquals(202, older.handIn("m3", "safe").status());
    older.await("the next call", () -> ids(older.first).contains("m3"));
    try (Rig third = newer.successor()) {
      third.start();
      assertTrue(older.terminate().waitFor(Rig.PATIENCE_S, TimeUnit.SECONDS));
      assertEquals(202, third.handIn("m4", "safe").status());
      third.await("a call of the third", () -> ids(older.first).contains("m4"));
    }
    assertFalse(older.noticed("out", "undeliverable"));
  }

  @Test
  void threeInARow() throws IOException, InterruptedException {
    newer.start();
    assertTrue(older.terminate().waitFor(Rig.PATIENCE_S, TimeUnit.SECONDS));
    try (Rig third = newer.successor()) {
      third.start();
      assertTrue(newer.terminate().waitFor(Rig.PATIENCE_S, TimeUnit.SECONDS));
      assertEquals(202, third.handIn("m1", "safe").status());
      third.await("the call", () -> older.first.requests.size() == 1);
      assertFalse(
          List.copyOf(third.log).stream().anyMatch(line -> line.contains("Exception")),
          third.log::toString);
    }
  }

  /**
   * It is read while the newer one waits for the older one to hand over, and has nobody to tell
   * yet.
   */
  @Test
  void aSighupDuringATakeoverIsHeededByTheNewerOne() throws Exception {
    older.movedHosts = Rig.host("e2", older.second, "Ready");
    final CourierServer next =
        CourierServer.start(
            Map.of(
                "PROXY_CONFIG",
                newer.configure(older.platform.address()).toString(),
                "PROXY_STATE",
                folder.resolve("state").toString(),
                "PROXY_OPERATOR",
                "127.0.0.1:0"));
    try {
      newer.configure(older.moved.address());
      next.reload();
      next.ready().get(Rig.PATIENCE_S, TimeUnit.SECONDS);
      older.await(
          "its watch at the new address",
          () ->
              older.moved.requests.stream()
                  .anyMatch(request -> request.line().contains("after=3")));
    } finally {
      next.kill();
    }
  }
}
