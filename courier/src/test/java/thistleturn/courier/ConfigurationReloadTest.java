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
  private Rig rig;

  @BeforeEach
  void build() throws IOException {
    rig = new Rig(folder);
    rig.movedHosts = Rig.host("e2", rig.second, "Ready");
  }

  @AfterEach
  void end() throws IOException {
    rig.close();
  }

  private void moveDiscoveryAndAwaitWatch() throws IOException, InterruptedException {
    rig.configure(rig.moved.address());
    rig.hangUp();
    rig.await(
        "the watch at the new address",
        () -> rig.moved.requests.stream().anyMatch(request -> request.line().contains("after=3")));
  }

  @Test
  void newDiscoveryAddress_watchMovesAndCompleteSnapshotApplies()
      throws IOException, InterruptedException {
    rig.start();
    rig.await("the watch", () -> rig.watches.size() == 1);
    moveDiscoveryAndAwaitWatch();
    rig.await("the end of the old one", () -> rig.watches.get(0).ended);
    assertEquals(
        "GET /discovery/hosts HTTP/1.1",
        rig.moved.requests.get(0).line(),
        "no version of the old address");
    assertEquals(202, rig.handIn("m1", "safe").status());
    rig.await("the call", () -> rig.second.requests.size() == 1);
    assertTrue(rig.first.requests.isEmpty(), "the new address does not list it");
    rig.change(4, Rig.host("e1", rig.first, "Ready") + "," + Rig.host("e2", rig.second, "Gone"));
    rig.await(
        "a change from the new address",
        () -> {
          final String id = "m" + System.nanoTime();
          try {
            return rig.handIn(id, "safe").status() == 202 && !rig.first.requests.isEmpty();
          } catch (final IOException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  @Test
  void unconfirmedNotification_isSentToNewAddress() throws IOException, InterruptedException {
    rig.noticeStatus = 503;
    rig.first.script((request, connection) -> connection.reset());
    rig.start();
    assertEquals(202, rig.handIn("m1", "once").status());
    rig.await("a try at the old address", () -> rig.noticed("m1", "undeliverable"));
    rig.noticeStatus = 204;
    rig.platform.close();
    moveDiscoveryAndAwaitWatch();
    rig.await(
        "the notice at the new address",
        () ->
            rig.moved.requests.stream()
                .anyMatch(
                    request -> request.line().startsWith("POST") && request.text().contains("m1")));
  }

  @Test
  void twoReloadsInARow_laterAddressApplies() throws IOException, InterruptedException {
    rig.start();
    rig.await("the watch", () -> rig.watches.size() == 1);
    moveDiscoveryAndAwaitWatch();
    rig.movedHosts = Rig.host("e1", rig.first, "Ready");
    final int before = rig.platform.requests.size();
    rig.configure(rig.platform.address());
    rig.hangUp();
    rig.hangUp();
    rig.await(
        "the watch at the first address again",
        () ->
            rig.platform.requests.stream()
                .skip(before)
                .anyMatch(request -> request.line().contains("after=3")));
    assertEquals(202, rig.handIn("m1", "safe").status());
    rig.await("the call", () -> rig.first.requests.size() == 1);
  }

  @Test
  void invalidFile_changesNothingAndLogsOneLine() throws IOException, InterruptedException {
    rig.start();
    rig.await("the watch", () -> rig.watches.size() == 1);
    final int before = rig.log.size();
    Files.writeString(folder.resolve("config.json"), "{\"discovery\":\n\"nowhere");
    rig.hangUp();
    rig.await("its line", () -> rig.log.size() > before);
    assertTrue(rig.log.get(before).contains("stays as it was"), rig.log.toString());
    assertEquals(202, rig.handIn("m1", "safe").status());
    rig.await("the call", () -> rig.first.requests.size() == 1);
    assertEquals(before + 1, rig.log.size(), rig.log.toString());
    assertTrue(rig.isRunning());
  }

  @Test
  void hangupDuringShutdown_isAppliedWithoutDisturbingShutdown()
      throws IOException, InterruptedException {
    rig.first.script((request, connection) -> {});
    rig.start();
    assertEquals(202, rig.handIn("m1", "safe").status());
    rig.await("the call", () -> rig.first.requests.size() == 1);
    final Process ending = rig.terminate();
    moveDiscoveryAndAwaitWatch();
    assertTrue(ending.waitFor(Rig.PATIENCE_S, TimeUnit.SECONDS));
    rig.first.script((request, connection) -> connection.answer(200, ""));
    rig.start();
    rig.await("what was held goes on", () -> rig.first.requests.size() == 2);
  }

  /**
   * The signal comes while the first configuration is being read: a pipe, which gives it only
   * afterwards.
   */
  @Test
  void hangupDuringStart_isAppliedOnceStarted() throws Exception {
    final String before = Files.readString(rig.configure(rig.platform.address()));
    final String after = Files.readString(rig.configure(rig.moved.address()));
    final Path pipe = folder.resolve("pipe");
    assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
    rig.launch(pipe);
    // Opened once somebody reads: from then on the process waits for what is written.
    try (OutputStream first = Files.newOutputStream(pipe)) {
      rig.hangUp();
      rig.await("the signal", () -> rig.log.stream().anyMatch(line -> line.contains("SIGHUP")));
      first.write(before.getBytes(StandardCharsets.UTF_8));
    }
    // The first reading is over by then: what is written from now on is another.
    rig.await("the start", () -> rig.log.stream().anyMatch(line -> line.contains("is ready at")));
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
        () -> rig.moved.requests.stream().anyMatch(request -> request.line().contains("after=3")));
  }
}
