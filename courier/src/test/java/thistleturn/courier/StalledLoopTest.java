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
 * A loop that stands still (a garbage collection, a machine that gives its core to others) while a
 * message comes in, and again while its end is due: its end is told in time all the same, since how
 * long it lay unread is reckoned with.
 */
final class StalledLoopTest {
  private static final long TIMEOUT_MS = 1500;

  /** Nearly as long as a client waits for its answer. */
  private static final long STALL_MS = 370;

  /**
   * The second standstill begins this long after the sending: after the time that an end has
   * without a reckoning.
   */
  private static final long SECOND_AT_MS = 1640;

  /** A message whose end is not told so long after its time is lost. */
  private static final long GRACE_MS = 300;

  /** Where the message is when the loop stops. */
  enum Point {
    ACCEPT,
    READ,
    DECODE
  }

  private FakeHttpServer platform;
  private CourierServer courier;
  private String address;
  private volatile long noticedNs;

  @BeforeEach
  void start(@TempDir final Path folder) throws Exception {
    platform =
        new FakeHttpServer(
            (request, connection) -> {
              if (request.requestLine().startsWith("POST")) {
                noticedNs = request.text().contains("\"late\"") ? request.receivedNs() : noticedNs;
                connection.respond(204, "");
              } else {
                connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                connection.writeChunk("\n");
              }
            });
    final CourierHarness rig = new CourierHarness(folder);
    // Nothing may be sent to it, so that the message waits until its time is up, with no attempt.
    rig.configuredHosts = CourierHarness.hostEntry("e1", rig.firstEndpoint, "Terminating");
    courier =
        CourierServer.start(
            Map.of(
                "PROXY_CONFIG",
                rig.writeConfiguration(platform.address()).toString(),
                "PROXY_STATE",
                folder.resolve("state").toString()));
    rig.close();
    address = courier.ready().get(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS);
  }

  @AfterEach
  void end() throws IOException {
    courier.kill();
    platform.close();
  }

  /** Stops the loop; returns once it stands. */
  private void stall(final long ms) throws InterruptedException {
    final CountDownLatch standing = new CountDownLatch(1);
    courier
        .eventLoop()
        .execute(
            () -> {
              standing.countDown();
              final long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
              while (System.nanoTime() < untilNs) {
                Thread.onSpinWait();
              }
            });
    assertTrue(standing.await(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
  }

  private Socket connect() throws IOException {
    final Socket socket =
        new Socket("127.0.0.1", Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)));
    socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(CourierHarness.TIMEOUT_S));
    return socket;
  }

  @ParameterizedTest
  @EnumSource(Point.class)
  void theEndOfAMessageThatLayUnreadIsToldInTime(final Point point) throws Exception {
    final String text =
        CourierHarness.submitRequest("late", "safe").replace("20000", Long.toString(TIMEOUT_MS));
    final byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
    final int early = point == Point.DECODE ? bytes.length / 2 : 0;
    Socket socket = null;
    if (point != Point.ACCEPT) {
      socket = connect();
      assertEquals(
          200, CourierHarness.send(socket, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status());
      socket.getOutputStream().write(bytes, 0, early);
    }
    stall(STALL_MS);
    socket = socket == null ? connect() : socket;
    final long sentNs = System.nanoTime();
    socket.getOutputStream().write(bytes, early, bytes.length - early);
    assertEquals(202, CourierHarness.readResponse(socket.getInputStream()).status());
    socket.close();
    final long secondNs = sentNs + TimeUnit.MILLISECONDS.toNanos(SECOND_AT_MS);
    while (System.nanoTime() < secondNs && noticedNs == 0) {
      Thread.onSpinWait();
    }
    if (noticedNs == 0) {
      stall(STALL_MS);
    }
    final long giveUpNs = sentNs + TimeUnit.SECONDS.toNanos(CourierHarness.TIMEOUT_S);
    while (noticedNs == 0 && System.nanoTime() < giveUpNs) {
      Thread.onSpinWait();
    }
    final long tookMs = TimeUnit.NANOSECONDS.toMillis(noticedNs - sentNs);
    assertTrue(noticedNs != 0 && tookMs <= TIMEOUT_MS + GRACE_MS, "told after " + tookMs + " ms");
  }
}
