package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A listed endpoint keeps its name, and its destination or address changes. */
@Tag("connections")
@Timeout(120)
final class EndpointMoveTest extends HarnessScenario {
  private static final int MESSAGES = 6;

  private static List<FakeHttpServer.Request> callsOf(final FakeHttpServer server) {
    return server.requests.stream()
        .filter(request -> request.header("X-Request-ID") != null)
        .toList();
  }

  private void startAndAwaitWatch() throws IOException {
    harness.start();
    harness.await("the watch", () -> harness.watchConnections.size() == 1);
  }

  private static String hostEntryOfBlock(final FakeHttpServer at, final int block) {
    return CourierHarness.hostEntry("e1", at, "Ready").replace("\"block\":7", "\"block\":" + block);
  }

  /** Delivers messages one by one, so that each has a call of its own. */
  private void deliver(final String prefix) throws IOException {
    final int before =
        callsOf(harness.firstEndpoint).size() + callsOf(harness.secondEndpoint).size();
    for (int number = 1; number <= MESSAGES; number++) {
      final int calls = before + number;
      assertEquals(202, harness.submit(prefix + number, "safe").status());
      harness.await(
          "the call",
          () ->
              callsOf(harness.firstEndpoint).size() + callsOf(harness.secondEndpoint).size()
                  == calls);
    }
  }

  /** Guards against messages sent to an endpoint that is listed for another destination now. */
  @Test
  void endpointOfOtherDestination_getsNoFurtherMessageOfItsFormerOne() throws IOException {
    startAndAwaitWatch();
    deliver("a");
    harness.sendEndpointChange(
        42,
        hostEntryOfBlock(harness.firstEndpoint, 8)
            + ","
            + CourierHarness.hostEntry("e2", harness.secondEndpoint, "Ready"));
    awaitCallAtSecond();
    final int callsBefore = callsOf(harness.firstEndpoint).size();
    deliver("b");
    assertEquals(callsBefore, callsOf(harness.firstEndpoint).size());
    harness.sendEndpointChange(
        43,
        hostEntryOfBlock(harness.firstEndpoint, 7)
            + ","
            + CourierHarness.hostEntry("e2", harness.secondEndpoint, "Gone"));
    harness.await("a call of the first one again", () -> isCalled(harness.firstEndpoint));
  }

  private void awaitCallAtSecond() {
    harness.await("a call of the second endpoint", () -> isCalled(harness.secondEndpoint));
  }

  /** Submits a message, and returns whether the endpoint has got one more call by then. */
  private boolean isCalled(final FakeHttpServer endpoint) {
    final int before = callsOf(endpoint).size();
    final int all = callsOf(harness.firstEndpoint).size() + callsOf(harness.secondEndpoint).size();
    try {
      assertEquals(202, harness.submit("p" + System.nanoTime(), "safe").status());
    } catch (final IOException e) {
      throw new IllegalStateException(e);
    }
    harness.await(
        "its call",
        () -> callsOf(harness.firstEndpoint).size() + callsOf(harness.secondEndpoint).size() > all);
    return callsOf(endpoint).size() > before;
  }

  /** Guards against calls to a former address on a connection that was in use as it changed. */
  @Test
  void connectionToFormerAddress_isNotUsedAgain() throws IOException {
    harness.firstEndpoint.script((request, connection) -> {});
    startAndAwaitWatch();
    assertEquals(202, harness.submit("m1", "safe").status());
    harness.await("the call", () -> callsOf(harness.firstEndpoint).size() == 1);
    harness.sendEndpointChange(42, CourierHarness.hostEntry("e1", harness.secondEndpoint, "Ready"));
    awaitCallAtSecond();
    callsOf(harness.firstEndpoint).get(0).connection().respond(200, "");
    deliver("b");
    assertEquals(1, callsOf(harness.firstEndpoint).size());
  }

  /** Plain twin: another weight changes neither endpoint nor connection. */
  @Test
  void entryWithOtherWeight_keepsItsConnection() throws IOException {
    startAndAwaitWatch();
    deliver("a");
    harness.sendEndpointChange(
        42,
        CourierHarness.hostEntry("e1", harness.firstEndpoint, "Ready").replace("100.0", "90.0"));
    deliver("b");
    final List<FakeHttpServer.Request> calls = callsOf(harness.firstEndpoint);
    assertSame(calls.get(0).connection(), calls.get(calls.size() - 1).connection());
  }
}
