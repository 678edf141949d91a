package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Input that many connections leave incomplete, in a process with the memory of a deployment: it
 * takes neither the direct memory nor the heap of the courier.
 */
@Tag("connections")
@Timeout(120)
final class ReceiveFloodTest extends HarnessScenario {
  /** What the run command of the deploy file gives a courier. */
  private static final List<String> DEPLOYED_MEMORY =
      List.of(
          "-XX:MaxDirectMemorySize=16m",
          "-XX:+ExitOnOutOfMemoryError",
          "-Dio.netty.allocator.type=unpooled");

  private static final int CONNECTIONS = 500;
  private static final String HEAD = "GET /up HTTP/1.1\r\nHost: x\r\n";
  private static final String LONG_HEAD = HEAD + "X-Note: " + "a".repeat(8000);
  private static final int MAX_BODY_BYTES = 1 << 16;

  private final List<Socket> flood = new ArrayList<>();

  @AfterEach
  void closeFlood() throws IOException {
    for (final Socket socket : flood) {
      socket.close();
    }
  }

  private void startWithDeployedMemory() throws IOException {
    harness.jvmOptions = DEPLOYED_MEMORY;
    harness.operatorPortEnabled = true;
    harness.start();
  }

  private void openFlood(final String input) throws IOException {
    for (int count = 0; count < CONNECTIONS; count++) {
      final Socket socket = harness.connect();
      flood.add(socket);
      socket.getOutputStream().write(input.getBytes(StandardCharsets.ISO_8859_1));
    }
  }

  private void assertUsualClientsAreAnswered(final String prefix) throws IOException {
    final String largest = "b".repeat(MAX_BODY_BYTES);
    assertEquals(202, harness.submit(prefix + "small", "safe").status());
    assertEquals(
        202,
        harness.send(CourierHarness.submitRequest(prefix + "large", "safe", largest)).status());
  }

  private void assertEveryFloodConnectionIsEnded(final String status) throws IOException {
    for (final Socket socket : flood) {
      final String answers =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      final int last = answers.lastIndexOf("HTTP/1.1 ");
      assertTrue(answers.startsWith(status, last + "HTTP/1.1 ".length()), answers);
    }
  }

  /** Guards against a crash for want of direct memory: each half head held a buffer of 64 KiB. */
  @Test
  void halfHeadsBehindRequests_doNotUseUpDirectMemory() throws IOException {
    startWithDeployedMemory();
    openFlood((LONG_HEAD + "\r\n\r\n").repeat(4) + LONG_HEAD);
    assertUsualClientsAreAnswered("beside");
    assertTrue(harness.isRunning());
    for (final Socket socket : flood) {
      socket.close();
    }
    assertUsualClientsAreAnswered("behind");
  }

  /** Guards against a full heap: a parsed header line takes forty times its bytes. */
  @Test
  void headsOfTinyLines_areRejectedWith431() throws IOException {
    startWithDeployedMemory();
    openFlood(HEAD + "a:b\r\n".repeat(1600));
    assertUsualClientsAreAnswered("beside");
    assertEveryFloodConnectionIsEnded("431");
  }

  /** Guards against bodies that nobody completes: they make room for one that goes on. */
  @Test
  void stalledBodies_makeRoomForUsualOnes() throws IOException {
    startWithDeployedMemory();
    final String whole = CourierHarness.submitRequest("half", "safe", "x".repeat(MAX_BODY_BYTES));
    openFlood(whole.substring(0, whole.length() - 1));
    harness.await(
        "a rejection for want of memory",
        () -> harness.logLines.stream().anyMatch(line -> line.contains("receive_budget_exceeded")));
    assertTrue(harness.isRunning());
  }

  private static String inChunks(final String id, final int chunkBytes) {
    final String usual = CourierHarness.submitRequest(id, "safe", "");
    final StringBuilder request =
        new StringBuilder(usual.replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n"));
    final String chunk = Integer.toHexString(chunkBytes) + "\r\n" + "c".repeat(chunkBytes) + "\r\n";
    return request.append(chunk.repeat(MAX_BODY_BYTES / chunkBytes)).append("0\r\n\r\n").toString();
  }

  private boolean hasPaused() {
    return harness.logLines.stream().anyMatch(line -> line.contains("event=read_paused"));
  }

  /** Guards against late answers for others while bodies of tiny chunks are decoded. */
  @Test
  void bodyOfTinyChunks_isPausedAndAcceptedInTheEnd() throws IOException {
    startWithDeployedMemory();
    assertEquals(202, harness.send(inChunks("m1", 4)).status());
    assertTrue(hasPaused());
    assertUsualClientsAreAnswered("behind");
  }

  /** Guards against late answers for others while small requests come at full speed. */
  @Test
  void manyRequestsInOneWrite_arePausedAndAnswered() throws IOException {
    startWithDeployedMemory();
    final int requests = 2000;
    try (Socket socket = harness.connect()) {
      final Thread writer =
          new Thread(
              () -> {
                try {
                  socket
                      .getOutputStream()
                      .write(
                          (HEAD + "\r\n").repeat(requests).getBytes(StandardCharsets.ISO_8859_1));
                } catch (final IOException e) {
                  throw new UncheckedIOException(e);
                }
              });
      writer.start();
      for (int count = 0; count < requests; count++) {
        assertEquals(200, CourierHarness.readResponse(socket.getInputStream()).status());
      }
    }
    assertTrue(hasPaused());
  }

  /** Plain twin: the largest body in chunks of a usual size is not paused. */
  @Test
  void bodyOfUsualChunks_isNotPaused() throws IOException {
    startWithDeployedMemory();
    assertEquals(202, harness.send(inChunks("m1", 1024)).status());
    assertUsualClientsAreAnswered("beside");
    assertFalse(hasPaused());
  }

  /** Plain twin: a head with many lines, and the largest body in two parts, pass as before. */
  @Test
  void requestAtTheLimits_isAccepted() throws IOException {
    startWithDeployedMemory();
    final String request =
        CourierHarness.submitRequest("m1", "safe", "b".repeat(MAX_BODY_BYTES))
            .replace("Host: backend.local\r\n", "Host: x\r\n" + "X-Line: 1\r\n".repeat(100));
    try (Socket socket = harness.connect()) {
      socket
          .getOutputStream()
          .write(request.substring(0, 200).getBytes(StandardCharsets.ISO_8859_1));
      assertUsualClientsAreAnswered("between");
      assertEquals(202, CourierHarness.send(socket, request.substring(200)).status());
    }
    assertTrue(
        harness
            .sendOperatorRequest("GET", "/-/metrics")
            .contains("courier_receive_buffer_bytes{from=\"clients\"} 0\n"));
  }

  /** Guards against the same fault on the other side: responses whose heads do not end. */
  @Test
  void halfHeadsOfResponses_doNotUseUpDirectMemory() throws IOException {
    harness.maxOpenConnections = CONNECTIONS;
    harness.maxCallsInFlight = CONNECTIONS;
    harness.firstEndpoint.script(
        (request, connection) ->
            connection.write(
                "HTTP/1.1 500 X\r\n" + "a:b\r\n".repeat(100) + LONG_HEAD.substring(700)));
    startWithDeployedMemory();
    for (int count = 0; count < CONNECTIONS; count++) {
      assertEquals(202, harness.submit("m" + count, "once").status());
    }
    harness.await("all reports", () -> harness.reportedIds().size() == CONNECTIONS);
    assertTrue(harness.isRunning());
  }
}
