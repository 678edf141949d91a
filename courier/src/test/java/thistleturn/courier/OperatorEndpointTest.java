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

/** What on-call staff ask of a courier, and that a ban by hand holds whatever the list says. */
@Tag("operators")
@Timeout(120)
final class OperatorEndpointTest {
  @TempDir private Path folder;
  private CourierHarness rig;

  @BeforeEach
  void build() throws IOException {
    rig = new CourierHarness(folder);
    rig.operatorPortEnabled = true;
    rig.configuredHosts =
        CourierHarness.hostEntry("e1", rig.firstEndpoint, "Ready")
            + ","
            + CourierHarness.hostEntry("e2", rig.secondEndpoint, "Ready");
  }

  @AfterEach
  void end() throws IOException {
    rig.close();
  }

  private static int callCount(final FakeHttpServer endpoint) {
    return endpoint.requests.size();
  }

  private void deliver(final String prefix, final int messages) throws IOException {
    for (int number = 0; number < messages; number++) {
      // One by one: what waits together travels in one call.
      final int calls = callCount(rig.firstEndpoint) + callCount(rig.secondEndpoint) + 1;
      assertEquals(202, rig.submit(prefix + number, "safe").status());
      rig.await(
          "the call", () -> callCount(rig.firstEndpoint) + callCount(rig.secondEndpoint) == calls);
      // Its answer must be known too: what a kill overtakes is sent again by the next process.
      rig.await(
          "its end",
          () -> rig.sendOperatorRequest("GET", "/-/metrics").contains("svc_in_flight 0\n"));
    }
  }

  @Test
  void metrics_matchWhatPeersObserved() throws IOException {
    rig.start();
    assertTrue(rig.sendOperatorRequest("GET", "/-/ready").startsWith("HTTP/1.1 200"));
    deliver("m", 5);
    rig.firstEndpoint.script((request, connection) -> connection.reset());
    rig.secondEndpoint.script((request, connection) -> connection.reset());
    assertEquals(202, rig.submit("lost", "once").status());
    rig.await("the notice", () -> rig.hasOutcomeReport("lost", "undeliverable"));
    rig.await(
        "the figures",
        () -> {
          final String figures = rig.sendOperatorRequest("GET", "/-/metrics");
          return figures.contains("svc_requests_total{class=\"safe\",outcome=\"served\"} 5\n")
              && figures.contains("svc_requests_total{class=\"once\",outcome=\"failed\"} 1\n")
              && figures.contains("svc_attempts_total 6\n")
              && figures.contains("svc_in_flight 0\n")
              && figures.contains("svc_endpoints_known 2\n");
        });
  }

  @Test
  void disabledEndpoint_getsNoCallsThroughUpdatesAndRestart()
      throws IOException, InterruptedException {
    rig.start();
    rig.await("the watch", () -> rig.watchConnections.size() == 1);
    assertTrue(
        rig.sendOperatorRequest("POST", "/-/endpoints/e1/disable").startsWith("HTTP/1.1 200"));
    assertTrue(
        rig.sendOperatorRequest("POST", "/-/endpoints/e1/disable").startsWith("HTTP/1.1 200"),
        "it may be said again");
    assertTrue(
        rig.sendOperatorRequest("POST", "/-/endpoints/e9/disable").startsWith("HTTP/1.1 404"),
        "it was never listed");
    rig.sendEndpointChange(42, CourierHarness.hostEntry("e1", rig.firstEndpoint, "Terminating"));
    rig.sendEndpointChange(43, CourierHarness.hostEntry("e1", rig.firstEndpoint, "Ready"));
    deliver("a", 8);
    rig.killAndRestart();
    deliver("b", 8);
    assertEquals(0, callCount(rig.firstEndpoint));
    assertTrue(rig.sendOperatorRequest("GET", "/-/metrics").contains("svc_endpoints_excluded 1\n"));
    assertTrue(
        rig.sendOperatorRequest("POST", "/-/endpoints/e1/enable").startsWith("HTTP/1.1 200"));
    rig.secondEndpoint.script((request, connection) -> {});
    assertEquals(202, rig.submit("c1", "safe").status());
    assertEquals(202, rig.submit("c2", "safe").status());
    rig.await("a call to it", () -> callCount(rig.firstEndpoint) > 0);
  }

  @Test
  void soleEndpointEnabledAgain_recoversGradually() throws IOException {
    rig.configuredHosts =
        CourierHarness.hostEntry("e1", rig.firstEndpoint, "Ready").replace("100.0", "2.0");
    rig.start();
    assertTrue(
        rig.sendOperatorRequest("POST", "/-/endpoints/e1/disable").startsWith("HTTP/1.1 200"));
    for (int number = 0; number < 4; number++) {
      assertEquals(202, rig.submit("m" + number, "safe").status());
    }
    assertTrue(
        rig.sendOperatorRequest("GET", "/-/metrics").contains("svc_in_flight 4\n"), "they wait");
    assertTrue(
        rig.sendOperatorRequest("POST", "/-/endpoints/e1/enable").startsWith("HTTP/1.1 200"));
    rig.await("all calls", () -> callCount(rig.firstEndpoint) == 4);
    final long spreadMs =
        (rig.firstEndpoint.requests.get(3).receivedNs()
                - rig.firstEndpoint.requests.get(0).receivedNs())
            / 1_000_000;
    assertTrue(spreadMs > 300, "four calls to a cold endpoint within " + spreadMs + " ms");
  }

  @Test
  void silentOrIncompleteCallers_doNotDelayOthers() throws IOException {
    rig.start();
    final List<Socket> silent = new ArrayList<>();
    try {
      for (int number = 0; number < 60; number++) {
        final Socket socket = new Socket("127.0.0.1", rig.operatorPort);
        silent.add(socket);
        if (number % 2 == 0) {
          socket.getOutputStream().write("GET /-/metr".getBytes(StandardCharsets.US_ASCII));
        }
      }
      assertTrue(rig.sendOperatorRequest("GET", "/-/metrics").startsWith("HTTP/1.1 200"));
    } finally {
      for (final Socket socket : silent) {
        socket.close();
      }
    }
    assertTrue(rig.sendOperatorRequest("GET", "/-/nothing").startsWith("HTTP/1.1 404"));
    assertTrue(rig.sendOperatorRequest("DELETE", "/-/ready").startsWith("HTTP/1.1 405"));
    assertTrue(rig.sendOperatorRequest("\u0001", "/-/ready").startsWith("HTTP/1.1 400"));
  }
}
