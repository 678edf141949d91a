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

/**
 * Connections that say nothing give back what they do not need, and are served as before once they
 * speak.
 */
@Tag("scale")
final class RestingConnectionsTest {
  private static final String UP = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

  /**
   * After so long without a request a connection rests; what is kept between requests ends after 10
   * s.
   */
  private static final long REST_MS = 1_000;

  private StandInWorld world;
  private CourierServer courier;
  private String address;
  private final List<Socket> sockets = new ArrayList<>();

  @BeforeEach
  void start(@TempDir final Path folder) throws Exception {
    world = new StandInWorld(folder, 3);
    final StandInEndpoint endpoint = world.endpoint(7);
    world.platform.tell(endpoint, "Ready", 500);
    courier = CourierServer.start(world.environment(CourierFiles.Size.usual()));
    address = courier.ready().get(Rig.PATIENCE_S, TimeUnit.SECONDS);
  }

  @AfterEach
  void end() throws IOException {
    for (final Socket socket : sockets) {
      socket.close();
    }
    courier.kill();
    world.close();
  }

  private Socket connect() throws IOException {
    final Socket socket =
        new Socket("127.0.0.1", Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)));
    socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Rig.PATIENCE_S));
    sockets.add(socket);
    return socket;
  }

  private static void write(final Socket socket, final String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static int status(final Socket socket) throws IOException {
    return Rig.read(socket.getInputStream()).status();
  }

  /** Keeps one connection busy until the others have rested for certain. */
  private void letRest(final Socket busy) throws IOException {
    final long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2 * REST_MS);
    while (System.nanoTime() < untilNs) {
      write(busy, UP);
      assertEquals(200, status(busy));
    }
  }

  @Test
  void allThatRestWakeAtOnceAndEachIsServed() throws IOException {
    final Socket busy = connect();
    final List<Socket> resting = new ArrayList<>();
    for (int index = 0; index < 150; index++) {
      final Socket socket = connect();
      write(socket, UP);
      assertEquals(200, status(socket));
      resting.add(socket);
    }
    letRest(busy);
    int number = 0;
    for (final Socket socket : resting) {
      // Some in two pieces, some with a second request right behind: all while others wait for
      // their turn.
      final String text = number % 2 == 0 ? UP : Rig.message("m" + number, "safe");
      write(socket, number % 3 == 0 ? text.substring(0, 9) : text);
      number++;
    }
    for (int index = 0; index < resting.size(); index += 3) {
      write(
          resting.get(index),
          (index % 2 == 0 ? UP : Rig.message("m" + index, "safe")).substring(9) + UP);
    }
    for (int index = 0; index < resting.size(); index++) {
      assertEquals(index % 2 == 0 ? 200 : 202, status(resting.get(index)), "connection " + index);
      if (index % 3 == 0) {
        assertEquals(200, status(resting.get(index)), "second on connection " + index);
      }
    }
  }

  /**
   * The beginning of a further request came with the last one: the connection rests on it and
   * forgets nothing.
   */
  @Test
  void theBeginningOfTheNextRequestIsKept() throws IOException {
    final Socket busy = connect();
    final Socket socket = connect();
    write(socket, UP + UP.substring(0, 12));
    assertEquals(200, status(socket));
    letRest(busy);
    write(socket, UP.substring(12));
    assertEquals(200, status(socket));
  }
}
