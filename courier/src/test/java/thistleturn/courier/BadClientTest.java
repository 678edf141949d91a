package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Clients that send what cannot be used, too much of it, or nothing: each is told or left within
 * three seconds.
 */
@Timeout(120)
final class BadClientTest {
  private static final double OWED_S = 3;

  @TempDir private Path folder;
  private Rig rig;

  @BeforeEach
  void build() throws IOException {
    rig = new Rig(folder);
    rig.start();
    rig.await("the watch", () -> rig.watches.size() == 1);
  }

  @AfterEach
  void end() throws IOException {
    rig.close();
  }

  /** All that a connection says until it ends. */
  private static String allOf(final Socket socket) throws IOException {
    try {
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    } catch (final SocketException e) {
      return "reset";
    }
  }

  private String tell(final String raw) throws IOException {
    try (Socket socket = rig.connect()) {
      final long startNs = System.nanoTime();
      socket.getOutputStream().write(raw.getBytes(StandardCharsets.ISO_8859_1));
      final String said = allOf(socket);
      final double seconds = (System.nanoTime() - startNs) / 1e9;
      assertTrue(seconds < OWED_S, "after " + seconds + " s");
      return said;
    }
  }

  private void assertOnlyGoodOneArrives() throws IOException {
    assertEquals(202, rig.handIn("good", "safe").status());
    rig.await("the good one", () -> rig.first.requests.size() == 1);
    assertEquals("good", rig.first.requests.get(0).header("X-Request-ID"));
  }

  @Test
  void aConnectionThatSaysNothingIsClosed() throws IOException {
    assertEquals("", tell(""));
  }

  @Test
  void aHeadThatDoesNotEndIsTurnedAway() throws IOException {
    assertTrue(tell("POST /safe HTTP/1.1\r\nHost: x\r\nX-").startsWith("HTTP/1.1 408"));
  }

  @Test
  void aBodyThatDoesNotEndIsTurnedAwayAlsoOnAConnectionThatWasUsed() throws IOException {
    final String half = Rig.message("half", "safe").replace("Length: 5", "Length: 50");
    final String said = tell("GET /up HTTP/1.1\r\nHost: x\r\n\r\n" + half);
    assertTrue(said.startsWith("HTTP/1.1 200") && said.contains("HTTP/1.1 408"), said);
    assertOnlyGoodOneArrives();
  }

  @Test
  void aRequestThatMayHideAnotherIsTurnedAwayWithAllBehindIt() throws IOException {
    final String hidden = Rig.message("hidden", "safe");
    final String good = Rig.message("outer", "safe");
    final List<String> bad =
        List.of(
            good.replace("Content-Length: 5", "Content-Length: 5\r\nTransfer-Encoding: chunked"),
            good.replace("Content-Length: 5", "Transfer-Encoding: chunked\r\nContent-Length: 5"),
            good.replace("Content-Length: 5", "Content-Length: 5\r\nContent-Length: 6"),
            good.replace("Content-Length: 5", "Content-Length: 5, 5"),
            good.replace("Content-Length: 5", "Content-Length: +5"),
            good.replace("Content-Length: 5", "Transfer-Encoding: xchunked"),
            good.replace("Content-Length: 5", "Content-Length: 5\r\nTransfer-Encoding: identity"),
            good.replace(
                "Content-Length: 5\r\n\r\nhello",
                "Transfer-Encoding: chunked\r\n\r\nxyz\r\nhello\r\n"),
            good.replace("dest=7", "dest=none"));
    for (final String raw : bad) {
      final String said = tell(raw + hidden);
      assertTrue(
          said.startsWith("HTTP/1.1 4") && said.indexOf("HTTP/1.1", 1) < 0, said + " for " + raw);
    }
    assertOnlyGoodOneArrives();
  }

  @Test
  void aDestinationThatDoesNotExistIsTurnedAway() throws IOException {
    assertTrue(
        tell(Rig.message("m1", "safe").replace("dest=7", "dest=8")).startsWith("HTTP/1.1 404"));
    rig.change(42, Rig.host("e8", rig.first, "Ready").replace("\"block\":7", "\"block\":8"));
    rig.await(
        "the new destination",
        () -> {
          try {
            return rig.send(
                        Rig.message("m" + System.nanoTime(), "safe").replace("dest=7", "dest=8"))
                    .status()
                == 202;
          } catch (final IOException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  @Test
  void hundredsThatSayNothingLeaveRoomForOneThatAsks() throws IOException {
    final List<Socket> silent = new ArrayList<>();
    for (int count = 0; count < 780; count++) {
      silent.add(rig.connect());
    }
    assertEquals(202, rig.handIn("good", "safe").status());
    // Clients' share of 1,024 descriptors, and half of the endpoints', which have no use for it:
    // the rest was closed.
    int closed = 0;
    for (final Socket socket : silent) {
      socket.setSoTimeout(1);
      try {
        closed += socket.getInputStream().read() < 0 ? 1 : 0;
      } catch (final java.net.SocketTimeoutException e) {
        assertTrue(socket.isConnected());
      }
    }
    assertTrue(closed >= 150, "closed at once: " + closed);
    for (final Socket socket : silent) {
      socket.close();
    }
  }

  @Test
  void manyRequestsAtOnceAreAnsweredUpToABound() throws IOException {
    final StringBuilder many = new StringBuilder();
    for (int count = 0; count < 300; count++) {
      many.append(Rig.message("m" + count, "safe"));
    }
    final String said = tell(many.toString());
    final int answers = said.split("HTTP/1.1 ", -1).length - 1;
    assertTrue(answers >= 1 && answers <= 40, "answers: " + answers);
  }

  /** A client that has sent its request may close its sending side; it still reads. */
  @Test
  void aClientThatSendsNoMoreIsAnsweredAllTheSame() throws IOException {
    for (int count = 0; count < 20; count++) {
      try (Socket socket = rig.connect()) {
        socket
            .getOutputStream()
            .write(Rig.message("m" + count, "safe").getBytes(StandardCharsets.ISO_8859_1));
        socket.shutdownOutput();
        final String said = allOf(socket);
        assertTrue(
            said.startsWith("HTTP/1.1 202") || said.startsWith("HTTP/1.1 503"), "said: " + said);
      }
    }
  }

  /**
   * A message's time runs from its sending: one that waited to be read ends in time all the same.
   */
  @Test
  void aBodyFarTooLargeIsTurnedAwayAtItsHead() throws IOException {
    final String head =
        Rig.message("m1", "safe").replace("Length: 5", "Length: 60000000").replace("hello", "");
    assertTrue(tell(head).startsWith("HTTP/1.1 413"));
  }
}
