package thistleturn.courier.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.epoll.Epoll;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Once connections are steered, the newer of two listeners at an address gets all new ones. */
@Tag("operators")
final class ListenerSteeringTest {
  private static final int BACKLOG = 256;
  private static final int CONNECTIONS = 200;
  private static final long TIMEOUT_S = 10;

  private ServerSocketChannel older;
  private ServerSocketChannel newer;
  private int port;

  @BeforeEach
  void listen() throws IOException {
    assertTrue(
        Epoll.isAvailable(),
        () -> "Netty's native epoll library is unavailable: " + Epoll.unavailabilityCause());
    older = listenAt(0);
    port = ((InetSocketAddress) older.getLocalAddress()).getPort();
    newer = listenAt(port);
  }

  @AfterEach
  void close() throws IOException {
    older.close();
    newer.close();
  }

  private static ServerSocketChannel listenAt(final int address) throws IOException {
    final ServerSocketChannel listener = ServerSocketChannel.open();
    listener.setOption(StandardSocketOptions.SO_REUSEPORT, true);
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), address), BACKLOG);
    listener.configureBlocking(false);
    return listener;
  }

  private void connect() throws IOException {
    for (int number = 0; number < CONNECTIONS; number++) {
      SocketChannel.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)).close();
    }
  }

  private static int acceptAll(final ServerSocketChannel listener) throws IOException {
    int accepted = 0;
    for (SocketChannel next = listener.accept(); next != null; next = listener.accept()) {
      next.close();
      accepted++;
    }
    return accepted;
  }

  private void steer() throws Exception {
    ListenerSteering.steerToNewer(port).get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  @Test
  void notSteered_bothAccept() throws IOException {
    connect();
    final int atOlder = acceptAll(older);
    assertTrue(atOlder > 0 && atOlder < CONNECTIONS, "the older listener accepted " + atOlder);
  }

  /** Otherwise requests in the older listener's backlog would be reset when it closes. */
  @Test
  void steered_newerAcceptsAll() throws Exception {
    steer();
    connect();
    assertEquals(0, acceptAll(older));
    assertEquals(CONNECTIONS, acceptAll(newer));
  }

  @Test
  void olderClosed_newerAcceptsAll() throws Exception {
    steer();
    older.close();
    connect();
    assertEquals(CONNECTIONS, acceptAll(newer));
  }

  @Test
  void newerClosed_olderAcceptsAll() throws Exception {
    steer();
    newer.close();
    connect();
    assertEquals(CONNECTIONS, acceptAll(older));
  }

  @Test
  void thirdListenerAfterOlderClosed_acceptsAll() throws Exception {
    steer();
    older.close();
    try (ServerSocketChannel third = listenAt(port)) {
      connect();
      assertEquals(0, acceptAll(newer));
      assertEquals(CONNECTIONS, acceptAll(third));
    }
  }

  @Test
  void noListenerAtPort_fails() throws Exception {
    close();
    final ExecutionException failure =
        assertThrows(
            ExecutionException.class,
            () -> ListenerSteering.steerToNewer(port).get(TIMEOUT_S, TimeUnit.SECONDS));
    assertTrue(failure.getCause() instanceof IOException, failure::toString);
  }
}
