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

/** What a new configuration and a SIGHUP change in a courier that runs. */
@Timeout(120)
final class ConfigurationReloadTest {
  @TempDir private Path folder;
  private CourierHarness rig;

  @BeforeEach
  void build() throws IOException {
    rig = new CourierHarness(folder);
    rig.relocatedHosts = CourierHarness.hostEntry("e2", rig.secondEndpoint, "Ready");
  }

  @AfterEach
  void end() throws IOException {
    rig.close();
  }

  private void moveDiscoveryAndAwaitWatch() throws IOException, InterruptedException {
    rig.writeConfiguration(rig.relocatedPlatform.address());
    rig.sendHangupSignal();
    rig.await(
        "the watch at the new address",
        () ->
            rig.relocatedPlatform.requests.stream()
                .anyMatch(request -> request.requestLine().contains("after=3")));
  }

  @Test
  void newDiscoveryAddress_watchMovesAndCompleteSnapshotApplies()
      throws IOException, InterruptedException {
    rig.start();
    rig.await("the watch", () -> rig.watchConnections.size() == 1);
    moveDiscoveryAndAwaitWatch();
    rig.await("the end of the old one", () -> rig.watchConnections.get(0).closedByPeer);
    assertEquals(
        "GET /discovery/hosts HTTP/1.1",
        rig.relocatedPlatform.requests.get(0).requestLine(),
        "no version of the old address");
    assertEquals(202, rig.submit("m1", "safe").status());
    rig.await("the call", () -> rig.secondEndpoint.requests.size() == 1);
    assertTrue(rig.firstEndpoint.requests.isEmpty(), "the new address does not list it");
    rig.sendEndpointChange(
        4,
        CourierHarness.hostEntry("e1", rig.firstEndpoint, "Ready")
            + ","
            + CourierHarness.hostEntry("e2", rig.secondEndpoint, "Gone"));
    rig.await(
        "a change from the new address",
        () -> {
          final String id = "m" + System.nanoTime();
          try {
            return rig.submit(id, "safe").status() == 202 && !rig.firstEndpoint.requests.isEmpty();
          } catch (final IOException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  @Test
  void unconfirmedNotification_isSentToNewAddress() throws IOException, InterruptedException {
    rig.outcomeResponseStatus = 503;
    rig.firstEndpoint.script((request, connection) -> connection.reset());
    rig.start();
    assertEquals(202, rig.submit("m1", "once").status());
    rig.await("a try at the old address", () -> rig.hasOutcomeReport("m1", "undeliverable"));
    rig.outcomeResponseStatus = 204;
    rig.platform.close();
    moveDiscoveryAndAwaitWatch();
    rig.await(
        "the notice at the new address",
        () ->
            rig.relocatedPlatform.requests.stream()
                .anyMatch(
                    request ->
                        request.requestLine().startsWith("POST") && request.text().contains("m1")));
  }

  @Test
  void twoReloadsInARow_laterAddressApplies() throws IOException, InterruptedException {
    rig.start();
    rig.await("the watch", () -> rig.watchConnections.size() == 1);
    moveDiscoveryAndAwaitWatch();
    rig.relocatedHosts = CourierHarness.hostEntry("e1", rig.firstEndpoint, "Ready");
    final int before = rig.platform.requests.size();
    rig.writeConfiguration(rig.platform.address());
    rig.sendHangupSignal();
    rig.sendHangupSignal();
    rig.await(
        "the watch at the first address again",
        () ->
            rig.platform.requests.stream()
                .skip(before)
                .anyMatch(request -> request.requestLine().contains("after=3")));
    assertEquals(202, rig.submit("m1", "safe").status());
    rig.await("the call", () -> rig.firstEndpoint.requests.size() == 1);
  }

  @Test
  void invalidFile_changesNothingAndLogsOneLine() throws IOException, InterruptedException {
    rig.start();
    rig.await("the watch", () -> rig.watchConnections.size() == 1);
    final int before = rig.logLines.size();
    Files.writeString(folder.resolve("config.json"), "{\"discovery\":\n\"nowhere");
    rig.sendHangupSignal();
    rig.await("its line", () -> rig.logLines.size() > before);
    assertTrue(rig.logLines.get(before).contains("stays as it was"), rig.logLines.toString());
    assertEquals(202, rig.submit("m1", "safe").status());
    rig.await("the call", () -> rig.firstEndpoint.requests.size() == 1);
    assertEquals(before + 1, rig.logLines.size(), rig.logLines.toString());
    assertTrue(rig.isRunning());
  }

  @Test
  void hangupDuringShutdown_isAppliedWithoutDisturbingShutdown()
      throws IOException, InterruptedException {
    rig.firstEndpoint.script((request, connection) -> {});
    rig.start();
    assertEquals(202, rig.submit("m1", "safe").status());
    rig.await("the call", () -> rig.firstEndpoint.requests.size() == 1);
    final Process ending = rig.terminate();
    moveDiscoveryAndAwaitWatch();
    assertTrue(ending.waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
    rig.firstEndpoint.script((request, connection) -> connection.respond(200, ""));
    rig.start();
    rig.await("what was held goes on", () -> rig.firstEndpoint.requests.size() == 2);
  }

  /**
   * The signal comes while the first configuration is being read: a pipe, which gives it only
   * afterwards.
   */
  @Test
  void hangupDuringStart_isAppliedOnceStarted() throws Exception {
    final String before = Files.readString(rig.writeConfiguration(rig.platform.address()));
    final String after = Files.readString(rig.writeConfiguration(rig.relocatedPlatform.address()));
    final Path pipe = folder.resolve("pipe");
    assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
    rig.launch(pipe);
    // Opened once somebody reads: from then on the process waits for what is written.
    try (OutputStream first = Files.newOutputStream(pipe)) {
      rig.sendHangupSignal();
      rig.await(
          "the signal", () -> rig.logLines.stream().anyMatch(line -> line.contains("SIGHUP")));
      first.write(before.getBytes(StandardCharsets.UTF_8));
    }
    // The first reading is over by then: what is written from now on is another.
    rig.await(
        "the start", () -> rig.logLines.stream().anyMatch(line -> line.contains("is ready at")));
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
    rig.await(
        "the watch at the new address",
        () ->
            rig.relocatedPlatform.requests.stream()
                .anyMatch(request -> request.requestLine().contains("after=3")));
  }
}
