package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import thistleturn.testkit.FreePorts;

/**
 * What the platform and operators change while a newer process starts, takes over or has taken
 * over. The newer process is held between its start and the takeover by a pause of either process.
 */
@Tag("operators")
@Timeout(120)
final class TakeoverInputsTest {
  private static final String TAKES_OVER = "takes over from the process that serves";

  @TempDir private Path folder;
  private CourierHarness older;
  private CourierHarness newer;

  /** The processes that get SIGHUP once the file is replaced. */
  enum Signalled {
    OLDER,
    NEWER,
    BOTH,
    NEITHER
  }

  @BeforeEach
  void startOlderProcess() throws IOException {
    older = new CourierHarness(folder);
    older.operatorPortEnabled = true;
    older.listenPort = FreePorts.next();
    older.configuredHosts =
        CourierHarness.hostEntry("e1", older.firstEndpoint, "Ready")
            + ","
            + CourierHarness.hostEntry("e2", older.secondEndpoint, "Ready");
    older.relocatedHosts = older.configuredHosts;
    older.start();
    newer = older.successor();
  }

  @AfterEach
  void stopProcesses() throws IOException {
    newer.close();
    older.close();
  }

  /** Starts the newer process, which reads its inputs, while the older one cannot hand over. */
  private void startNewerAgainstPausedOlder() throws IOException, InterruptedException {
    older.pause();
    newer.launch();
    newer.await("the start of the newer process", () -> hasLine(newer, TAKES_OVER));
  }

  private static boolean hasLine(final CourierHarness process, final String text) {
    return List.copyOf(process.logLines).stream().anyMatch(line -> line.contains(text));
  }

  private void moveDiscovery() throws IOException {
    older.writeConfiguration(older.relocatedPlatform.address());
  }

  private void signal(final Signalled signalled) throws IOException, InterruptedException {
    if (signalled == Signalled.OLDER || signalled == Signalled.BOTH) {
      older.sendHangupSignal();
    }
    if (signalled == Signalled.NEWER || signalled == Signalled.BOTH) {
      newer.sendHangupSignal();
    }
  }

  /** Has a message end by a notice, which must come to the new address. */
  private void assertReportsToNewAddress(final CourierHarness deciding) throws IOException {
    older.platform.close();
    older.firstEndpoint.script((request, connection) -> connection.reset());
    older.secondEndpoint.script((request, connection) -> connection.reset());
    assertEquals(202, deciding.submit("m1", "once").status());
    deciding.await("the notice at the new address", () -> hasNoticeAtNewAddress("m1"));
  }

  private boolean hasNoticeAtNewAddress(final String id) {
    return older.relocatedPlatform.requests.stream()
        .anyMatch(
            request -> request.requestLine().startsWith("POST") && request.text().contains(id));
  }

  /** Guards against lost notices: the file is replaced between the start and the takeover. */
  @ParameterizedTest
  @EnumSource
  void configurationReplacedBeforeTakeover_appliesInNewerProcess(final Signalled signalled)
      throws IOException, InterruptedException {
    startNewerAgainstPausedOlder();
    moveDiscovery();
    signal(signalled);
    older.resume();
    newer.awaitReady();
    assertReportsToNewAddress(newer);
  }

  /** Guards against lost notices: the process that is signalled does not decide any more. */
  @ParameterizedTest
  @EnumSource(names = {"OLDER", "NEWER", "BOTH"})
  void configurationReplacedBehindTakeover_appliesInNewerProcess(final Signalled signalled)
      throws IOException, InterruptedException {
    newer.start();
    moveDiscovery();
    signal(signalled);
    newer.await("the reload", () -> hasLine(newer, "SIGHUP: discovery is at"));
    assertReportsToNewAddress(newer);
  }

  /** Guards against the same where the newer process dies, and the older one decides again. */
  @Test
  void configurationReplacedForNewerProcessThatDies_appliesInOlderProcess()
      throws IOException, InterruptedException {
    newer.start();
    moveDiscovery();
    newer.sendHangupSignal();
    newer.await("the reload", () -> hasLine(newer, "SIGHUP: discovery is at"));
    newer.kill();
    older.await("the older process to decide", () -> hasLine(older, "takes up again"));
    assertReportsToNewAddress(older);
  }

  /** Guards against the same behind a second takeover, with the oldest process still there. */
  @Test
  void signalOfOldestProcess_isPassedOnThroughTwoTakeovers()
      throws IOException, InterruptedException {
    newer.start();
    try (CourierHarness third = newer.successor()) {
      third.start();
      moveDiscovery();
      older.sendHangupSignal();
      third.await("the reload", () -> hasLine(third, "SIGHUP: discovery is at"));
      assertReportsToNewAddress(third);
    }
  }

  /** Plain twin: a file that cannot be used changes nothing, and the takeover goes on. */
  @Test
  void unusableConfigurationBeforeTakeover_changesNothing()
      throws IOException, InterruptedException {
    startNewerAgainstPausedOlder();
    Files.writeString(folder.resolve("config.json"), "{\"discovery\":\n\"nowhere");
    older.resume();
    newer.awaitReady();
    newer.await(
        "the line about the file", () -> hasLine(newer, "the configuration stays as it was"));
    older.firstEndpoint.script((request, connection) -> connection.reset());
    older.secondEndpoint.script((request, connection) -> connection.reset());
    assertEquals(202, newer.submit("m1", "once").status());
    newer.await("the notice", () -> newer.hasOutcomeReport("m1", "undeliverable"));
  }

  /** Plain twin: without a change the takeover reloads nothing, and opens one watch. */
  @Test
  void unchangedConfiguration_isNotReloaded() throws IOException {
    final int watchesBefore = older.watchConnections.size();
    newer.start();
    assertEquals(202, newer.submit("m1", "safe").status());
    older.await(
        "the watch of the newer process", () -> older.watchConnections.size() > watchesBefore);
    assertFalse(hasLine(newer, "SIGHUP"), newer.logLines::toString);
    assertFalse(hasLine(newer, "TAKEOVER"), newer.logLines::toString);
  }

  /** Guards against calls to an endpoint that was disabled while the newer process started. */
  @Test
  void endpointDisabledBeforeTakeover_getsNoCallOfNewerProcess()
      throws IOException, InterruptedException {
    newer.launch();
    newer.await("the start of the newer process", () -> hasLine(newer, TAKES_OVER));
    newer.pause();
    assertTrue(
        older.sendOperatorRequest("POST", "/-/endpoints/e1/disable").startsWith("HTTP/1.1 200"));
    newer.resume();
    newer.awaitReady();
    for (int number = 1; number <= 8; number++) {
      final int delivered = number;
      assertEquals(202, newer.submit("m" + number, "safe").status());
      newer.await(
          "the delivery",
          () ->
              older.firstEndpoint.requests.size() + older.secondEndpoint.requests.size()
                  >= delivered);
    }
    assertEquals(List.of(), older.firstEndpoint.requests);
  }
}
