package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Answers to calls with several messages, of which some have ended while the call was out. */
@Tag("crossings")
@Timeout(120)
final class BulkAnswerTest {
  private static final long BRIEF_MS = 1500;

  @TempDir private Path folder;
  private Rig rig;
  private final List<FakeServer.Request> bulks = new CopyOnWriteArrayList<>();
  private final List<FakeServer.Request> singles = new CopyOnWriteArrayList<>();
  private final AtomicReference<FakeServer.Connection> first = new AtomicReference<>();

  /** How the endpoint answers a call in which the time of some messages is up. */
  enum How {
    /** Whole: all of them were delivered. */
    WHOLE,
    /** Its first lines, and then the connection breaks. */
    CUT_OFF
  }

  @BeforeEach
  void start() throws IOException {
    rig = new Rig(folder);
    rig.slots = 1;
    rig.first.script(
        (request, connection) -> {
          if (request.line().contains("/inbox/bulk")) {
            bulks.add(request);
          } else if (!first.compareAndSet(null, connection)) {
            singles.add(request);
            connection.answer(200, "");
          }
        });
    rig.start();
  }

  @AfterEach
  void end() throws IOException {
    rig.close();
  }

  private static String brief(final String id) {
    return Rig.message(id, "safe").replace("20000", Long.toString(BRIEF_MS));
  }

  /**
   * Several messages share a call's fate: once the time of one is up nothing that comes of it
   * delivers the others.
   */
  @ParameterizedTest
  @EnumSource(How.class)
  void aCallIsOverForAllOfItsMessagesWithTheTimeOfTheFirst(final How how) throws IOException {
    // The one slot is taken until all three wait behind it, however long it takes them to come.
    assertEquals(202, rig.handIn("ahead", "safe").status());
    rig.await("the call ahead", () -> first.get() != null);
    assertEquals(202, rig.handIn("m1", "safe").status());
    assertEquals(202, rig.handIn("m2", "safe").status());
    assertEquals(202, rig.send(brief("m0")).status());
    first.get().answer(200, "");
    rig.await("one call for what waited", () -> bulks.size() == 1);
    final FakeServer.Request call = bulks.get(0);
    assertTrue(
        List.of("m0", "m1", "m2").stream().allMatch(id -> call.text().contains('"' + id + '"')),
        call.text());
    rig.await("the end of the one whose time is up", () -> rig.noticed("m0", "deferred"));
    final String states =
        "[{\"id\":\"m0\",\"state\":\"accepted\"},{\"id\":\"m1\",\"state\":\"accepted\"},"
            + "{\"id\":\"m2\",\"state\":\"accepted\"}]";
    if (how == How.WHOLE) {
      call.connection().answer(200, states);
    } else {
      call.connection()
          .write("HTTP/1.1 200 OK\r\nContent-Length: " + states.length() + "\r\n\r\n[{");
      call.connection().reset();
    }
    rig.await("another call for those that have time", () -> bulks.size() == 2);
    final FakeServer.Request again = bulks.get(1);
    assertFalse(again.text().contains("\"m0\""), again.text());
    assertTrue(again.text().contains("\"m1\"") && again.text().contains("\"m2\""), again.text());
    again.connection().answer(200, states);
    // The one slot is free again only once that call is over.
    assertEquals(202, rig.handIn("behind", "safe").status());
    rig.await("the call behind", () -> singles.size() == 1);
    assertEquals("behind", singles.get(0).header("X-Request-ID"));
    assertFalse(rig.noticed("m1", "") || rig.noticed("m2", ""), rig.notices.toString());
  }
}
