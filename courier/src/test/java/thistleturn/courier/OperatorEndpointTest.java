package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The operators' endpoint: metrics match what endpoints received, and an administratively disabled
 * endpoint stays disabled whatever the endpoint list says.
 */
@Tag("operators")
@Timeout(120)
final class OperatorEndpointTest {
  @TempDir private Path folder;
  private CourierHarness harness;

  @BeforeEach
  void createHarness() throws IOException {
    harness = new CourierHarness(folder);
    harness.operatorPortEnabled = true;
    harness.configuredHosts =
        CourierHarness.hostEntry("e1", harness.firstEndpoint, "Ready")
            + ","
            + CourierHarness.hostEntry("e2", harness.secondEndpoint, "Ready");
  }

  @AfterEach
  void closeHarness() throws IOException {
    harness.close();
  }

  private static int callCount(final FakeHttpServer endpoint) {
    return endpoint.requests.size();
  }

  private void deliver(final String prefix, final int messages) throws IOException {
    for (int number = 0; number < messages; number++) {
      // One at a time: pending messages may be sent in a shared call.
      final int calls = callCount(harness.firstEndpoint) + callCount(harness.secondEndpoint) + 1;
      assertEquals(202, harness.submit(prefix + number, "safe").status());
      harness.await(
          "the call",
          () -> callCount(harness.firstEndpoint) + callCount(harness.secondEndpoint) == calls);
      // Its response must be received too: otherwise the next process retries it after a kill.
      harness.await(
          "the end of the call",
          () -> harness.sendOperatorRequest("GET", "/-/metrics").contains("svc_in_flight 0\n"));
    }
  }

  @Test
  void metrics_matchWhatEndpointsReceived() throws IOException {
    harness.start();
    assertTrue(harness.sendOperatorRequest("GET", "/-/ready").startsWith("HTTP/1.1 200"));
    deliver("m", 5);
    harness.firstEndpoint.script((request, connection) -> connection.reset());
    harness.secondEndpoint.script((request, connection) -> connection.reset());
    assertEquals(202, harness.submit("lost", "once").status());
    harness.await("the outcome report", () -> harness.hasOutcomeReport("lost", "undeliverable"));
    harness.await(
        "the metrics",
        () -> {
          final String metrics = harness.sendOperatorRequest("GET", "/-/metrics");
          return metrics.contains("svc_requests_total{class=\"safe\",outcome=\"served\"} 5\n")
              && metrics.contains("svc_requests_total{class=\"once\",outcome=\"failed\"} 1\n")
              && metrics.contains("svc_attempts_total 6\n")
              && metrics.contains("svc_in_flight 0\n")
              && metrics.contains("svc_endpoints_known 2\n");
        });
  }

  @Test
  void disabledEndpoint_getsNoCallsThroughUpdatesAndRestart()
      throws IOException, InterruptedException {
    harness.start();
    harness.await("the watch", () -> harness.watchConnections.size() == 1);
    assertTrue(
        harness.sendOperatorRequest("POST", "/-/endpoints/e1/disable").startsWith("HTTP/1.1 200"));
    assertTrue(
        harness.sendOperatorRequest("POST", "/-/endpoints/e1/disable").startsWith("HTTP/1.1 200"),
        "the request may be repeated");
    assertTrue(
        harness.sendOperatorRequest("POST", "/-/endpoints/e9/disable").startsWith("HTTP/1.1 404"),
        "the endpoint was never listed");
    harness.sendEndpointChange(
        42, CourierHarness.hostEntry("e1", harness.firstEndpoint, "Terminating"));
    harness.sendEndpointChange(43, CourierHarness.hostEntry("e1", harness.firstEndpoint, "Ready"));
    deliver("a", 8);
    harness.killAndRestart();
    deliver("b", 8);
    assertEquals(0, callCount(harness.firstEndpoint));
    assertTrue(
        harness.sendOperatorRequest("GET", "/-/metrics").contains("svc_endpoints_excluded 1\n"));
    assertTrue(
        harness.sendOperatorRequest("POST", "/-/endpoints/e1/enable").startsWith("HTTP/1.1 200"));
    harness.secondEndpoint.script((request, connection) -> {});
    assertEquals(202, harness.submit("c1", "safe").status());
    assertEquals(202, harness.submit("c2", "safe").status());
    harness.await("a call to the enabled endpoint", () -> callCount(harness.firstEndpoint) > 0);
  }

  @Test
  void soleEndpointEnabledAgain_recoversGradually() throws IOException {
    harness.configuredHosts =
        CourierHarness.hostEntry("e1", harness.firstEndpoint, "Ready").replace("100.0", "2.0");
    harness.start();
    assertTrue(
        harness.sendOperatorRequest("POST", "/-/endpoints/e1/disable").startsWith("HTTP/1.1 200"));
    for (int number = 0; number < 4; number++) {
      assertEquals(202, harness.submit("m" + number, "safe").status());
    }
    assertTrue(
        harness.sendOperatorRequest("GET", "/-/metrics").contains("svc_in_flight 4\n"),
        "the messages are pending");
    assertTrue(
        harness.sendOperatorRequest("POST", "/-/endpoints/e1/enable").startsWith("HTTP/1.1 200"));
    harness.await("all calls", () -> callCount(harness.firstEndpoint) == 4);
    final long spreadMs =
        (harness.firstEndpoint.requests.get(3).receivedNs()
                - harness.firstEndpoint.requests.get(0).receivedNs())
            / 1_000_000;
    assertTrue(spreadMs > 300, "four calls to a cold endpoint within " + spreadMs + " ms");
  }

  @Test
  void idleOrIncompleteRequests_doNotDelayOthers() throws IOException {
    harness.start();
    final List<Socket> idle = new ArrayList<>();
    try {
      for (int number = 0; number < 60; number++) {
        final Socket socket = new Socket("127.0.0.1", harness.operatorPort);
        idle.add(socket);
        if (number % 2 == 0) {
          socket.getOutputStream().write("GET /-/metr".getBytes(StandardCharsets.US_ASCII));
        }
      }
      assertTrue(harness.sendOperatorRequest("GET", "/-/metrics").startsWith("HTTP/1.1 200"));
    } finally {
      for (final Socket socket : idle) {
        socket.close();
      }
    }
    assertTrue(harness.sendOperatorRequest("GET", "/-/nothing").startsWith("HTTP/1.1 404"));
    assertTrue(harness.sendOperatorRequest("DELETE", "/-/ready").startsWith("HTTP/1.1 405"));
    assertTrue(harness.sendOperatorRequest("\u0001", "/-/ready").startsWith("HTTP/1.1 400"));
  }
}
