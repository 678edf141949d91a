package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Ends that are told over a connection that has fallen silent: another try fits into the time that
 * there is.
 */
@Tag("crossings")
@Timeout(120)
final class NoticesTest {
  private static final long TIME_MS = 1000;

  /** How long after its message's time a notice may come. */
  private static final long GRACE_MS = 300;

  @TempDir private Path folder;
  private Rig rig;

  @BeforeEach
  void build() throws IOException {
    rig = new Rig(folder);
    // Nothing may be sent to it, so that a message waits until its time is up.
    rig.hosts = Rig.host("e1", rig.first, "Terminating");
  }

  @AfterEach
  void end() throws IOException {
    rig.close();
  }

  private static String brief(final String id) {
    return Rig.message(id, "safe").replace("20000", Long.toString(TIME_MS));
  }

  /**
   * The first connection takes the notice and says nothing: the message's end is told in time all
   * the same.
   */
  @Test
  void aConnectionThatFallsSilentDoesNotLoseAnEnd() throws IOException {
    final List<FakeServer.Request> told = new CopyOnWriteArrayList<>();
    rig.platform.script(
        (request, connection) -> {
          if (!request.line().startsWith("POST")) {
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            connection.chunk("\n");
          } else if (told.isEmpty()) {
            told.add(request);
          } else {
            told.add(request);
            connection.answer(204, "");
          }
        });
    rig.start();
    final long sentNs = System.nanoTime();
    assertEquals(202, rig.send(brief("m1")).status());
    rig.await("two tries", () -> told.size() >= 2);
    final long tookMs = TimeUnit.NANOSECONDS.toMillis(told.get(1).atNs() - sentNs);
    assertTrue(tookMs <= TIME_MS + GRACE_MS, "told after " + tookMs + " ms");
    assertTrue(told.get(1).text().contains("m1"), told.get(1).text());
  }
}
