package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.Collections;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Processes that end, or hand over, while only the beginning of a 410 or 504 has come. */
@Tag("connections")
@Timeout(120)
final class StatedEndTest extends HarnessScenario {
  private static final String UNFINISHED = "Content-Length: 40\r\n\r\nhalf";
  private static final String COMPLETE = "Content-Length: 4\r\n\r\nhalf";

  private int calls(final String id) {
    return Collections.frequency(SentMessages.ids(harness.firstEndpoint), id);
  }

  private void answerFirstCallOfM1(final String answer) {
    harness.firstEndpoint.script(
        (request, connection) -> {
          if ("m1".equals(request.header("X-Request-ID")) && calls("m1") == 1) {
            connection.write(answer);
          } else {
            SentMessages.deliver(request, connection);
          }
        });
  }

  private void awaitLine(final String event) {
    harness.await(
        event, () -> harness.logLines.stream().anyMatch(line -> line.contains("event=" + event)));
  }

  /** What was recorded before is in the journal once a later message is sent. */
  private void deliver(final String id) throws IOException {
    assertEquals(202, harness.submit(id, "safe").status());
    harness.await("the call of " + id, () -> calls(id) == 1);
  }

  /** Guards against a next process that sends what the killed one had read to be over. */
  @ParameterizedTest
  @CsvSource({
    "410 Gone, safe, deferred",
    "410 Gone, keyed, deferred",
    "410 Gone, once, undeliverable",
    "504 X, keyed, deferred",
    "504 X, once, undeliverable"
  })
  void endThatIsNotComplete_isReportedByNextProcess(
      final String status, final String messageClass, final String report)
      throws IOException, InterruptedException {
    answerFirstCallOfM1("HTTP/1.1 " + status + "\r\n" + UNFINISHED);
    harness.start();
    assertEquals(202, harness.submit("m1", messageClass).status());
    awaitLine("end_stated");
    deliver("m2");
    harness.killAndRestart();
    harness.await("the report", () -> harness.hasOutcomeReport("m1", report));
    deliver("m3");
    assertEquals(1, calls("m1"));
  }

  /** The plain twin: nothing is reported of a message that is over. */
  @ParameterizedTest
  @CsvSource({"safe", "keyed", "once"})
  void completeEnd_leavesNothingToNextProcess(final String messageClass)
      throws IOException, InterruptedException {
    answerFirstCallOfM1("HTTP/1.1 410 Gone\r\n" + COMPLETE);
    harness.start();
    assertEquals(202, harness.submit("m1", messageClass).status());
    awaitLine("message_over");
    deliver("m2");
    harness.killAndRestart();
    deliver("m3");
    assertEquals(1, calls("m1"));
    assertEquals(0, harness.outcomeReports.size());
  }

  /** Guards against a newer process that sends what the older one, killed behind it, had read. */
  @ParameterizedTest
  @CsvSource({"410 Gone, keyed, deferred", "504 X, once, undeliverable"})
  void endReadByOlderProcess_isReportedByNewerOne(
      final String status, final String messageClass, final String report)
      throws IOException, InterruptedException {
    harness.operatorPortEnabled = true;
    harness.firstEndpoint.script((request, connection) -> {});
    harness.start();
    assertEquals(202, harness.submit("m1", messageClass).status());
    harness.await("the call", () -> calls("m1") == 1);
    try (CourierHarness newer = harness.successor()) {
      newer.start();
      newer.await(
          "the call in flight",
          () -> !newer.sendOperatorRequest("GET", "/-/metrics").contains("svc_in_flight 0\n"));
      harness
          .firstEndpoint
          .requests
          .get(0)
          .connection()
          .write("HTTP/1.1 " + status + "\r\n" + UNFINISHED);
      newer.await("the report", () -> newer.hasOutcomeReport("m1", report));
      harness.kill();
      assertEquals(1, calls("m1"));
    }
  }
}
