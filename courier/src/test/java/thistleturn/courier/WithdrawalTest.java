package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import thistleturn.testkit.FreePorts;

/**
 * Clients of the older process of a takeover that go before they are answered. Each crossing is
 * forced: the newer process is stopped while the older one forwards, so that it finds an offer and
 * its withdrawal together.
 */
@Tag("operators")
@Timeout(120)
final class WithdrawalTest {
  private static final String HEALTH_CHECK = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
  private static final String SHUT =
      "HTTP/1.1 429 x\r\nRetry-After: 0.300\r\nContent-Length: 0\r\n\r\n";

  @TempDir private Path folder;
  private CourierHarness older;
  private CourierHarness newer;

  /** True once the endpoint delivers; before, it tells each caller to wait. */
  private final AtomicBoolean serving = new AtomicBoolean();

  /** What becomes of the two processes behind the withdrawal. */
  enum Behind {
    BOTH_GO_ON,
    NEWER_KILLED_BEFORE_IT_READS,
    NEWER_KILLED,
    OLDER_KILLED
  }

  @BeforeEach
  void startOlderProcess() throws IOException {
    older = new CourierHarness(folder);
    older.operatorPortEnabled = true;
    older.listenPort = FreePorts.next();
    older.firstEndpoint.script(
        (request, connection) -> {
          if (serving.get()) {
            SentMessages.deliver(request, connection);
          } else {
            connection.write(SHUT);
          }
        });
    older.start();
    newer = older.successor();
  }

  @AfterEach
  void stopProcesses() throws IOException {
    newer.close();
    older.close();
  }

  /** Connects to the older process, which keeps the connection until its next response. */
  private Socket connectToOlder() throws IOException {
    final Socket socket = older.connect();
    assertEquals(200, CourierHarness.send(socket, HEALTH_CHECK).status());
    return socket;
  }

  private void startNewer() throws IOException {
    newer.start();
    older.await(
        "the older process to leave new clients to the newer one",
        () -> !older.sendOperatorRequest("GET", "/-/ready").startsWith("HTTP/1.1 200"));
  }

  /** Connects to the newer process: until the older one's listener is closed it may answer 503. */
  private Socket connectToNewer() throws IOException {
    while (true) {
      final Socket socket = newer.connect();
      if (CourierHarness.send(socket, HEALTH_CHECK).status() == 200) {
        return socket;
      }
      socket.close();
    }
  }

  private int sendToNewer(final String request) throws IOException {
    try (Socket socket = connectToNewer()) {
      return CourierHarness.send(socket, request).status();
    }
  }

  private static void write(final Socket socket, final String id) throws IOException {
    socket
        .getOutputStream()
        .write(CourierHarness.submitRequest(id, "safe").getBytes(StandardCharsets.ISO_8859_1));
  }

