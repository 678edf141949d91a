package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import thistleturn.courier.ScriptedCourierProcess.HandoverManner;
import thistleturn.courier.ScriptedCourierProcess.UnreadableLine;
import thistleturn.decisions.shards.ShardPlacement;

/**
 * The bounds of the wait until another process has exited: the deadline of its message, a process
 * that recorded nothing, one that is stopped. A later process of the courier continues the wait.
 */
@Tag("operators")
@Timeout(120)
final class ProcessEndBoundsTest extends ProcessEndScenario {
  private static final long REPORT_TOLERANCE_NS = TimeUnit.MILLISECONDS.toNanos(300);

  /** The wait for a process that recorded nothing. */
  private static final long UNKNOWN_GRACE_NS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final long OTHER_DESTINATION =
      LongStream.iterate(ScriptedCalls.DESTINATION + 1, candidate -> candidate + 1)
          .filter(candidate -> shardOf(candidate) != shardOf(ScriptedCalls.DESTINATION))
          .findFirst()
          .orElseThrow();

  /** What the courier sees end while the other process keeps running. */
  enum EndSignal {
    /** Its connection is closed, after it has handed over. */
    CONNECTION_CLOSED,
    /** The folder's lock is released before the courier starts. */
    LOCK_RELEASED,
    /** Its connection is closed and its lock released, after the courier has handed over to it. */
    CONNECTION_AND_LOCK
  }

  /** An action of the test between the steps of the two processes. */
  @FunctionalInterface
  private interface TestStep {
    void run() throws IOException, InterruptedException;
  }

  /** Two bounds for the start of the held call, and the earliest time of the end signal. */
  private record Times(long callFromNs, long callUntilNs, long signalNs) {}

  private static int shardOf(final long destination) {
    return ShardPlacement.shardOf(destination, ShardedCourierProcess.SHARDS);
  }

  /**
   * Starts a call of the other process, then gives a signal of that process's end to the courier.
   */
  private Times startAndSignalEnd(
      final EndSignal endSignal,
      final String messageClass,
      final long timeoutMs,
      final TestStep onCalled,
      final TestStep onSignal)
      throws IOException, InterruptedException {
    if (endSignal == EndSignal.CONNECTION_AND_LOCK) {
      courier.start();
      other.takeOver();
    } else {
      other.lockFolder();
    }
    other.accept(WAITING, "safe");
    final long callFromNs = System.nanoTime();
    other.call(HELD, messageClass, ScriptedCalls.DESTINATION, timeoutMs);
    final long callUntilNs = System.nanoTime();
    courier.await("the held call", () -> copies.of(HELD).size() == 1);
    recordEvent("the first copy was received");
    onCalled.run();
    if (endSignal == EndSignal.CONNECTION_CLOSED) {
      other.listen(HandoverManner.HAND_OVER);
      courier.start();
    }
    final long signalNs = System.nanoTime();
    if (endSignal != EndSignal.LOCK_RELEASED) {
      other.closeConnection();
      recordEvent("the connection is closed");
    }
    if (endSignal != EndSignal.CONNECTION_CLOSED) {
      other.releaseLock();
      recordEvent("the lock is released");
    }
    onSignal.run();
    if (endSignal == EndSignal.LOCK_RELEASED) {
      courier.start();
    } else if (endSignal == EndSignal.CONNECTION_AND_LOCK) {
      awaitResumed();
    }
    return new Times(callFromNs, callUntilNs, signalNs);
  }

  private Times startAndSignalEnd(final EndSignal endSignal, final String messageClass)
      throws IOException, InterruptedException {
    return startAndSignalEnd(
        endSignal, messageClass, ScriptedCourier.MESSAGE_TIMEOUT_MS, () -> {}, () -> {});
  }

