package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** More clients connect to a paused courier than its limit allows, each with a complete request. */
@Tag("crossings")
@Timeout(120)
final class ConnectionLimitAfterPauseTest {
  private static final int SOCKET_LIMIT = 100;
  private static final int CLIENT_COUNT = 150;

  private CourierHarness harness;
  private CourierServer courier;
  private int port;
  private final List<Socket> clients = new ArrayList<>();

  @BeforeEach
  void startCourier(@TempDir final Path folder) throws Exception {
    harness = new CourierHarness(folder);
    harness.socketLimit = SOCKET_LIMIT;
    harness.maxOpenConnections = 2 * CLIENT_COUNT;
    courier =
        CourierServer.start(
            Map.of(
                "PROXY_CONFIG",
                harness.writeConfiguration(harness.platform.address()).toString(),
                "PROXY_STATE",
                folder.resolve("state").toString()));
    final String address = courier.ready().get(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS);
    port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
  }

  @AfterEach
  void stopCourier() throws IOException {
    for (final Socket client : clients) {
      client.close();
    }
    courier.kill();
    harness.close();
  }

  /**
   * A connection with an unread request looks idle: all requests are read before any connection is
   * evicted.
   */
  @Test
  void connectionsOverLimitWithUnreadRequests_areAllAnswered() throws Exception {
    final CountDownLatch paused = new CountDownLatch(1);
    final CountDownLatch resume = new CountDownLatch(1);
    courier
        .eventLoop()
        .execute(
            () -> {
              paused.countDown();
              try {
                resume.await();
              } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    paused.await();
    for (int number = 0; number < CLIENT_COUNT; number++) {
      final Socket client = new Socket("127.0.0.1", port);
      client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(CourierHarness.TIMEOUT_S));
      client
          .getOutputStream()
          .write(
              CourierHarness.submitRequest("m" + number, "safe")
                  .getBytes(StandardCharsets.US_ASCII));
      clients.add(client);
    }
    resume.countDown();
    for (int number = 0; number < CLIENT_COUNT; number++) {
      assertEquals(
          202,
          CourierHarness.readResponse(clients.get(number).getInputStream()).status(),
          "client " + number);
    }
  }
}
