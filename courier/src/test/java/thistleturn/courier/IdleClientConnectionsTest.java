package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInWorld;

/** Idle connections hibernate, and are served as before once they receive bytes. */
@Tag("scale")
final class IdleClientConnectionsTest {
  private static final String HEALTH_CHECK_REQUEST = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

  /** A connection hibernates after this time without a request; it is closed after 10 s. */
  private static final long HIBERNATE_AFTER_MS = 1_000;

  private StandInWorld world;
  private CourierServer courier;
  private String address;
  private final List<Socket> sockets = new ArrayList<>();

  @BeforeEach
  void startCourier(@TempDir final Path folder) throws Exception {
    world = new StandInWorld(folder, 3);
    final StandInEndpoint endpoint = world.endpoint(7);
    world.platform.announce(endpoint, "Ready", 500);
    courier = CourierServer.start(world.environment(CourierFiles.Size.usual()));
    address = courier.ready().get(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS);
  }

  @AfterEach
  void stopCourier() throws IOException {
    for (final Socket socket : sockets) {
      socket.close();
    }
    courier.kill();
    world.close();
  }

  private Socket connect() throws IOException {
    final Socket socket =
        new Socket("127.0.0.1", Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)));
    socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(CourierHarness.TIMEOUT_S));
    sockets.add(socket);
    return socket;
  }

  private static void write(final Socket socket, final String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static int readStatus(final Socket socket) throws IOException {
    return CourierHarness.readResponse(socket.getInputStream()).status();
  }

  /** Keeps one connection busy until the others certainly hibernate. */
  private void awaitHibernation(final Socket busy) throws IOException {
    final long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2 * HIBERNATE_AFTER_MS);
    while (System.nanoTime() < untilNs) {
      write(busy, HEALTH_CHECK_REQUEST);
      assertEquals(200, readStatus(busy));
    }
  }

  @Test
  void simultaneousWakeUp_servesEveryConnection() throws IOException {
    final Socket busy = connect();
    final List<Socket> hibernating = new ArrayList<>();
    for (int index = 0; index < 150; index++) {
      final Socket socket = connect();
      write(socket, HEALTH_CHECK_REQUEST);
      assertEquals(200, readStatus(socket));
      hibernating.add(socket);
    }
    awaitHibernation(busy);
    // Some requests arrive in two pieces, some are followed by another, while others are queued.
    for (int index = 0; index < hibernating.size(); index++) {
      final String request = request(index);
      write(hibernating.get(index), index % 3 == 0 ? request.substring(0, 9) : request);
    }
    for (int index = 0; index < hibernating.size(); index += 3) {
      write(hibernating.get(index), request(index).substring(9) + HEALTH_CHECK_REQUEST);
    }
    for (int index = 0; index < hibernating.size(); index++) {
      final Socket socket = hibernating.get(index);
      assertEquals(index % 2 == 0 ? 200 : 202, readStatus(socket), "connection " + index);
      if (index % 3 == 0) {
        assertEquals(200, readStatus(socket), "second response on connection " + index);
      }
    }
  }

  /** Alternates between health checks and submissions. */
  private static String request(final int index) {
    return index % 2 == 0
        ? HEALTH_CHECK_REQUEST
        : CourierHarness.submitRequest("m" + index, "safe");
  }

  /** The beginning of the next request arrives together with the previous request. */
  @Test
  void partialNextRequest_survivesHibernation() throws IOException {
    final Socket busy = connect();
    final Socket socket = connect();
    write(socket, HEALTH_CHECK_REQUEST + HEALTH_CHECK_REQUEST.substring(0, 12));
    assertEquals(200, readStatus(socket));
    awaitHibernation(busy);
    write(socket, HEALTH_CHECK_REQUEST.substring(12));
    assertEquals(200, readStatus(socket));
  }
}
