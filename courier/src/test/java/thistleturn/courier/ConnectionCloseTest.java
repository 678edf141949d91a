package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.SingleThreadEventExecutor;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.courier.runtime.CourierOptions;

/**
 * Requests that cross the close of their connection by the courier: each one gets exactly one
 * response, or is certainly not accepted.
 */
@Tag("crossings")
@Timeout(120)
final class ConnectionCloseTest {
  private static final String UP = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";
  private static final long IDLE_TIMEOUT_US = 300_000;

  /** After SIGTERM, a process waits this long at most for its clients. */
  private static final long FULL_SHUTDOWN_MS = 2800;

  @TempDir private Path folder;
  private CourierHarness harness;
  private CourierServer courier;
  private String address;

  @BeforeEach
  void start() throws Exception {
    harness = new CourierHarness(folder);
    final CourierOptions defaults = CourierOptions.platformDefaults();
    courier =
        CourierServer.start(
            Map.of(
                "PROXY_CONFIG",
                harness.writeConfiguration(harness.platform.address()).toString(),
                "PROXY_STATE",
                folder.resolve("state").toString()),
            null,
            new CourierOptions(
                IDLE_TIMEOUT_US,
                defaults.clientDescriptorShare(),
                defaults.endpointDescriptorShare(),
                defaults.shardCount(),
                defaults.retainsLearnedState()));
    address = courier.ready().get(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS);
  }

  @AfterEach
  void end() throws IOException {
    courier.kill();
    harness.close();
  }

  private int port() {
    return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
  }