  private static void reset(final Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  /** Returns once the older process has read all earlier requests, and has forwarded them. */
  private void awaitRead() {
    // Its event loop reads what has arrived before it accepts this connection and reads the
    // request.
    assertTrue(older.sendOperatorRequest("GET", "/-/metrics").startsWith("HTTP/1.1 200"));
  }

  /**
   * Returns once the older process has sent the withdrawal. It logs the end of the connection
   * before that, in the same step of its event loop, which answers an operator behind it.
   */
  private void resetAndAwaitWithdrawal(final Socket socket, final String id) throws IOException {
    reset(socket);
    older.await(
        "the end of the connection",
        () ->
            older.logLines.stream()
                .anyMatch(
                    line -> line.contains("request_unanswered") && line.contains("id=" + id)));
    awaitRead();
  }

  private List<String> sentIds() {
    return SentMessages.ids(older.firstEndpoint);
  }

  private void assertDeliveredOnce(final CourierHarness deciding, final String id) {
    final int before = Collections.frequency(sentIds(), id);
    serving.set(true);
    deciding.await("the delivery", () -> Collections.frequency(sentIds(), id) == before + 1);
    deciding.await(
        "its end",
        () -> deciding.sendOperatorRequest("GET", "/-/metrics").contains("svc_in_flight 0\n"));
    assertEquals(before + 1, Collections.frequency(sentIds(), id));
    assertFalse(older.hasOutcomeReport(id, ""), older.outcomeReports::toString);
  }

  /** Guards against a message that is lost since another client sends its id and goes. */
  @ParameterizedTest
  @EnumSource
  void clientWithIdOfAcceptedMessage_withdrawsNothing(final Behind behind) throws Exception {
    final Socket kept = connectToOlder();
    startNewer();
    assertEquals(202, sendToNewer(CourierHarness.submitRequest("m1", "safe")));
    newer.pause();
    write(kept, "m1");
    awaitRead();
    resetAndAwaitWithdrawal(kept, "m1");
    assertDeliveredOnce(endProcess(behind), "m1");
  }

  /** Returns the process that decides then. */
  private CourierHarness endProcess(final Behind behind) throws Exception {
    if (behind != Behind.NEWER_KILLED_BEFORE_IT_READS) {
      newer.resume();
      assertEquals(202, newer.submit("behind", "safe").status());
    }
    switch (behind) {
      case BOTH_GO_ON -> {
        return newer;
      }
      case OLDER_KILLED -> {
        older.kill();
        return newer;
      }
      default -> {
        newer.kill();
        older.await(
            "the older process to decide",
            () -> older.logLines.stream().anyMatch(line -> line.contains("takes up again")));
        return older;
      }
    }
  }

  /** Plain twin: a client that goes before its answer has its own message withdrawn. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void clientThatGoes_hasItsOwnMessageWithdrawn(final boolean newerKilled) throws Exception {
    final Socket kept = connectToOlder();
    startNewer();
    serving.set(true);
    newer.pause();
    write(kept, "m1");
    awaitRead();
    resetAndAwaitWithdrawal(kept, "m1");
    final CourierHarness deciding =
        endProcess(newerKilled ? Behind.NEWER_KILLED_BEFORE_IT_READS : Behind.BOTH_GO_ON);
    assertEquals(202, deciding.submit("later", "safe").status());
    deciding.await("a later call", () -> sentIds().contains("later"));
    assertFalse(sentIds().contains("m1"));
  }

  /** Guards against a client that waits for ever, since another one with its id has gone. */
  @Test
  void clientWithIdOfUnansweredRequest_withdrawsOnlyItsOwn() throws Exception {
    final Socket first = connectToOlder();
    final Socket second = connectToOlder();
    startNewer();
    newer.pause();
    write(first, "m1");
    awaitRead();
    write(second, "m1");
    awaitRead();
    resetAndAwaitWithdrawal(second, "m1");
    newer.resume();
    assertEquals(202, CourierHarness.readResponse(first.getInputStream()).status());
    assertDeliveredOnce(newer, "m1");
  }

  /** Guards against a withdrawal that reaches the same client's next request of that id. */
  @Test
  void clientThatComesAgain_isServedIfItsSecondRequestIsAccepted() throws Exception {
    final Socket kept = connectToOlder();
    startNewer();
    final Socket again = connectToNewer();
    newer.pause();
    write(kept, "m1");
    awaitRead();
    resetAndAwaitWithdrawal(kept, "m1");
    try (again) {
      write(again, "m1");
      newer.resume();
      assertEquals(202, CourierHarness.readResponse(again.getInputStream()).status());
    }
    assertDeliveredOnce(newer, "m1");
  }

  /** Guards against an outcome that ends a later message of its id: the id is known until then. */
  @Test
  void outcomeOfOlderProcess_concernsNoLaterMessageOfItsId() throws Exception {
    older.firstEndpoint.script((request, connection) -> {});
    assertEquals(202, older.send(briefRequest("m1")).status());
    older.await("the call", () -> sentIds().contains("m1"));
    startNewer();
    try (Socket client = connectToNewer()) {
      older.pause();
      assertEquals(202, CourierHarness.send(client, briefRequest("m2")).status());
      newer.await("the end of a later message", () -> older.hasOutcomeReport("m2", ""));
      final String again = CourierHarness.submitRequest("m1", "safe");
      assertEquals(409, CourierHarness.send(client, again).status(), "its call is still out");
    }
    older.resume();
    newer.await("the end of the first message", () -> older.hasOutcomeReport("m1", ""));
    older.firstEndpoint.script(SentMessages::deliver);
    newer.await("a second message of the id", () -> isAccepted("m1"));
    newer.await("its delivery", () -> Collections.frequency(sentIds(), "m1") == 2);
  }

  private static String briefRequest(final String id) {
    return CourierHarness.submitRequest(id, "safe")
        .replace("Timeout-Ms: 20000", "Timeout-Ms: 2500");
  }

  private boolean isAccepted(final String id) {
    try {
      return newer.submit(id, "safe").status() == 202;
    } catch (final IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Plain twin in one process: an id that is pending is refused, and its copy withdraws nothing.
   */
  @Test
  void copyOfPendingIdInOneProcess_isAnsweredAndWithdrawsNothing() throws Exception {
    assertEquals(202, older.submit("m1", "safe").status());
    try (Socket copy = older.connect()) {
      write(copy, "m1");
      assertEquals(409, CourierHarness.readResponse(copy.getInputStream()).status());
    }
    assertDeliveredOnce(older, "m1");
    assertTrue(sentIds().contains("m1"));
  }
}
