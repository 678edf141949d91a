package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.FreePorts;
import thistleturn.testkit.StandInWorld;

/**
 * Two couriers in one JVM, the older one with a busy event loop: clients that connect while its
 * listener closes are answered.
 */
@Tag("operators")
@Timeout(120)
final class HandoverListenerTest {
  private static final int CLIENTS = 4;
  private static final int TAKEOVERS = Integer.getInteger("handover.takeovers", 2);
  private static final long BUSY_NS = TimeUnit.MILLISECONDS.toNanos(15);
  private static final int READ_TIMEOUT_MS = 20_000;
  private static final long TIMEOUT_S = 20;

  /** The older courier's listener is closed by this time after the newer one is ready. */
  private static final long LISTENER_CLOSED_US = 600_000;

  @TempDir private Path folder;

  private final AtomicBoolean ended = new AtomicBoolean();
  private final AtomicInteger answered = new AtomicInteger();
  private final Queue<String> failures = new ConcurrentLinkedQueue<>();

  /** Guards against resets of connections that are in the backlog of a closing listener. */
  @Test
  void clientsConnectWhileOlderListenerCloses_allAreAnswered() throws Exception {
    try (StandInWorld world = new StandInWorld(folder, 1)) {
      world.platform.announce(world.endpoint(1), "Ready", 2000);
      final Map<String, String> environment =
          new HashMap<>(world.environment(CourierFiles.Size.usual()));
      final int port = FreePorts.next();
      environment.put("PROXY_LISTEN", "127.0.0.1:" + port);
      environment.put("PROXY_OPERATOR", "127.0.0.1:0");
      CourierServer serving = startCourier(environment);
      final List<Thread> clients = startClients(port);
      for (int takeover = 0; takeover < TAKEOVERS; takeover++) {
        keepBusy(serving);
        final CourierServer newer = startCourier(environment);
        world.waitUntil(world.clock.nowUs() + LISTENER_CLOSED_US);
        serving.kill();
        serving = newer;
      }
      ended.set(true);
      for (final Thread client : clients) {
        client.join();
      }
      serving.kill();
      assertEquals(
          List.of(), List.copyOf(failures), () -> "failures besides " + answered + " answers");
      assertTrue(answered.get() > 0, "no client was answered");
    }
  }

  private static CourierServer startCourier(final Map<String, String> environment)
      throws Exception {
    final CourierServer courier = CourierServer.start(environment);
    courier.ready().get(TIMEOUT_S, TimeUnit.SECONDS);
    return courier;
  }

  /** Delays each iteration of the event loop, so that many connections arrive between two polls. */
  private static void keepBusy(final CourierServer courier) {
    courier
        .eventLoop()
        .scheduleWithFixedDelay(() -> LockSupport.parkNanos(BUSY_NS), 0, 1, TimeUnit.MILLISECONDS);
  }

  private List<Thread> startClients(final int port) {
    final List<Thread> clients = new ArrayList<>();
    for (int number = 0; number < CLIENTS; number++) {
      final String prefix = "c" + number + "-";
      final Thread client = new Thread(() -> sendUntilEnded(prefix, port), prefix);
      client.start();
      clients.add(client);
    }
    return clients;
  }

  private void sendUntilEnded(final String prefix, final int port) {
    for (int number = 0; !ended.get(); number++) {
      try {
        send(prefix + number, port);
        answered.incrementAndGet();
      } catch (final IOException e) {
        failures.add(prefix + number + ": " + e);
      }
    }
  }

  /** Sends one request over a new connection. */
  private static void send(final String id, final int port) throws IOException {
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(READ_TIMEOUT_MS);
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      final String request =
          "POST /safe HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %s\r\nX-Priority-Class: safe\r\n"
                  .formatted(id)
              + "X-Timeout-Ms: 4000\r\nX-Consignee: dest=1\r\nContent-Length: 0\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      if (!FakeHttpServer.readLine(socket.getInputStream()).startsWith("HTTP/1.1 ")) {
        throw new IOException("no answer");
      }
    }
  }
}