  /** Guards against two active processes after the newer one has sent an unreadable line. */
  @ParameterizedTest
  @EnumSource(UnreadableLine.class)
  void unreadableLineFromNewerProcess_oneDecidesAndNoCallIsRepeated(final UnreadableLine kind)
      throws Exception {
    courier.start();
    assertEquals(202, courier.submit(HELD_BY_COURIER, "safe").status());
    courier.await("the courier's call", () -> copies.of(HELD_BY_COURIER).size() == 1);
    other.takeOver();
    callFromOther("safe");
    other.sendUnreadable(kind);
    other.awaitEvent("predecessor gone", 1);
    recordEvent("the connection is closed");
    courier.await("the older process to exit", this::olderHasEndedAndNewerHoldsFolder);
    recordEvent("the older process has exited");
    final long untilNs = System.nanoTime() + OBSERVATION_NS;
    courier.await(
        "the observation to end",
        () -> olderHasEndedAndNewerHoldsFolder() && System.nanoTime() >= untilNs);
    other.releaseLock();
    try (CourierHarness third = courier.successor()) {
      third.start();
      assertNotRepeatedWhileOtherRuns(third);
      assertRepeatedAfterOtherIsKilled(third, "safe");
      third.await("the older one's call", () -> copies.of(HELD_BY_COURIER).size() == 2);
      assertTrue(copies.of(HELD_BY_COURIER).get(1).heldHasEnded(), this::traceText);
    }
  }

  /** Returns whether the older process has exited, and checks what must hold until then. */
  private boolean olderHasEndedAndNewerHoldsFolder() {
    assertFolderLocked();
    assertNoRepeat();
    assertEquals(1, copies.of(HELD_BY_COURIER).size(), this::traceText);
    assertEquals(1, timesReady(courier), this::traceText);
    assertTrue(other.isAlive() && !copies.hasHeldEnded(HELD), this::traceText);
    return !courier.isRunning();
  }

  private void assertFolderLocked() {
    try (FileChannel file = FileChannel.open(lockFile(), StandardOpenOption.READ);
        FileLock free = file.tryLock(0, Long.MAX_VALUE, true)) {
      assertNull(free, this::traceText);
    } catch (final IOException e) {
      throw new AssertionError(traceText(), e);
    }
  }

  private Path lockFile() {
    return folder.resolve("state").resolve("lock");
  }

  /** Guards against an endless wait for a process that keeps running with its call. */
  @ParameterizedTest
  @CsvSource({
    "CONNECTION_AND_LOCK, safe, 3000",
    "CONNECTION_AND_LOCK, keyed, 3000",
    "CONNECTION_AND_LOCK, once, 3000",
    "CONNECTION_CLOSED, safe, 10000",
    "LOCK_RELEASED, safe, 10000"
  })
  void processKeepsRunning_heldMessageExpiresAndIsNotSentAgain(
      final EndSignal endSignal, final String messageClass, final long timeoutMs) throws Exception {
    final Times times = startAndSignalEnd(endSignal, messageClass, timeoutMs, () -> {}, () -> {});
    awaitPromptDelivery(courier, WAITING);
    courier.await("the outcome report", () -> courier.hasOutcomeReport(HELD, ""));
    final long reportedNs = System.nanoTime();
    final long timeoutNs = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    recordEvent(
        String.format(
            "the outcome report, %.1f ms after the deadline",
            (reportedNs - timeoutNs - times.callUntilNs()) / 1e6));
    assertTrue(reportedNs >= times.callFromNs() + timeoutNs - REPORT_TOLERANCE_NS, this::traceText);
    assertTrue(
        reportedNs <= times.callUntilNs() + timeoutNs + REPORT_TOLERANCE_NS, this::traceText);
    assertNotRepeatedWhileOtherRuns(courier);
    other.kill();
    recordEvent("exited");
    for (int sent = 0; sent < 5; sent++) {
      assertEquals(202, courier.submit("after-" + sent, "safe").status(), this::traceText);
      awaitPromptDelivery(courier, "after-" + sent);
    }
    assertEquals(1, copies.of(HELD).size(), this::traceText);
    assertEquals(
        1,
        courier.outcomeReports.stream().filter(line -> line.contains('"' + HELD + '"')).count(),
        () -> courier.outcomeReports + "; " + traceText());
  }

