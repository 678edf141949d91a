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

/**
 * Responses to calls with several messages, one of which has expired while the call was in flight.
 */
@Tag("crossings")
@Timeout(120)
final class BulkResponseTest {
  private static final long SHORT_TIMEOUT_MS = 1500;

  @TempDir private Path workDirectory;
  private CourierHarness harness;
  private final List<FakeHttpServer.Request> bulkRequests = new CopyOnWriteArrayList<>();
  private final List<FakeHttpServer.Request> singleRequests = new CopyOnWriteArrayList<>();
  private final AtomicReference<FakeHttpServer.Connection> firstConnection =
      new AtomicReference<>();

  /** How the endpoint responds to a call after one of its messages expired. */
  enum ResponseKind {
    /** A complete response: all messages were delivered. */
    COMPLETE,
    /** The head and part of the body, and then a reset. */
    TRUNCATED
  }

  @BeforeEach
  void startCourier() throws IOException {
    harness = new CourierHarness(workDirectory);
    harness.maxCallsInFlight = 1;
    harness.firstEndpoint.script(
        (request, connection) -> {
          if (request.requestLine().contains("/inbox/bulk")) {
            bulkRequests.add(request);
          } else if (!firstConnection.compareAndSet(null, connection)) {
            singleRequests.add(request);
            connection.respond(200, "");
          }
        });
    harness.start();
  }

  @AfterEach
  void stopCourier() throws IOException {
    harness.close();
  }

  private static String submitWithShortTimeout(final String id) {
    return CourierHarness.submitRequest(id, "safe")
        .replace("20000", Long.toString(SHORT_TIMEOUT_MS));
  }

  /**
   * Once one message of a call has expired, the response to the call counts for none of them: the
   * others are sent again.
   */
  @ParameterizedTest
  @EnumSource(ResponseKind.class)
  void expiryOfOneMessage_endsBulkCallForAll(final ResponseKind kind) throws IOException {
    // The only call in flight keeps all three messages waiting, however long it takes to submit
    // them.
    assertEquals(202, harness.submit("ahead", "safe").status());
    harness.await("the call ahead", () -> firstConnection.get() != null);
    assertEquals(202, harness.submit("m1", "safe").status());
    assertEquals(202, harness.submit("m2", "safe").status());
    assertEquals(202, harness.send(submitWithShortTimeout("m0")).status());
    firstConnection.get().respond(200, "");
    harness.await("one call with the waiting messages", () -> bulkRequests.size() == 1);
    final FakeHttpServer.Request call = bulkRequests.get(0);
    assertTrue(
        List.of("m0", "m1", "m2").stream().allMatch(id -> call.text().contains('"' + id + '"')),
        call.text());
    harness.await(
        "the report of the expired message", () -> harness.hasOutcomeReport("m0", "deferred"));
    final String states =
        "[{\"id\":\"m0\",\"state\":\"accepted\"},{\"id\":\"m1\",\"state\":\"accepted\"},"
            + "{\"id\":\"m2\",\"state\":\"accepted\"}]";
    if (kind == ResponseKind.COMPLETE) {
      call.connection().respond(200, states);
    } else {
      call.connection()
          .write("HTTP/1.1 200 OK\r\nContent-Length: " + states.length() + "\r\n\r\n[{");
      call.connection().reset();
    }
    harness.await("another call with the other messages", () -> bulkRequests.size() == 2);
    final FakeHttpServer.Request again = bulkRequests.get(1);
    assertFalse(again.text().contains("\"m0\""), again.text());
    assertTrue(again.text().contains("\"m1\"") && again.text().contains("\"m2\""), again.text());
    again.connection().respond(200, states);
    // This call can be sent only after the bulk call has ended.
    assertEquals(202, harness.submit("behind", "safe").status());
    harness.await("the call behind", () -> singleRequests.size() == 1);
    assertEquals("behind", singleRequests.get(0).header("X-Request-ID"));
    assertFalse(
        harness.hasOutcomeReport("m1", "") || harness.hasOutcomeReport("m2", ""),
        harness.outcomeReports.toString());
  }
}
