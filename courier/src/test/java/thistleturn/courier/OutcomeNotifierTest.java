package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** An outcome report over an unresponsive connection is retried within its time limit. */
@Tag("crossings")
@Timeout(120)
final class OutcomeNotifierTest {
  private static final long MESSAGE_TIMEOUT_MS = 1000;

  /** How long after the deadline of its message a report may arrive. */
  private static final long REPORT_GRACE_MS = 300;

  @TempDir private Path workDirectory;
  private CourierHarness harness;

  @BeforeEach
  void createHarness() throws IOException {
    harness = new CourierHarness(workDirectory);
    // No calls are sent to a draining endpoint, so the message waits until it expires.
    harness.configuredHosts = CourierHarness.hostEntry("e1", harness.firstEndpoint, "Terminating");
  }

  @AfterEach
  void closeHarness() throws IOException {
    harness.close();
  }

  private static String submitWithShortTimeout(final String id) {
    return CourierHarness.submitRequest(id, "safe")
        .replace("20000", Long.toString(MESSAGE_TIMEOUT_MS));
  }

  /** The first connection receives the report and never responds. */
  @Test
  void unresponsiveConnection_isReplacedBeforeReportIsLate() throws IOException {
    final List<FakeHttpServer.Request> reports = new CopyOnWriteArrayList<>();
    harness.platform.script(
        (request, connection) -> {
          if (!request.requestLine().startsWith("POST")) {
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            connection.writeChunk("\n");
          } else if (reports.isEmpty()) {
            reports.add(request);
          } else {
            reports.add(request);
            connection.respond(204, "");
          }
        });
    harness.start();
    final long sentNs = System.nanoTime();
    assertEquals(202, harness.send(submitWithShortTimeout("m1")).status());
    harness.await("two attempts", () -> reports.size() >= 2);
    final long tookMs = TimeUnit.NANOSECONDS.toMillis(reports.get(1).receivedNs() - sentNs);
    assertTrue(tookMs <= MESSAGE_TIMEOUT_MS + REPORT_GRACE_MS, "reported after " + tookMs + " ms");
    assertTrue(reports.get(1).text().contains("m1"), reports.get(1).text());
  }
}
