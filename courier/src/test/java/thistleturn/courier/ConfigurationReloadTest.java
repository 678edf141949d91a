package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A running courier applies a changed configuration file after a SIGHUP. */
@Timeout(120)
final class ConfigurationReloadTest {
  @TempDir private Path folder;
  private CourierHarness harness;

  @BeforeEach
  void build() throws IOException {
    harness = new CourierHarness(folder);
    harness.relocatedHosts = CourierHarness.hostEntry("e2", harness.secondEndpoint, "Ready");
  }

  @AfterEach
  void end() throws IOException {
    harness.close();
  }

  private void moveDiscoveryAndAwaitWatch() throws IOException, InterruptedException {
    harness.writeConfiguration(harness.relocatedPlatform.address());
    harness.sendHangupSignal();
    harness.await(
        "the watch at the new address",
        () ->
            harness.relocatedPlatform.requests.stream()
                .anyMatch(request -> request.requestLine().contains("after=3")));
  }

  @Test
  void newDiscoveryAddress_watchMovesAndCompleteSnapshotApplies()
      throws IOException, InterruptedException {
    harness.start();
    harness.await("the watch", () -> harness.watchConnections.size() == 1);
    moveDiscoveryAndAwaitWatch();
    harness.await("the end of the old watch", () -> harness.watchConnections.get(0).closedByPeer);
    assertEquals(
        "GET /discovery/hosts HTTP/1.1",
        harness.relocatedPlatform.requests.get(0).requestLine(),
        "the first request names no version from the old address");
    assertEquals(202, harness.submit("m1", "safe").status());
    harness.await("the call", () -> harness.secondEndpoint.requests.size() == 1);
    assertTrue(
        harness.firstEndpoint.requests.isEmpty(),
        "the new address does not list the first endpoint");
    harness.sendEndpointChange(
        4,
        CourierHarness.hostEntry("e1", harness.firstEndpoint, "Ready")
            + ","
            + CourierHarness.hostEntry("e2", harness.secondEndpoint, "Gone"));
    harness.await(
        "a change from the new address",
        () -> {
          final String id = "m" + System.nanoTime();
          try {
            return harness.submit(id, "safe").status() == 202
                && !harness.firstEndpoint.requests.isEmpty();
          } catch (final IOException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  @Test
  void unconfirmedNotification_isSentToNewAddress() throws IOException, InterruptedException {
    harness.outcomeResponseStatus = 503;
    harness.firstEndpoint.script((request, connection) -> connection.reset());
    harness.start();
    assertEquals(202, harness.submit("m1", "once").status());
    harness.await(
        "an attempt at the old address", () -> harness.hasOutcomeReport("m1", "undeliverable"));
    harness.outcomeResponseStatus = 204;
    harness.platform.close();
    moveDiscoveryAndAwaitWatch();
    harness.await(
        "the outcome report at the new address",
        () ->
            harness.relocatedPlatform.requests.stream()
                .anyMatch(
                    request ->
                        request.requestLine().startsWith("POST") && request.text().contains("m1")));
  }

  @Test
  void twoReloadsInARow_laterAddressApplies() throws IOException, InterruptedException {
    harness.start();
    harness.await("the watch", () -> harness.watchConnections.size() == 1);
    moveDiscoveryAndAwaitWatch();
    harness.relocatedHosts = CourierHarness.hostEntry("e1", harness.firstEndpoint, "Ready");
    final int before = harness.platform.requests.size();
    harness.writeConfiguration(harness.platform.address());
    harness.sendHangupSignal();
    harness.sendHangupSignal();
    harness.await(
        "the watch at the first address again",
        () ->
            harness.platform.requests.stream()
                .skip(before)
                .anyMatch(request -> request.requestLine().contains("after=3")));
    assertEquals(202, harness.submit("m1", "safe").status());
    harness.await("the call", () -> harness.firstEndpoint.requests.size() == 1);
  }

  @Test
  void invalidFile_changesNothingAndLogsOneLine() throws IOException, InterruptedException {
    harness.start();
    harness.await("the watch", () -> harness.watchConnections.size() == 1);
    final int before = harness.logLines.size();
    Files.writeString(folder.resolve("config.json"), "{\"discovery\":\n\"nowhere");
    harness.sendHangupSignal();
    harness.await("the log line about the invalid file", () -> harness.logLines.size() > before);
    assertTrue(
        harness.logLines.get(before).contains("stays as it was"), harness.logLines.toString());
    assertEquals(202, harness.submit("m1", "safe").status());
    harness.await("the call", () -> harness.firstEndpoint.requests.size() == 1);
    assertEquals(before + 1, harness.logLines.size(), harness.logLines.toString());
    assertTrue(harness.isRunning());
  }

  @Test
  void hangupDuringShutdown_isAppliedWithoutDisturbingShutdown()
      throws IOException, InterruptedException {
    harness.firstEndpoint.script((request, connection) -> {});
    harness.start();
    assertEquals(202, harness.submit("m1", "safe").status());
    harness.await("the call", () -> harness.firstEndpoint.requests.size() == 1);
    final Process ending = harness.terminate();
    moveDiscoveryAndAwaitWatch();
    assertTrue(ending.waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
    harness.firstEndpoint.script((request, connection) -> connection.respond(200, ""));
    harness.start();
    harness.await(
        "the pending message is delivered", () -> harness.firstEndpoint.requests.size() == 2);
  }

  /**
   * The signal arrives while the first configuration is being read, from a pipe to which it is
   * written only afterwards.
   */
  @Test
  void hangupDuringStart_isAppliedOnceStarted() throws Exception {
    final String before = Files.readString(harness.writeConfiguration(harness.platform.address()));
    final String after =
        Files.readString(harness.writeConfiguration(harness.relocatedPlatform.address()));
    final Path pipe = folder.resolve("pipe");
    assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
    harness.launch(pipe);
    // Opening blocks until the process reads; it then waits until something is written.
    try (OutputStream first = Files.newOutputStream(pipe)) {
      harness.sendHangupSignal();
      harness.await(
          "the signal", () -> harness.logLines.stream().anyMatch(line -> line.contains("SIGHUP")));
      first.write(before.getBytes(StandardCharsets.UTF_8));
    }
    // The first read has finished by then, so that the second read gets what is written later.
    harness.await(
        "the start",
        () -> harness.logLines.stream().anyMatch(line -> line.contains("is ready at")));
    final Thread second =
        new Thread(
            () -> {
              try (OutputStream again = Files.newOutputStream(pipe)) {
                again.write(after.getBytes(StandardCharsets.UTF_8));
              } catch (final IOException e) {
                throw new UncheckedIOException(e);
              }
            });
    second.setDaemon(true);
    second.start();
    harness.await(
        "the watch at the new address",
        () ->
            harness.relocatedPlatform.requests.stream()
                .anyMatch(request -> request.requestLine().contains("after=3")));
  }
}
