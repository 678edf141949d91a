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

/**
 * More clients than the courier has room for connect while it stands still, each with a whole
 * request.
 */
@Tag("crossings")
@Timeout(120)
final class CrowdAfterStandstillTest {
  private static final int SOCKETS = 100;
  private static final int CLIENTS = 150;

  private Rig rig;
  private CourierServer courier;
  private int port;
  private final List<Socket> clients = new ArrayList<>();

  @BeforeEach
  void start(@TempDir final Path folder) throws Exception {
    rig = new Rig(folder);
    rig.sockets = SOCKETS;
    rig.maxOpen = 2 * CLIENTS;
    courier =
        CourierServer.start(
            Map.of(
                "PROXY_CONFIG",
                rig.configure(rig.platform.address()).toString(),
                "PROXY_STATE",
                folder.resolve("state").toString()));
    final String address = courier.ready().get(Rig.PATIENCE_S, TimeUnit.SECONDS);
    port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
  }

  @AfterEach
  void end() throws IOException {
    for (final Socket client : clients) {
      client.close();
    }
    courier.kill();
    rig.close();
  }

  /**
   * What waits to be accepted and read only seems to say nothing: it is read before anyone has to
   * make room.
   */
  @Test
  void eachOfThemIsAnswered() throws Exception {
    final CountDownLatch standing = new CountDownLatch(1);
    final CountDownLatch goOn = new CountDownLatch(1);
    courier
        .eventLoop()
        .execute(
            () -> {
              standing.countDown();
              try {
                goOn.await();
              } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    standing.await();
    for (int number = 0; number < CLIENTS; number++) {
      final Socket client = new Socket("127.0.0.1", port);
      client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Rig.PATIENCE_S));
      client
          .getOutputStream()
          .write(Rig.message("m" + number, "safe").getBytes(StandardCharsets.US_ASCII));
      clients.add(client);
    }
    goOn.countDown();
    for (int number = 0; number < CLIENTS; number++) {
      assertEquals(
          202, Rig.read(clients.get(number).getInputStream()).status(), "client " + number);
    }
  }
}
