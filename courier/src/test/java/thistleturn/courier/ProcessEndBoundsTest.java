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
 * The bounds of the wait for another process's end: its message's deadline, a process that recorded
 * nothing, one that is stopped; and the wait goes on in the next process of the courier.
 */
@Tag("operators")
@Timeout(120)
final class ProcessEndBoundsTest extends ProcessEndScenario {
  private static final long NOTICE_TOLERANCE_NS = TimeUnit.MILLISECONDS.toNanos(300);

  /** The wait for a process that recorded nothing. */
  private static final long UNKNOWN_GRACE_NS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final long OTHER_DESTINATION =
      LongStream.iterate(ScriptedCalls.DESTINATION + 1, candidate -> candidate + 1)
          .filter(candidate -> shardOf(candidate) != shardOf(ScriptedCalls.DESTINATION))
          .findFirst()
          .orElseThrow();

  /** What the courier sees end of the other process, which lives. */
  enum Sign {
    /** The line to it, after it has handed over. */
    LINE,
    /** Its hold on the folder, which the courier finds free when it starts. */
    LOCK,
    /** Both, after the courier has handed over to it. */
    LINE_AND_LOCK
  }

  /** A step of the test itself between those of the two processes. */
  @FunctionalInterface
  private interface Step {
    void run() throws IOException, InterruptedException;
  }

  /** When the held call began, within two bounds, and when the sign was given at the earliest. */
  private record Times(long callFromNs, long callUntilNs, long signNs) {}

  private static int shardOf(final long destination) {
    return ShardPlacement.shardOf(destination, ShardedCourierProcess.SHARDS);
  }

