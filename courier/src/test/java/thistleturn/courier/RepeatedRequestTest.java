package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A request that something between a client and the courier sends again, after its message's end.
 */
@Tag("connections")
@Timeout(120)
final class RepeatedRequestTest extends HarnessScenario {
  private int calls(final String id) {
    return Collections.frequency(SentMessages.ids(harness.firstEndpoint), id);
  }

  private void awaitDelivery(final String id) throws IOException {
    harness.await("the call of " + id, () -> calls(id) == 1);
    harness.await(
        "the end of the call",
        () -> harness.sendOperatorRequest("GET", "/-/metrics").contains("svc_in_flight 0\n"));
  }

  /**
   * Guards against a second execution of a message whose request comes again after its delivery.
   */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void requestAgainAfterDelivery_isNotExecutedAgain(final String className) throws IOException {
    harness.operatorPortEnabled = true;
    harness.firstEndpoint.script(SentMessages::deliver);
    harness.start();
    assertEquals(202, harness.submit("m1", className).status());
    awaitDelivery("m1");
    assertEquals(409, harness.submit("m1", className).status());
    assertEquals(202, harness.submit("m2", className).status());
    awaitDelivery("m2");
    assertEquals(1, calls("m1"));
  }

  /** Guards against the same where both requests come in one write on one connection. */
  @Test
  void requestTwiceInOneWrite_isExecutedOnce() throws IOException {
    harness.operatorPortEnabled = true;
    harness.firstEndpoint.script(SentMessages::deliver);
    harness.start();
    final String request = CourierHarness.submitRequest("m1", "once");
    try (Socket socket = harness.connect()) {
      assertEquals(202, CourierHarness.send(socket, request + request).status());
      assertEquals(409, CourierHarness.readResponse(socket.getInputStream()).status());
    }
    awaitDelivery("m1");
    assertEquals(409, harness.submit("m1", "once").status());
    assertEquals(1, calls("m1"));
  }

  /** Guards against a second execution of a message that ended since it may have been executed. */
  @Test
  void requestAgainAfterUndeliverable_isNotExecutedAgain() throws IOException {
    harness.firstEndpoint.script((request, connection) -> connection.respond(500, ""));
    harness.start();
    // The report of the first message is confirmed by the time the second one's is sent.
    for (final String id : List.of("m1", "m2")) {
      assertEquals(202, harness.submit(id, "once").status());
      harness.await("the outcome report", () -> harness.hasOutcomeReport(id, "undeliverable"));
    }
    assertEquals(409, harness.submit("m1", "once").status());
    assertEquals(1, calls("m1"));
  }
}
