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

/**
 * Connections that a courier ends, and requests that meet that: each gets its one answer, or is
 * surely not taken.
 */
@Tag("crossings")
@Timeout(120)
final class ConnectionCloseTest {
  private static final String UP = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";
  private static final long IDLE_US = 300_000;

  /** A process that is waited for ends so long after its order to. */
  private static final long FULL_STOP_MS = 2800;

  @TempDir private Path folder;
  private CourierHarness rig;
  private CourierServer courier;
  private String address;

  @BeforeEach
  void start() throws Exception {
    rig = new CourierHarness(folder);
    final CourierOptions usual = CourierOptions.platformDefaults();
    courier =
        CourierServer.start(
            Map.of(
                "PROXY_CONFIG",
                rig.writeConfiguration(rig.platform.address()).toString(),
                "PROXY_STATE",
                folder.resolve("state").toString()),
            null,
            new CourierOptions(
                IDLE_US,
                usual.clientDescriptorShare(),
                usual.endpointDescriptorShare(),
                usual.shardCount(),
                usual.retainsLearnedState()));
    address = courier.ready().get(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS);
  }

  @AfterEach
  void end() throws IOException {
    courier.kill();
    rig.close();
  }

  private int port() {
    return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
  }

  private Socket connect() throws IOException {
    final Socket socket = new Socket("127.0.0.1", port());
    socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(CourierHarness.TIMEOUT_S));
    return socket;
  }

  /** A connection that has been used and asks nothing. */
  private Socket connectIdle() throws IOException {
    final Socket socket = connect();
    assertEquals(200, CourierHarness.send(socket, UP).status());
    return socket;
  }

  private static void write(final Socket socket, final String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** Has the loop stand still from now on until that is done. */
  private CountDownLatch blockEventLoop() throws InterruptedException {
    final CountDownLatch standing = new CountDownLatch(1);
    final CountDownLatch release = new CountDownLatch(1);
    courier
        .eventLoop()
        .execute(
            () -> {
              standing.countDown();
              try {
                assertTrue(release.await(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
              } catch (final InterruptedException e) {
                throw new IllegalStateException(e);
              }
            });
    assertTrue(standing.await(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
    return release;
  }

  private Thread startShutdown() {
    final Thread stopping = new Thread(courier::shutDownGracefully);
    stopping.start();
    return stopping;
  }

  /**
   * The request lies in the socket when the courier is told to end: it came before, and is
   * answered.
   */
  @Test
  void requestUnreadAtShutdown_isAnswered() throws Exception {
    final Socket socket = connectIdle();
    final CountDownLatch release = blockEventLoop();
    write(socket, CourierHarness.submitRequest("m1", "safe"));
    final Thread stopping = startShutdown();
    rig.await(
        "the order to end waits behind",
        () ->
            courier.eventLoop() instanceof SingleThreadEventExecutor loop
                && loop.pendingTasks() > 0);
    release.countDown();
    final CourierHarness.Response answer = CourierHarness.readResponse(socket.getInputStream());
    assertEquals(202, answer.status());
    assertTrue(answer.head().contains("connection: close"), answer.head());
    assertEquals(-1, socket.getInputStream().read(), "an end in order");
    rig.await("the call", () -> rig.firstEndpoint.requests.size() == 1);
    stopping.join(TimeUnit.SECONDS.toMillis(CourierHarness.TIMEOUT_S));
  }

  /** The same reset, where a connection has been idle for too long. */
  @Test
  void requestCrossingIdleTimeout_doesNotResetConnection() throws Exception {
    final Socket socket = connectIdle();
    assertEquals(-1, socket.getInputStream().read(), "an end in order");
    write(socket, CourierHarness.submitRequest("m1", "safe"));
    write(socket, CourierHarness.submitRequest("m1", "safe"));
    assertEquals(-1, socket.getInputStream().read(), "nothing is said to it, and nothing breaks");
    assertTrue(rig.firstEndpoint.requests.isEmpty(), "read behind the end, it is not sent on");
  }

  /**
   * What crosses the end of a connection is read away: a reset could overtake an answer that is on
   * its way.
   */
  @Test
  void requestCrossingShutdown_doesNotResetConnection() throws Exception {
    final Socket socket = connectIdle();
    final Thread stopping = startShutdown();
    assertEquals(-1, socket.getInputStream().read(), "an end in order");
    write(socket, CourierHarness.submitRequest("m1", "safe"));
    write(socket, CourierHarness.submitRequest("m1", "safe"));
    assertEquals(-1, socket.getInputStream().read(), "nothing is said to it, and nothing breaks");
    stopping.join(TimeUnit.SECONDS.toMillis(CourierHarness.TIMEOUT_S));
    assertTrue(rig.firstEndpoint.requests.isEmpty(), "read behind the end, it is not sent on");
  }

  /** The first half came before the order to end, the second after the listener has gone. */
  @Test
  void requestInPiecesAcrossShutdown_isAnswered(@TempDir final Path other) throws Exception {
    try (CourierHarness process = new CourierHarness(other)) {
      process.start();
      final String text = CourierHarness.submitRequest("m1", "safe");
      final Socket socket = process.connect();
      write(socket, text.substring(0, text.length() / 2));
      assertEquals(200, process.send(UP).status(), "the half has been read by then");
      final Process ending = process.terminate();
      awaitNoMoreConnections(process);
      write(socket, text.substring(text.length() / 2));
      final CourierHarness.Response answer = CourierHarness.readResponse(socket.getInputStream());
      assertEquals(202, answer.status());
      assertTrue(answer.head().contains("connection: close"), answer.head());
      assertTrue(ending.waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
      // A call that the end of this process could cut off is left to the next one.
      process.start();
      process.await(
          "its call, by this process or the next",
          () -> process.firstEndpoint.requests.size() == 1);
    }
  }

  private static void awaitNoMoreConnections(final CourierHarness process) {
    process.await(
        "no more connections",
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
   * Connections that ask nothing, and others that come and go, do not have the process wait for its
   * last moment.
   */
  @Test
  void connectionsWithoutRequest_doNotDelayShutdown(@TempDir final Path other) throws Exception {
    try (CourierHarness process = new CourierHarness(other)) {
      process.start();
      final Socket silent = process.connect();
      assertEquals(200, process.send(UP).status(), "the silent one has been accepted by then");
      final long sinceNs = System.nanoTime();
      final Process ending = process.terminate();
      awaitNoMoreConnections(process);
      assertTrue(ending.waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
      final long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNs);
      assertTrue(tookMs < FULL_STOP_MS, "ended after " + tookMs + " ms");
      silent.close();
    }
  }

  /** A request that never comes in whole is told so before the process ends. */
  @Test
  void incompleteRequestAtShutdown_isRejected(@TempDir final Path other) throws Exception {
    try (CourierHarness process = new CourierHarness(other)) {
      process.start();
      final String text = CourierHarness.submitRequest("m1", "safe");
      final Socket socket = process.connect();
      write(socket, text.substring(0, text.length() / 2));
      assertEquals(200, process.send(UP).status(), "the half has been read by then");
      final Process ending = process.terminate();
      // By how it came: for the time that it took, or for want of any.
      final int status = CourierHarness.readResponse(socket.getInputStream()).status();
      assertTrue(status == 408 || status == 503, "told " + status);
      assertEquals(-1, socket.getInputStream().read(), "an end in order");
      assertTrue(ending.waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
      assertTrue(process.firstEndpoint.requests.isEmpty());
    }
  }
}