  /**
   * Guards against a shard that does not wait when a courier of several shards starts on a folder
   * that was just released.
   */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void severalShardsStartOnReleasedFolder_callsOfTwoShardsAreNotRepeated(final String messageClass)
      throws Exception {
    courier.mainClass = ShardedCourierProcess.class.getName();
    courier.secondEndpoint.script(copies::answer);
    courier.configuredHosts +=
        ","
            + CourierHarness.hostEntry("e2", courier.secondEndpoint, "Ready")
                .replace("\"block\":7", "\"block\":" + OTHER_DESTINATION);
    startOtherWithCall(messageClass);
    other.call(HELD_ELSEWHERE, messageClass, OTHER_DESTINATION, ScriptedCourier.MESSAGE_TIMEOUT_MS);
    courier.await("the other held call", () -> copies.of(HELD_ELSEWHERE).size() == 1);
    other.releaseLock();
    recordEvent("the lock is released");
    courier.start();
    assertNotRepeatedWhileOtherRuns(courier);
    assertEquals(1, copies.of(HELD_ELSEWHERE).size(), this::traceText);
    assertRepeatedAfterOtherIsKilled(courier, messageClass);
    if (messageClass.equals("once")) {
      courier.await(
          "the outcome report", () -> courier.hasOutcomeReport(HELD_ELSEWHERE, "undeliverable"));
      assertEquals(1, copies.of(HELD_ELSEWHERE).size(), this::traceText);
    } else {
      courier.await(
          "the second copy of the other held message", () -> copies.of(HELD_ELSEWHERE).size() == 2);
      assertTrue(copies.of(HELD_ELSEWHERE).get(1).heldHasEnded(), this::traceText);
    }
  }

  /** Guards against no wait, or an endless one, for a process of a version that records nothing. */
  @ParameterizedTest
  @CsvSource({
    "CONNECTION_CLOSED, false",
    "LOCK_RELEASED, false",
    "CONNECTION_AND_LOCK, false",
    "CONNECTION_AND_LOCK, true"
  })
  void holderRecordedNothing_callIsRepeatedOnceAfterGracePeriod(
      final EndSignal endSignal, final boolean recordIsEmpty) throws Exception {
    final Times times =
        startAndSignalEnd(
            endSignal,
            "safe",
            ScriptedCourier.MESSAGE_TIMEOUT_MS,
            () -> removeHolderRecords(recordIsEmpty),
            () -> {});
    final long waitStartNs = System.nanoTime();
    courier.await("the second copy", () -> copies.of(HELD).size() == 2);
    final long repeatNs = copies.of(HELD).get(1).receivedNs();
    recordEvent(String.format("the second copy at %.1f ms", msSinceStart(repeatNs)));
    assertTrue(repeatNs >= times.signalNs() + UNKNOWN_GRACE_NS, this::traceText);
    assertTrue(repeatNs <= waitStartNs + UNKNOWN_GRACE_NS + PROMPT_LIMIT_NS, this::traceText);
    awaitPromptDelivery(courier, WAITING);
    final long untilNs = System.nanoTime() + OBSERVATION_NS;
    courier.await(
        "the observation to end", () -> copies.of(HELD).size() > 2 || System.nanoTime() >= untilNs);
    assertEquals(2, copies.of(HELD).size(), this::traceText);
    assertFalse(courier.hasOutcomeReport(HELD, ""), this::traceText);
  }

  /** Removes the other process's record, or all records, as an earlier version leaves the file. */
  private void removeHolderRecords(final boolean all) throws IOException {
    final List<String> recorded = Files.readAllLines(lockFile());
    assertTrue(recorded.stream().anyMatch(this::namesOther), recorded::toString);
    Files.write(lockFile(), recorded.stream().filter(line -> !all && !namesOther(line)).toList());
  }