  /** The other process has a call out and shows a sign of its end; the courier decides. */
  private Times showSign(
      final Sign sign,
      final String messageClass,
      final long timeoutMs,
      final Step onCalled,
      final Step onSign)
      throws IOException, InterruptedException {
    if (sign == Sign.LINE_AND_LOCK) {
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
    note("the first copy is out");
    onCalled.run();
    if (sign == Sign.LINE) {
      other.listen(HandoverManner.HAND_OVER);
      courier.start();
    }
    final long signNs = System.nanoTime();
    if (sign != Sign.LOCK) {
      other.closeConnection();
      note("the line has ended");
    }
    if (sign != Sign.LINE) {
      other.releaseLock();
      note("the lock is free");
    }
    onSign.run();
    if (sign == Sign.LOCK) {
      courier.start();
    } else if (sign == Sign.LINE_AND_LOCK) {
      awaitTakeBack();
    }
    return new Times(callFromNs, callUntilNs, signNs);
  }

  private Times showSign(final Sign sign, final String messageClass)
      throws IOException, InterruptedException {
    return showSign(sign, messageClass, ScriptedCourier.MESSAGE_TIMEOUT_MS, () -> {}, () -> {});
  }

  /** Guards against two deciding processes where it is the newer one that sends what is no line. */
  @ParameterizedTest
  @EnumSource(UnreadableLine.class)
  void unreadableLineFromNewerProcess_oneDecidesAndNoCallIsRepeated(final UnreadableLine kind)
      throws Exception {
    courier.start();
    assertEquals(202, courier.submit(HELD_BY_COURIER, "safe").status());
    courier.await("the courier's call", () -> copies.of(HELD_BY_COURIER).size() == 1);
    other.takeOver();
    otherCalls("safe");
    other.sendUnreadable(kind);
    other.awaitEvent("predecessor gone", 1);
    note("the line has ended");
    courier.await("the older process to end", this::olderHasEndedAndNewerHoldsFolder);
    note("the older process has ended");
    final long untilNs = System.nanoTime() + WATCH_NS;
    courier.await(
        "the watch", () -> olderHasEndedAndNewerHoldsFolder() && System.nanoTime() >= untilNs);
    other.releaseLock();
    try (CourierHarness third = courier.successor()) {
      third.start();
      assertNotRepeatedWhileOtherLives(third);
      assertRepeatedOnceOtherIsGone(third, "safe");
      third.await("the older one's call", () -> copies.of(HELD_BY_COURIER).size() == 2);
      assertTrue(copies.of(HELD_BY_COURIER).get(1).heldHasEnded(), this::traceText);
    }
  }

  /** Returns whether the older process has ended; all that must hold until then is asserted. */
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

  /** Guards against a wait without end for a process that lives on with its call. */
  @ParameterizedTest
  @CsvSource({
    "LINE_AND_LOCK, safe, 3000",
    "LINE_AND_LOCK, keyed, 3000",
    "LINE_AND_LOCK, once, 3000",
    "LINE, safe, 10000",
    "LOCK, safe, 10000"
  })
  void processLivesOn_heldMessageEndsAtItsDeadlineAndIsNotSentAgain(
      final Sign sign, final String messageClass, final long timeoutMs) throws Exception {
    final Times times = showSign(sign, messageClass, timeoutMs, () -> {}, () -> {});
    awaitAtOnce(courier, WAITING);
    courier.await("its notice", () -> courier.hasOutcomeReport(HELD, ""));
    final long noticeNs = System.nanoTime();
    final long timeoutNs = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    note(
        String.format(
            "the notice, %.1f ms after the deadline",
            (noticeNs - timeoutNs - times.callUntilNs()) / 1e6));
    assertTrue(noticeNs >= times.callFromNs() + timeoutNs - NOTICE_TOLERANCE_NS, this::traceText);
    assertTrue(noticeNs <= times.callUntilNs() + timeoutNs + NOTICE_TOLERANCE_NS, this::traceText);
    assertNotRepeatedWhileOtherLives(courier);
    other.kill();
    note("gone");
    for (int sent = 0; sent < 5; sent++) {
      assertEquals(202, courier.submit("after-" + sent, "safe").status(), this::traceText);
      awaitAtOnce(courier, "after-" + sent);
    }
    assertEquals(1, copies.of(HELD).size(), this::traceText);
    assertEquals(
        1,
        courier.outcomeReports.stream().filter(line -> line.contains('"' + HELD + '"')).count(),
        () -> courier.outcomeReports + "; " + traceText());
  }

  /**
   * Guards against a shard that does not wait where a courier of several shards finds the folder
   * free.
   */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void severalShardsStartOnFolderJustFreed_callsOfTwoShardsAreNotRepeated(final String messageClass)
      throws Exception {
    courier.mainClass = ShardedCourierProcess.class.getName();
    courier.secondEndpoint.script(copies::answer);
    courier.configuredHosts +=
        ","
            + CourierHarness.hostEntry("e2", courier.secondEndpoint, "Ready")
                .replace("\"block\":7", "\"block\":" + OTHER_DESTINATION);
    otherServes(messageClass);
    other.call(HELD_ELSEWHERE, messageClass, OTHER_DESTINATION, ScriptedCourier.MESSAGE_TIMEOUT_MS);
    courier.await("the other held call", () -> copies.of(HELD_ELSEWHERE).size() == 1);
    other.releaseLock();
    note("the lock is free");
    courier.start();
    assertNotRepeatedWhileOtherLives(courier);
    assertEquals(1, copies.of(HELD_ELSEWHERE).size(), this::traceText);
    assertRepeatedOnceOtherIsGone(courier, messageClass);
    if (messageClass.equals("once")) {
      courier.await("its notice", () -> courier.hasOutcomeReport(HELD_ELSEWHERE, "undeliverable"));
      assertEquals(1, copies.of(HELD_ELSEWHERE).size(), this::traceText);
    } else {
      courier.await("the other second copy", () -> copies.of(HELD_ELSEWHERE).size() == 2);
      assertTrue(copies.of(HELD_ELSEWHERE).get(1).heldHasEnded(), this::traceText);
    }
  }

  /**
   * Guards against no wait, or one without end, for a process of a version that records nothing.
   */
  @ParameterizedTest
  @CsvSource({"LINE, false", "LOCK, false", "LINE_AND_LOCK, false", "LINE_AND_LOCK, true"})
  void holderRecordedNothing_callIsRepeatedOnceAfterTheGrace(
      final Sign sign, final boolean recordIsEmpty) throws Exception {
    final Times times =
        showSign(
            sign,
            "safe",
            ScriptedCourier.MESSAGE_TIMEOUT_MS,
            () -> forgetHolders(recordIsEmpty),
            () -> {});
    final long decidesNs = System.nanoTime();
    courier.await("the second copy", () -> copies.of(HELD).size() == 2);
    final long repeatNs = copies.of(HELD).get(1).receivedNs();
    note(String.format("the second copy at %.1f ms", ms(repeatNs)));
    assertTrue(repeatNs >= times.signNs() + UNKNOWN_GRACE_NS, this::traceText);
    assertTrue(repeatNs <= decidesNs + UNKNOWN_GRACE_NS + AT_ONCE_NS, this::traceText);
    awaitAtOnce(courier, WAITING);
    final long untilNs = System.nanoTime() + WATCH_NS;
    courier.await("the watch", () -> copies.of(HELD).size() > 2 || System.nanoTime() >= untilNs);
    assertEquals(2, copies.of(HELD).size(), this::traceText);
    assertFalse(courier.hasOutcomeReport(HELD, ""), this::traceText);
  }

  /** Removes the other process's record, or all of them, as an earlier version left the file. */
  private void forgetHolders(final boolean all) throws IOException {
    final List<String> recorded = Files.readAllLines(lockFile());
    assertTrue(recorded.stream().anyMatch(this::namesOther), recorded::toString);
    Files.write(lockFile(), recorded.stream().filter(line -> !all && !namesOther(line)).toList());
  }

  /** A line of the record: since when, and the number of the process. */
  private boolean namesOther(final String line) {
    return line.split(" ")[1].equals(Long.toString(other.pid()));
  }

  /** Guards against forgetting what is held when the courier that holds it hands over. */
  @ParameterizedTest
  @CsvSource({"LINE, safe", "LINE, keyed", "LINE, once", "LOCK, safe", "LINE_AND_LOCK, safe"})
  void holdingCourierHandsOver_thirdProcessDoesNotRepeatCallOfTheFirst(
      final Sign sign, final String messageClass) throws Exception {
    showSign(sign, messageClass);
    awaitAtOnce(courier, WAITING);
    try (CourierHarness third = courier.successor()) {
      third.start();
      note("the third process decides");
      assertNotRepeatedWhileOtherLives(third);
      assertRepeatedOnceOtherIsGone(third, messageClass);
    }
  }

  /** Guards against forgetting what is held when the courier that holds it is shut down. */
  @ParameterizedTest
  @CsvSource({"LINE, safe", "LINE, keyed", "LINE, once", "LOCK, safe", "LINE_AND_LOCK, safe"})
  void holdingCourierIsTerminated_nextProcessDoesNotRepeatCallOfTheFirst(
      final Sign sign, final String messageClass) throws Exception {
    showSign(sign, messageClass);
    awaitAtOnce(courier, WAITING);
    assertTrue(courier.terminate().waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
    note("the second process has ended");
    assertNoRepeat();
    try (CourierHarness third = courier.successor()) {
      third.start();
      note("the third process decides");
      assertNotRepeatedWhileOtherLives(third);
      assertRepeatedOnceOtherIsGone(third, messageClass);
    }
  }

  /** Guards against taking a process that stands still for one that is gone. */
  @ParameterizedTest
  @EnumSource(Sign.class)
  void otherProcessIsStopped_callIsNotRepeatedBeforeItIsGone(final Sign sign) throws Exception {
    showSign(
        sign,
        "safe",
        ScriptedCourier.MESSAGE_TIMEOUT_MS,
        () -> {},
        () -> {
          other.stop();
          note("stopped");
        });
    assertNotRepeatedWhileOtherLives(courier);
    assertRepeatedOnceOtherIsGone(courier, "safe");
  }

  /** Guards against the same where the process that stands still is asked to hand over. */
  @Test
  void stoppedProcessIsAskedToHandOver_callIsNotRepeatedBeforeItIsGone() throws Exception {
    otherServes("safe");
    other.listen(HandoverManner.HAND_OVER);
    other.stop();
    note("stopped");
    final CompletableFuture<Void> started = startInBackground(courier);
    courier.await(
        "the takeover",
        () -> courier.logLines.stream().anyMatch(line -> line.contains("takes over from")));
    final long untilNs = System.nanoTime() + WATCH_NS;
    courier.await(
        "the watch",
        () -> {
          assertNoRepeat();
          return System.nanoTime() >= untilNs;
        });
    assertTrue(other.isAlive() && !started.isDone(), this::traceText);
    other.kill();
    note("gone");
    started.get(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS);
    awaitAtOnce(courier, WAITING);
    courier.await("the second copy", () -> copies.of(HELD).size() == 2);
    assertTrue(copies.of(HELD).get(1).heldHasEnded(), this::traceText);
  }
}
