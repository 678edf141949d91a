package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Rejections on a connection that has carried another call. The class {@code brief} may be repeated
 * for 0.3 s after it may have run; each endpoint asks for twice that time.
 */
@Tag("connections")
@Timeout(120)
final class PlainRejectionTest extends HarnessScenario {
  private static final String DELIVERED = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  private static final long WAIT_MS = 600;

  private static String rejection(final int status) {
    return String.format(
        Locale.ROOT,
        "HTTP/1.1 %d X\r\nContent-Length: 0\r\nRetry-After: %s\r\n\r\n",
        status,
        WAIT_MS / (double) TimeUnit.SECONDS.toMillis(1));
  }

  private List<FakeHttpServer.Request> callsOf(final String id) {
    return harness.firstEndpoint.requests.stream()
        .filter(request -> id.equals(request.header("X-Request-ID")))
        .toList();
  }

  /** Rejects the first call of {@code m2}, on the connection that has delivered {@code m1}. */
  private void rejectOnReusedConnection(final int status) throws IOException {
    rejectOnReusedConnection(status, Set.of("m2"));
  }

  private void rejectOnReusedConnection(final int status, final Set<String> rejected)
      throws IOException {
    harness.operatorPortEnabled = true;
    harness.firstEndpoint.script(
        (request, connection) -> {
          final String id = request.header("X-Request-ID");
          if (id != null && rejected.contains(id) && callsOf(id).size() == 1) {
            connection.write(rejection(status));
          } else {
            SentMessages.deliver(request, connection);
          }
        });
    harness.start();
    assertEquals(202, harness.submit("m1", "safe").status());
    final int calls = rejected.contains("m1") ? 2 : 1;
    harness.await("the calls of m1", () -> callsOf("m1").size() == calls);
    harness.await(
        "its end",
        () -> harness.sendOperatorRequest("GET", "/-/metrics").contains("svc_in_flight 0\n"));
    assertEquals(202, harness.submit("m2", "brief").status());
    harness.await("the rejection", () -> hasLine("attempt_failed", "m2"));
  }

  private boolean hasLine(final String event, final String id) {
    return harness.logLines.stream()
        .anyMatch(line -> line.contains("event=" + event) && line.contains("id=" + id + " "));
  }

  /** Guards against a message that never ran and ends as if it may have run. */
  @ParameterizedTest
  @ValueSource(ints = {429, 503})
  void rejectedMessage_isSentAgainAfterWindowOfItsKey(final int status) throws IOException {
    rejectOnReusedConnection(status);
    harness.await("the second call", () -> callsOf("m2").size() == 2);
    final long gapNs = callsOf("m2").get(1).receivedNs() - callsOf("m2").get(0).receivedNs();
    assertFalse(gapNs < TimeUnit.MILLISECONDS.toNanos(WAIT_MS), "the wait was kept: " + gapNs);
    assertFalse(harness.hasOutcomeReport("m2", ""));
  }

  /** Guards against the same behind a restart. */
  @Test
  void rejectedMessage_isSentAgainByNextProcess() throws IOException, InterruptedException {
    rejectOnReusedConnection(429);
    // An acceptance is answered once the journal has all that came before it.
    assertEquals(202, harness.submit("m3", "safe").status());
    final long killedNs = System.nanoTime();
    harness.kill();
    harness.await(
        "the end of the key's window",
        () -> System.nanoTime() - killedNs > TimeUnit.MILLISECONDS.toNanos(WAIT_MS));
    harness.start();
    harness.await(
        "the second call",
        () -> Collections.frequency(SentMessages.ids(harness.firstEndpoint), "m2") == 2);
    assertFalse(harness.hasOutcomeReport("m2", ""));
  }

  /** Guards against a repeat after the key's window where the rejection may have been a copy. */
  @Test
  void rejectionThatMayBeCopy_countsAsPossibleExecution() throws IOException {
    rejectOnReusedConnection(429, Set.of("m1", "m2"));
    assertEquals(202, harness.submit("m3", "safe").status());
    harness.await("the call of m3", () -> SentMessages.ids(harness.firstEndpoint).contains("m3"));
    harness.await(
        "its end",
        () -> harness.sendOperatorRequest("GET", "/-/metrics").contains("svc_in_flight 0\n"));
    final List<FakeHttpServer.Request> requests = harness.firstEndpoint.requests;
    requests.get(requests.size() - 1).connection().write(DELIVERED);
    harness.await("the doubt", () -> hasLine("rejection_in_doubt", "m2"));
  }
}
