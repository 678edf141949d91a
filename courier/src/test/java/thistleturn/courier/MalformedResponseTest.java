package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Responses of endpoints that are invalid or incomplete, or are followed by surplus bytes. */
@Timeout(120)
final class MalformedResponseTest extends HarnessScenario {
  /**
   * Submits a non-idempotent message that gets this response, and waits until its connection is
   * closed.
   */
  private void respondOnceWith(final String raw) throws IOException {
    harness.firstEndpoint.script((request, connection) -> connection.write(raw));
    harness.start();
    assertEquals(202, harness.submit("m1", "once").status());
    harness.await(
        "the end of the connection",
        () ->
            !harness.firstEndpoint.requests.isEmpty()
                && harness.firstEndpoint.requests.get(0).connection().closedByPeer);
  }

  /**
   * A failed message is reported; so the report of a later message shows that an earlier one had
   * none.
   */
  private void assertNoOutcomeReportBefore(final String later) throws IOException {
    harness.firstEndpoint.script((request, connection) -> connection.reset());
    assertEquals(202, harness.submit(later, "once").status());
    harness.await(
        "the report of the later message", () -> harness.hasOutcomeReport(later, "undeliverable"));
    assertEquals(1, harness.outcomeReports.size(), harness.outcomeReports.toString());
  }

  @Test
  void status200WithUnfinishedHead_isDelivery() throws IOException {
    respondOnceWith("HTTP/1.1 200 OK\r\nX-Half: ");
    assertNoOutcomeReportBefore("m2");
  }

  @Test
  void status200WithInvalidBody_isDelivery() throws IOException {
    respondOnceWith(
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
    assertNoOutcomeReportBefore("m2");
  }

  @Test
  void unparsableResponse_failsAttemptAndClosesConnection() throws IOException {
    respondOnceWith("\u0001\u0002 noise without end");
    harness.await(
        "the report of the message", () -> harness.hasOutcomeReport("m1", "undeliverable"));
    assertEquals(1, harness.firstEndpoint.requests.size());
  }

  @Test
  void unfinishedErrorHead_isAbandonedBeforeCallTimeout() throws IOException {
    final List<String> bodies = new ArrayList<>();
    harness.firstEndpoint.script(
        (request, connection) -> {
          bodies.add(request.requestLine());
          if (bodies.size() == 1) {
            connection.write("HTTP/1.1 500 X\r\nX-Half: ");
          } else {
            connection.respond(200, "");
          }
        });
    harness.start();
    final long startNs = System.nanoTime();
    assertEquals(202, harness.submit("m1", "safe").status());
    harness.await("the next attempt", () -> bodies.size() == 2);
    final double seconds = (System.nanoTime() - startNs) / 1e9;
    assertTrue(seconds < 1.9, "seconds, before the call timeout of two: " + seconds);
  }

  @Test
  void surplusResponse_neverAnswersNextCall() throws IOException {
    harness.firstEndpoint.script(
        (request, connection) -> {
          if (harness.firstEndpoint.requests.size() == 1) {
            connection.write(
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Second: copy\r\n");
          } else {
            connection.respond(500, "");
          }
        });
    harness.start();
    assertEquals(202, harness.submit("m1", "safe").status());
    harness.await(
        "the first call's connection to be closed",
        () ->
            !harness.firstEndpoint.requests.isEmpty()
                && harness.firstEndpoint.requests.get(0).connection().closedByPeer);
    assertEquals(202, harness.submit("m2", "once").status());
    harness.await(
        "the report of the failed message", () -> harness.hasOutcomeReport("m2", "undeliverable"));
  }

  @Test
  void informationalResponses_areSkipped() throws IOException {
    harness.firstEndpoint.script(
        (request, connection) ->
            connection.write(
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101 X\r\n"
                    + "Upgrade: other\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    harness.start();
    for (int round = 1; round <= 3; round++) {
      final int calls = round;
      assertEquals(202, harness.submit("m" + round, "safe").status());
      harness.await("call " + calls, () -> harness.firstEndpoint.requests.size() == calls);
    }
    assertTrue(harness.firstEndpoint.connections.size() <= 2, "the connection is reused");
    assertNoOutcomeReportBefore("m4");
  }

  @Test
  void unparsableRetryAfter_isIgnored() throws IOException {
    harness.firstEndpoint.script(
        (request, connection) -> {
          if (harness.firstEndpoint.requests.size() <= 2) {
            connection.respond(
                429,
                "",
                "Retry-After: "
                    + (harness.firstEndpoint.requests.size() == 1 ? "Infinity" : "1e300"));
          } else {
            connection.respond(200, "");
          }
        });
    harness.start();
    assertEquals(202, harness.submit("m1", "safe").status());
    harness.await("the third attempt", () -> harness.firstEndpoint.requests.size() == 3);
  }
}
