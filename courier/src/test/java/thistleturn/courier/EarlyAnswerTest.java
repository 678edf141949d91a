package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A copy of an answer is read for the next call, which its endpoint never reads: the connection
 * ends. No other connection shows that answers come twice.
 */
@Tag("connections")
@Timeout(120)
final class EarlyAnswerTest extends HarnessScenario {
  private static final long WORK_NS = TimeUnit.MILLISECONDS.toNanos(80);

  /** How the connection ends behind the copy. */
  enum End {
    CLOSED {
      @Override
      void apply(final FakeHttpServer.Connection connection) {
        connection.end();
      }
    },
    RESET {
      @Override
      void apply(final FakeHttpServer.Connection connection) {
        connection.reset();
      }
    };

    abstract void apply(FakeHttpServer.Connection connection);
  }

  private static String answer(final int status) {
    return String.format(Locale.ROOT, "HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status);
  }

  private List<FakeHttpServer.Request> callsOf(final String id) {
    return harness.firstEndpoint.requests.stream()
        .filter(request -> id.equals(request.header("X-Request-ID")))
        .toList();
  }

  private boolean hasLine(final String event, final String id) {
    return harness.logLines.stream()
        .anyMatch(line -> line.contains("event=" + event) && line.contains("id=" + id + " "));
  }

  /** Starts the courier, whose first call takes the time of a call that is worked on. */
  private FakeHttpServer.Connection startAndAnswerFirstCall(final int status) throws IOException {
    harness.firstEndpoint.script((request, connection) -> {});
    harness.operatorPortEnabled = true;
    harness.start();
    submitAndAwaitCall("m1", "safe");
    final FakeHttpServer.Connection first = callsOf("m1").get(0).connection();
    answerAfterWork("m1", status);
    harness.await(
        "the end of m1",
        () -> harness.sendOperatorRequest("GET", "/-/metrics").contains("svc_in_flight 0\n"));
    return first;
  }

  private void submitAndAwaitCall(final String id, final String className) throws IOException {
    assertEquals(202, harness.submit(id, className).status());
    harness.await("the call of " + id, () -> !callsOf(id).isEmpty());
  }

  private void answerAfterWork(final String id, final int status) {
    final FakeHttpServer.Request call = callsOf(id).get(0);
    harness.await("the work", () -> System.nanoTime() - call.receivedNs() > WORK_NS);
    call.connection().write(answer(status));
  }

  /** Answers the next call at once, as a copy does that was under way, and ends the connection. */
  private void copyAndEnd(final int status, final End end) {
    harness.firstEndpoint.script(
        (request, connection) -> {
          if ("m2".equals(request.header("X-Request-ID")) && callsOf("m2").size() == 1) {
            connection.write(answer(status));
            end.apply(connection);
          } else {
            connection.write(answer(200));
          }
        });
  }

  static Stream<Arguments> ends() {
    return Stream.of(End.values())
        .flatMap(end -> Stream.of("safe", "keyed").map(name -> Arguments.of(end, name)));
  }

  /** Guards against a lost message whose call found its connection closed behind a copy. */
  @ParameterizedTest
  @MethodSource("ends")
  void deliveryReadTooSoonOnConnectionThatEnds_isNotBelieved(final End end, final String className)
      throws IOException {
    final FakeHttpServer.Connection first = startAndAnswerFirstCall(200);
    copyAndEnd(200, end);
    assertEquals(202, harness.submit("m2", className).status());
    harness.await("the second call of m2", () -> callsOf("m2").size() == 2);
    assertSame(first, callsOf("m2").get(0).connection());
    assertTrue(hasLine("answer_too_soon", "m2"), harness.logLines::toString);
    assertTrue(hasLine("delivery_in_doubt", "m2"), harness.logLines::toString);
  }

  /** Guards against a message without an end, whose call was never read, behind a copied 410. */
  @ParameterizedTest
  @EnumSource
  void goneReadTooSoonOnConnectionThatEnds_isReported(final End end) throws IOException {
    startAndAnswerFirstCall(410);
    copyAndEnd(410, end);
    assertEquals(202, harness.submit("m2", "safe").status());
    harness.await("the notice", () -> harness.hasOutcomeReport("m2", "deferred"));
    assertEquals(1, callsOf("m2").size());
  }

  /** Plain twin: the endpoint answers as slowly as before, and closes behind that. */
  @ParameterizedTest
  @MethodSource("ends")
  void deliveryBehindWork_endsItsMessageAlthoughConnectionEnds(
      final End end, final String className) throws IOException {
    final FakeHttpServer.Connection first = startAndAnswerFirstCall(200);
    submitAndAwaitCall("m2", className);
    answerAfterWork("m2", 200);
    harness.await(
        "the end of m2",
        () -> harness.sendOperatorRequest("GET", "/-/metrics").contains("svc_in_flight 0\n"));
    end.apply(first);
    harness.await("the end of the connection", first::hasPeerEnded);
    harness.firstEndpoint.script((request, connection) -> connection.write(answer(200)));
    submitAndAwaitCall("m3", "safe");
    assertSame(first, callsOf("m2").get(0).connection());
    assertEquals(1, callsOf("m2").size());
    assertFalse(hasLine("delivery_in_doubt", "m2"));
  }

  /** Plain twin: a quick answer on a connection that goes on ends its message. */
  @Test
  void quickDeliveryOnConnectionThatGoesOn_endsItsMessage() throws IOException {
    final FakeHttpServer.Connection first = startAndAnswerFirstCall(200);
    harness.firstEndpoint.script((request, connection) -> connection.write(answer(200)));
    submitAndAwaitCall("m2", "safe");
    submitAndAwaitCall("m3", "keyed");
    assertSame(first, callsOf("m2").get(0).connection());
    assertSame(first, callsOf("m3").get(0).connection());
    assertFalse(hasLine("delivery_in_doubt", "m2"));
  }
}