  private Socket connect() throws IOException {
    final Socket socket = new Socket("127.0.0.1", port());
    socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(CourierHarness.TIMEOUT_S));
    return socket;
  }

  /** Opens a connection, uses it once, and leaves it open without a request. */
  private Socket connectIdle() throws IOException {
    final Socket socket = connect();
    assertEquals(200, CourierHarness.send(socket, UP).status());
    return socket;
  }

  private static void write(final Socket socket, final String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** Blocks the event loop until the latch that is returned is counted down. */
  private CountDownLatch blockEventLoop() throws InterruptedException {
    final CountDownLatch blocked = new CountDownLatch(1);
    final CountDownLatch release = new CountDownLatch(1);
    courier
        .eventLoop()
        .execute(
            () -> {
              blocked.countDown();
              try {
                assertTrue(release.await(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
              } catch (final InterruptedException e) {
                throw new IllegalStateException(e);
              }
            });
    assertTrue(blocked.await(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
    return release;
  }

  private Thread startShutdown() {
    final Thread shutdown = new Thread(courier::shutDownGracefully);
    shutdown.start();
    return shutdown;
  }

  /** The request arrived before the shutdown and is still unread in the socket. */
  @Test
  void requestUnreadAtShutdown_isAnswered() throws Exception {
    final Socket socket = connectIdle();
    final CountDownLatch release = blockEventLoop();
    write(socket, CourierHarness.submitRequest("m1", "safe"));
    final Thread shutdown = startShutdown();
    harness.await(
        "the request to shut down is queued",
        () ->
            courier.eventLoop() instanceof SingleThreadEventExecutor loop
                && loop.pendingTasks() > 0);
    release.countDown();
    final CourierHarness.Response response = CourierHarness.readResponse(socket.getInputStream());
    assertEquals(202, response.status());
    assertTrue(response.head().contains("connection: close"), response.head());
    assertEquals(-1, socket.getInputStream().read(), "expected an orderly close");
    harness.await("the call", () -> harness.firstEndpoint.requests.size() == 1);
    shutdown.join(TimeUnit.SECONDS.toMillis(CourierHarness.TIMEOUT_S));
  }

  @Test
  void requestCrossingIdleTimeout_doesNotResetConnection() throws Exception {
    final Socket socket = connectIdle();
    assertEquals(-1, socket.getInputStream().read(), "expected an orderly close");
    write(socket, CourierHarness.submitRequest("m1", "safe"));
    write(socket, CourierHarness.submitRequest("m1", "safe"));
    assertEquals(-1, socket.getInputStream().read(), "expected no response and no reset");
    assertTrue(
        harness.firstEndpoint.requests.isEmpty(),
        "a request read after the close must not be forwarded");
  }

  /**
   * Bytes that cross the close of a connection are read and discarded, because a reset could
   * overtake a response that is still being sent.
   */
  @Test
  void requestCrossingShutdown_doesNotResetConnection() throws Exception {
    final Socket socket = connectIdle();
    final Thread shutdown = startShutdown();
    assertEquals(-1, socket.getInputStream().read(), "expected an orderly close");
    write(socket, CourierHarness.submitRequest("m1", "safe"));
    write(socket, CourierHarness.submitRequest("m1", "safe"));
    assertEquals(-1, socket.getInputStream().read(), "expected no response and no reset");
    shutdown.join(TimeUnit.SECONDS.toMillis(CourierHarness.TIMEOUT_S));
    assertTrue(
        harness.firstEndpoint.requests.isEmpty(),
        "a request read after the close must not be forwarded");
  }

  /**
   * The first half of the request arrives before the shutdown, the second after the listener was
   * closed.
   */
  @Test
  void requestInPiecesAcrossShutdown_isAnswered(@TempDir final Path other) throws Exception {
    try (CourierHarness process = new CourierHarness(other)) {
      process.start();
      final String text = CourierHarness.submitRequest("m1", "safe");
      final Socket socket = process.connect();
      write(socket, text.substring(0, text.length() / 2));
      assertEquals(
          200, process.send(UP).status(), "the first half of the request has been read by then");
      final Process ending = process.terminate();
      awaitNoMoreConnections(process);
      write(socket, text.substring(text.length() / 2));
      final CourierHarness.Response response = CourierHarness.readResponse(socket.getInputStream());
      assertEquals(202, response.status());
      assertTrue(response.head().contains("connection: close"), response.head());
      assertTrue(ending.waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
      // The process leaves a call that its end could interrupt to the next process.
      process.start();
      process.await(
          "the call, by this process or the next",
          () -> process.firstEndpoint.requests.size() == 1);
    }
  }

  private static void awaitNoMoreConnections(final CourierHarness process) {
    process.await(
        "the listener to refuse connections",
        () -> {
          try {
            process.connect().close();
            return false;
          } catch (final ConnectException e) {
            return true;
          } catch (final IOException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  /**
   * Connections without a request, and others that open and close, do not make the shutdown last
   * until its time limit.
   */
  @Test
  void connectionsWithoutRequest_doNotDelayShutdown(@TempDir final Path other) throws Exception {
    try (CourierHarness process = new CourierHarness(other)) {
      process.start();
      final Socket withoutRequest = process.connect();
      assertEquals(
          200,
          process.send(UP).status(),
          "the connection without a request has been accepted by then");
      final long sinceNs = System.nanoTime();
      final Process ending = process.terminate();
      awaitNoMoreConnections(process);
      assertTrue(ending.waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
      final long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNs);
      assertTrue(tookMs < FULL_SHUTDOWN_MS, "ended after " + tookMs + " ms");
      withoutRequest.close();
    }
  }

  /** A request that stays incomplete is rejected before the process ends. */
  @Test
  void incompleteRequestAtShutdown_isRejected(@TempDir final Path other) throws Exception {
    try (CourierHarness process = new CourierHarness(other)) {
      process.start();
      final String text = CourierHarness.submitRequest("m1", "safe");
      final Socket socket = process.connect();
      write(socket, text.substring(0, text.length() / 2));
      assertEquals(
          200, process.send(UP).status(), "the first half of the request has been read by then");
      final Process ending = process.terminate();
      // 408 if the request timed out first, or 503 because the process shuts down.
      final int status = CourierHarness.readResponse(socket.getInputStream()).status();
      assertTrue(status == 408 || status == 503, "status " + status);
      assertEquals(-1, socket.getInputStream().read(), "expected an orderly close");
      assertTrue(ending.waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
      assertTrue(process.firstEndpoint.requests.isEmpty());
    }
  }
}
