package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * An event loop that stalls (garbage collection, or a core that runs other processes) while a
 * message arrives, and again while its outcome report is due. The report is in time only if the
 * courier counts the time that the request waited unread against the message's deadline.
 */
final class StalledLoopTest {
  private static final long TIMEOUT_MS = 1500;

  /** Nearly as long as a client waits for its response. */
  private static final long STALL_MS = 370;

  /**
   * When the second stall begins, counted from the sending of the request: after the time at which
   * a courier reports the outcome that does not count the time unread.
   */
  private static final long SECOND_STALL_MS = 1640;

  /** A message whose outcome is not reported this long after its deadline counts as lost. */
  private static final long GRACE_MS = 300;

  /** The next step of the request when the loop stalls. */
  enum StallPoint {
    ACCEPT,
    READ,
    DECODE
  }

  private FakeHttpServer platform;
  private CourierServer courier;
  private String address;
  private volatile long reportedNs;

  @BeforeEach
  void startCourier(@TempDir final Path folder) throws Exception {
    platform =
        new FakeHttpServer(
            (request, connection) -> {
              if (request.requestLine().startsWith("POST")) {
                reportedNs =
                    request.text().contains("\"late\"") ? request.receivedNs() : reportedNs;
                connection.respond(204, "");
              } else {
                connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                connection.writeChunk("\n");
              }
            });
    final CourierHarness harness = new CourierHarness(folder);
    // No calls are sent to a draining endpoint, so the message expires without an attempt.
    harness.configuredHosts = CourierHarness.hostEntry("e1", harness.firstEndpoint, "Terminating");
    courier =
        CourierServer.start(
            Map.of(
                "PROXY_CONFIG",
                harness.writeConfiguration(platform.address()).toString(),
                "PROXY_STATE",
                folder.resolve("state").toString()));
    harness.close();
    address = courier.ready().get(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS);
  }

  @AfterEach
  void stopCourier() throws IOException {
    courier.kill();
    platform.close();
  }

  /** Blocks the event loop for a time; returns once it is blocked. */
  private void stall(final long ms) throws InterruptedException {
    final CountDownLatch blocked = new CountDownLatch(1);
    courier
        .eventLoop()
        .execute(
            () -> {
              blocked.countDown();
              final long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
              while (System.nanoTime() < untilNs) {
                Thread.onSpinWait();
              }
            });
    assertTrue(blocked.await(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
  }

  private Socket connect() throws IOException {
    final Socket socket =
        new Socket("127.0.0.1", Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)));
    socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(CourierHarness.TIMEOUT_S));
    return socket;
  }

  @ParameterizedTest
  @EnumSource(StallPoint.class)
  void requestReadLate_outcomeIsReportedInTime(final StallPoint stallPoint) throws Exception {
    final String text =
        CourierHarness.submitRequest("late", "safe").replace("20000", Long.toString(TIMEOUT_MS));
    final byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
    final int earlyBytes = stallPoint == StallPoint.DECODE ? bytes.length / 2 : 0;
    Socket socket = null;
    if (stallPoint != StallPoint.ACCEPT) {
      socket = connect();
      assertEquals(
          200, CourierHarness.send(socket, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status());
      socket.getOutputStream().write(bytes, 0, earlyBytes);
    }
    stall(STALL_MS);
    socket = socket == null ? connect() : socket;
    final long sentNs = System.nanoTime();
    socket.getOutputStream().write(bytes, earlyBytes, bytes.length - earlyBytes);
    assertEquals(202, CourierHarness.readResponse(socket.getInputStream()).status());
    socket.close();
    final long secondStallNs = sentNs + TimeUnit.MILLISECONDS.toNanos(SECOND_STALL_MS);
    while (System.nanoTime() < secondStallNs && reportedNs == 0) {
      Thread.onSpinWait();
    }
    if (reportedNs == 0) {
      stall(STALL_MS);
    }
    final long giveUpNs = sentNs + TimeUnit.SECONDS.toNanos(CourierHarness.TIMEOUT_S);
    while (reportedNs == 0 && System.nanoTime() < giveUpNs) {
      Thread.onSpinWait();
    }
    final long tookMs = TimeUnit.NANOSECONDS.toMillis(reportedNs - sentNs);
    assertTrue(
        reportedNs != 0 && tookMs <= TIMEOUT_MS + GRACE_MS, "reported after " + tookMs + " ms");
  }
}
