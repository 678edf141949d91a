package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Collections;
import java.util.Locale;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Each answer of the protocol in each situation of its call: what becomes of the message, and
 * whether it is sent again. {@code m2} is the message that is answered so, once.
 */
@Tag("connections")
@Timeout(120)
final class AnswerTableTest extends HarnessScenario {

  /** What follows an answer. */
  enum Follow {
    /** Nothing is sent, and nothing is reported. */
    NOTHING,
    /** Nothing is sent, and the platform is notified. */
    NOTICE,
    /** The message is sent again. */
    RETRY
  }

  /** An answer to a call with one message. */
  enum Answer {
    DELIVERED("200 OK", "", Follow.NOTHING),
    FAULT("500 X", "", Follow.RETRY),
    WAIT("429 X", "Retry-After: 0.050\r\n", Follow.RETRY),
    REJECTED("503 X", "", Follow.RETRY),
    LINE_BUSY("503 X", "X-Line-Busy: 1\r\n", Follow.RETRY),
    NO_MORE_ATTEMPTS("504 X", "", Follow.NOTICE),
    OVER("410 Gone", "", Follow.NOTHING),
    OVER_WITH_WAIT("410 Gone", "Retry-After: 0.050\r\n", Follow.NOTHING),
    OVER_AND_CLOSE("410 Gone", "Connection: close\r\n", Follow.NOTHING);

    private final String status;
    private final String header;
    private final Follow follow;

    Answer(final String status, final String header, final Follow follow) {
      this.status = status;
      this.header = header;
      this.follow = follow;
    }

    private String text() {
      return "HTTP/1.1 " + status + "\r\n" + header + "Content-Length: 4\r\n\r\nbody";
    }
  }

  private int calls(final String id) {
    return Collections.frequency(SentMessages.ids(harness.firstEndpoint), id);
  }

  private boolean contains(final FakeHttpServer.Request request, final String id) {
    return id.equals(request.header("X-Request-ID"))
        || request.text().contains("\"id\":\"" + id + '"');
  }

  private void answerFirstCallOfM2(final String answer) {
    harness.operatorPortEnabled = true;
    harness.firstEndpoint.script(
        (request, connection) -> {
          if (contains(request, "m2") && calls("m2") == 1) {
            connection.write(answer);
          } else {
            SentMessages.deliver(request, connection);
          }
        });
  }

  private static boolean isIdle(final CourierHarness courier) {
    return courier.sendOperatorRequest("GET", "/-/metrics").contains("svc_in_flight 0\n");
  }

  /** Delivers a message, so that the connection to the endpoint is used and idle. */
  private void deliver(final CourierHarness courier, final String id) throws IOException {
    assertEquals(202, courier.submit(id, "safe").status());
    courier.await("the call of " + id, () -> calls(id) == 1);
    courier.await("its end", () -> isIdle(courier));
  }

  /** What would be sent again is sent before a message that is submitted later. */
  private void assertFollows(final CourierHarness courier, final Follow follow) throws IOException {
    if (follow == Follow.RETRY) {
      courier.await("the second call of m2", () -> calls("m2") == 2);
      assertFalse(harness.hasOutcomeReport("m2", ""), harness.outcomeReports::toString);
      return;
    }
    if (follow == Follow.NOTICE) {
      courier.await("the notice", () -> harness.hasOutcomeReport("m2", "deferred"));
    }
    deliver(courier, "later");
    assertEquals(1, calls("m2"));
    assertEquals(follow == Follow.NOTICE, harness.hasOutcomeReport("m2", ""));
    assertTrue(
        courier.logLines.stream().noneMatch(line -> line.contains("event=attempt_after_end")));
  }

  @ParameterizedTest
  @EnumSource
  void firstCallOfConnection(final Answer answer) throws IOException {
    answerFirstCallOfM2(answer.text());
    harness.start();
    assertEquals(202, harness.submit("m2", "keyed").status());
    harness.await("the call of m2", () -> calls("m2") >= 1);
    assertFollows(harness, answer.follow);
  }

  @ParameterizedTest
  @EnumSource
  void reusedConnection(final Answer answer) throws IOException {
    answerFirstCallOfM2(answer.text());
    harness.start();
    deliver(harness, "m1");
    assertEquals(202, harness.submit("m2", "keyed").status());
    harness.await("the call of m2", () -> calls("m2") >= 1);
    assertFollows(harness, answer.follow);
  }

  @ParameterizedTest
  @EnumSource
  void callOfOlderProcessThatHandedOver(final Answer answer) throws IOException {
    answerFirstCallOfM2("");
    harness.start();
    deliver(harness, "m1");
    assertEquals(202, harness.submit("m2", "keyed").status());
    harness.await("the call of m2", () -> calls("m2") == 1);
    try (CourierHarness newer = harness.successor()) {
      newer.start();
      newer.await("the call in flight", () -> !isIdle(newer));
      harness.firstEndpoint.requests.get(1).connection().write(answer.text());
      newer.await("its end", () -> answer.follow == Follow.RETRY || isIdle(newer));
      assertFollows(newer, answer.follow);
    }
  }

  @ParameterizedTest
  @EnumSource
  void resumedByNextProcess(final Answer answer) throws IOException, InterruptedException {
    answerFirstCallOfM2(answer.text());
    harness.start();
    deliver(harness, "m1");
    assertEquals(202, harness.submit("m2", "keyed").status());
    harness.await("the call of m2", () -> calls("m2") >= 1);
    harness.await("its end", () -> isIdle(harness));
    // An acceptance is answered once the journal has all that came before it.
    assertEquals(202, harness.submit("m3", "safe").status());
    harness.killAndRestart();
    assertFollows(harness, answer.follow);
  }

  /** The states of messages that share a call; the other message is delivered. */
  @ParameterizedTest
  @CsvSource({
    "accepted, NOTHING",
    "fault, RETRY",
    "deferred, RETRY",
    "expired, NOTHING",
    "no_more, NOTICE"
  })
  void oneOfSeveralMessages(final String state, final Follow follow) throws IOException {
    harness.maxCallsInFlight = 1;
    answerFirstCallOfM2("");
    harness.firstEndpoint.script(
        (request, connection) -> {
          if (contains(request, "m2") && calls("m2") == 1) {
            connection.respond(200, states(request, state));
          } else if (!contains(request, "m1")) {
            SentMessages.deliver(request, connection);
          }
        });
    harness.start();
    assertEquals(202, harness.submit("m1", "safe").status());
    harness.await("the call of m1", () -> calls("m1") == 1);
    assertEquals(202, harness.submit("m2", "keyed").status());
    assertEquals(202, harness.submit("m3", "safe").status());
    harness.firstEndpoint.requests.get(0).connection().respond(200, "");
    harness.await("the call of both", () -> calls("m2") >= 1 && calls("m3") >= 1);
    assertEquals(2, harness.firstEndpoint.requests.get(1).text().split("\"id\"").length - 1);
    assertFollows(harness, follow);
    assertEquals(1, calls("m3"));
  }

  private String states(final FakeHttpServer.Request request, final String stateOfM2) {
    final String item = "{\"id\":\"%s\",\"state\":\"%s\"}";
    return String.format(
        Locale.ROOT,
        "[" + item + (contains(request, "m3") ? "," + item : "") + "]",
        "m2",
        stateOfM2,
        "m3",
        "accepted");
  }
}
