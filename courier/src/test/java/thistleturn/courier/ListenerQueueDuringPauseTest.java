package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
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

/**
 * A courier accepts nothing for a while, because its process is stopped or starved. Each request
 * that comes meanwhile needs a connection of its own, and all of these wait in the queue of the
 * listener. The queue was 256 long; the system drops the handshakes beyond that and says nothing,
 * and the clients give up after 400 ms with requests that no courier ever saw.
 *
 * <p>Seen in {@code PausedCourierTest} (150 requests a second, stops of 2.5 s: up to 375 want in):
 * 325 of 1,757 requests had no answer in one play, while {@code nstat} counted 332 in {@code
 * TcpExtListenOverflows} over that play and the next, from 0.
 */
@Tag("health")
@Timeout(120)
final class ListenerQueueDuringPauseTest {
  /** What comes in a stop of 2.5 s at 150 requests a second. */
  private static final int CLIENT_COUNT = 375;

  /** The system repeats a dropped handshake after 1 s; one that is queued takes microseconds. */
  private static final int CONNECT_TIMEOUT_MS = 500;

  private CourierHarness harness;
  private CourierServer courier;
  private int port;
  private final List<Socket> clients = new ArrayList<>();

  @BeforeEach
  void startCourier(@TempDir final Path folder) throws Exception {
    harness = new CourierHarness(folder);
    harness.socketLimit = 1024;
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

  /** Returns false if the listener's queue had no place. */
  private boolean connectAndSubmit(final int number) throws IOException {
    final Socket client = new Socket();
    clients.add(client);
    try {
      client.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_TIMEOUT_MS);
    } catch (final SocketTimeoutException e) {
      return false;
    }
    client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(CourierHarness.TIMEOUT_S));
    client
        .getOutputStream()
        .write(
            CourierHarness.submitRequest("m" + number, "safe").getBytes(StandardCharsets.US_ASCII));
    return true;
  }

  @Test
  void connectionsDuringPause_allWaitInTheQueueAndAreAnswered() throws Exception {
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
    try {
      for (int number = 0; number < CLIENT_COUNT; number++) {
        assertTrue(connectAndSubmit(number), "place for client " + number);
      }
    } finally {
      resume.countDown();
    }
    for (int number = 0; number < CLIENT_COUNT; number++) {
      assertEquals(
          202,
          CourierHarness.readResponse(clients.get(number).getInputStream()).status(),
          "client " + number);
    }
  }
}
