package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Answers of endpoints that cannot be read, do not end, or bring more than belongs to them. */
@Timeout(120)
final class SpoiltAnswerTest {
  @TempDir private Path folder;
  private Rig rig;

  @BeforeEach
  void build() throws IOException {
    rig = new Rig(folder);
  }

  @AfterEach
  void end() throws IOException {
    rig.close();
  }

  /** Hands in an unsafe message that gets this answer, and waits until its connection is closed. */
  private void answerOnceWith(final String raw) throws IOException {
    rig.first.script((request, connection) -> connection.write(raw));
    rig.start();
    assertEquals(202, rig.handIn("m1", "once").status());
    rig.await(
        "the end of the connection",
        () -> !rig.first.requests.isEmpty() && rig.first.requests.get(0).connection().ended);
  }

  /**
   * A message that fails leaves a notice; so the notice of a later one shows that this one left
   * none.
   */
  private void assertNoNoticeBefore(final String later) throws IOException {
    rig.first.script((request, connection) -> connection.reset());
    assertEquals(202, rig.handIn(later, "once").status());
    rig.await("the later one's notice", () -> rig.noticed(later, "undeliverable"));
    assertEquals(1, rig.notices.size(), rig.notices.toString());
  }

  @Test
  void aFirstLineWith200DeliversThoughItsHeadNeverEnds() throws IOException {
    answerOnceWith("HTTP/1.1 200 OK\r\nX-Half: ");
    assertNoNoticeBefore("m2");
  }

  @Test
  void aFirstLineWith200DeliversThoughTheRestCannotBeRead() throws IOException {
    answerOnceWith(
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
    assertNoNoticeBefore("m2");
  }

  @Test
  void noiseIsAFailedAttemptThatMayHaveRunAndEndsItsConnection() throws IOException {
    answerOnceWith("\u0001\u0002 noise without end");
    rig.await("its notice", () -> rig.noticed("m1", "undeliverable"));
    assertEquals(1, rig.first.requests.size());
  }

  @Test
  void aHeadWithoutEndIsGivenUpLongBeforeTheMessageIs() throws IOException {
    final List<String> bodies = new ArrayList<>();
    rig.first.script(
        (request, connection) -> {
          bodies.add(request.line());
          if (bodies.size() == 1) {
            connection.write("HTTP/1.1 500 X\r\nX-Half: ");
          } else {
            connection.answer(200, "");
          }
        });
    rig.start();
    final long startNs = System.nanoTime();
    assertEquals(202, rig.handIn("m1", "safe").status());
    rig.await("the next attempt", () -> bodies.size() == 2);
    final double seconds = (System.nanoTime() - startNs) / 1e9;
    assertTrue(seconds < 1.9, "before a silent call's time-out of two seconds: " + seconds);
  }

  @Test
  void whatComesBehindAGoodAnswerNeverAnswersTheNextCall() throws IOException {
    rig.first.script(
        (request, connection) -> {
          if (rig.first.requests.size() == 1) {
            connection.write(
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Second: copy\r\n");
          } else {
            connection.answer(500, "");
          }
        });
    rig.start();
    assertEquals(202, rig.handIn("m1", "safe").status());
    rig.await(
        "the first call's connection to be closed",
        () -> !rig.first.requests.isEmpty() && rig.first.requests.get(0).connection().ended);
    assertEquals(202, rig.handIn("m2", "once").status());
    rig.await("the notice of what failed", () -> rig.noticed("m2", "undeliverable"));
  }

  @Test
  void answersThatAreNotTheLastArePassedOver() throws IOException {
    rig.first.script(
        (request, connection) ->
            connection.write(
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101 X\r\n"
                    + "Upgrade: other\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    rig.start();
    for (int round = 1; round <= 3; round++) {
      final int calls = round;
      assertEquals(202, rig.handIn("m" + round, "once").status());
      rig.await("call " + calls, () -> rig.first.requests.size() == calls);
    }
    assertTrue(rig.first.connections.size() <= 2, "the connection is used again");
    assertNoNoticeBefore("m4");
  }

  @Test
  void aWaitThatIsNoNumberIsNone() throws IOException {
    rig.first.script(
        (request, connection) -> {
          if (rig.first.requests.size() <= 2) {
            connection.answer(
                429, "", "Retry-After: " + (rig.first.requests.size() == 1 ? "Infinity" : "1e300"));
          } else {
            connection.answer(200, "");
          }
        });
    rig.start();
    assertEquals(202, rig.handIn("m1", "safe").status());
    rig.await("the third attempt", () -> rig.first.requests.size() == 3);
  }
}