  /** A line of the record holds the start time and the process id. */
  private boolean namesOther(final String line) {
    return line.split(" ")[1].equals(Long.toString(other.pid()));
  }

  /**
   * Guards against forgetting the calls of a process when the courier that waits for it hands over.
   */
  @ParameterizedTest
  @CsvSource({
    "CONNECTION_CLOSED, safe",
    "CONNECTION_CLOSED, keyed",
    "CONNECTION_CLOSED, once",
    "LOCK_RELEASED, safe",
    "CONNECTION_AND_LOCK, safe"
  })
  void holdingCourierHandsOver_thirdProcessDoesNotRepeatCallOfTheFirst(
      final EndSignal endSignal, final String messageClass) throws Exception {
    startAndSignalEnd(endSignal, messageClass);
    awaitPromptDelivery(courier, WAITING);
    try (CourierHarness third = courier.successor()) {
      third.start();
      recordEvent("the third process serves");
      assertNotRepeatedWhileOtherRuns(third);
      assertRepeatedAfterOtherIsKilled(third, messageClass);
    }
  }

  /**
   * Guards against forgetting the calls of a process when the courier that waits for it shuts down.
   */
  @ParameterizedTest
  @CsvSource({
    "CONNECTION_CLOSED, safe",
    "CONNECTION_CLOSED, keyed",
    "CONNECTION_CLOSED, once",
    "LOCK_RELEASED, safe",
    "CONNECTION_AND_LOCK, safe"
  })
  void holdingCourierIsTerminated_nextProcessDoesNotRepeatCallOfTheFirst(
      final EndSignal endSignal, final String messageClass) throws Exception {
    startAndSignalEnd(endSignal, messageClass);
    awaitPromptDelivery(courier, WAITING);
    assertTrue(courier.terminate().waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
    recordEvent("the second process has exited");
    assertNoRepeat();
    try (CourierHarness third = courier.successor()) {
      third.start();
      recordEvent("the third process serves");
      assertNotRepeatedWhileOtherRuns(third);
      assertRepeatedAfterOtherIsKilled(third, messageClass);
    }
  }

  /** Guards against taking a stopped process for one that has exited. */
  @ParameterizedTest
  @EnumSource(EndSignal.class)
  void otherProcessIsStopped_callIsNotRepeatedBeforeItExits(final EndSignal endSignal)
      throws Exception {
    startAndSignalEnd(
        endSignal,
        "safe",
        ScriptedCourier.MESSAGE_TIMEOUT_MS,
        () -> {},
        () -> {
          other.stop();
          recordEvent("stopped");
        });
    assertNotRepeatedWhileOtherRuns(courier);
    assertRepeatedAfterOtherIsKilled(courier, "safe");
  }

  /** Guards against the same where the stopped process is asked to hand over. */
  @Test
  void stoppedProcessIsAskedToHandOver_callIsNotRepeatedBeforeItExits() throws Exception {
    startOtherWithCall("safe");
    other.listen(HandoverManner.HAND_OVER);
    other.stop();
    recordEvent("stopped");
    final CompletableFuture<Void> started = startInBackground(courier);
    courier.await(
        "the takeover",
        () -> courier.logLines.stream().anyMatch(line -> line.contains("takes over from")));
    final long untilNs = System.nanoTime() + OBSERVATION_NS;
    courier.await(
        "the observation to end",
        () -> {
          assertNoRepeat();
          return System.nanoTime() >= untilNs;
        });
    assertTrue(other.isAlive() && !started.isDone(), this::traceText);
    other.kill();
    recordEvent("exited");
    started.get(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS);
    awaitPromptDelivery(courier, WAITING);
    courier.await("the second copy", () -> copies.of(HELD).size() == 2);
    assertTrue(copies.of(HELD).get(1).heldHasEnded(), this::traceText);
  }
}
