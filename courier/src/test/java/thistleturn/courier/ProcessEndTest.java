package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import thistleturn.courier.ScriptedCourierProcess.HandoverManner;
import thistleturn.courier.ScriptedCourierProcess.UnreadableLine;

/**
 * The connection to another process of a courier and its lock can end before the connections of its
 * calls do: the system closes the newest descriptor of a killed process first, and the process
 * exits last. Until then no message is sent again that may still be in a call of that process, and
 * all others are delivered.
 */
@Tag("operators")
@Timeout(120)
final class ProcessEndTest extends ProcessEndScenario {
  /** Guards against taking the closed connection of an older process for the end of its calls. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void olderProcessClosesConnection_callIsNotRepeatedBeforeItExits(final String messageClass)
      throws Exception {
    startOtherWithCall(messageClass);
    other.listen(HandoverManner.HAND_OVER);
    courier.start();
    other.closeConnection();
    recordEvent("the connection is closed");
    assertNotRepeatedWhileOtherRuns(courier);
    assertRepeatedAfterOtherIsKilled(courier, messageClass);
  }

  /** Guards against taking a released folder for the end of its holder's calls. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void startOnReleasedFolder_callIsNotRepeatedBeforeItsProcessExits(final String messageClass)
      throws Exception {
    startOtherWithCall(messageClass);
    other.releaseLock();
    recordEvent("the lock is released");
    courier.start();
    assertNotRepeatedWhileOtherRuns(courier);
    assertRepeatedAfterOtherIsKilled(courier, messageClass);
  }

  /** Guards against taking an older process that does not hand over for one that has exited. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void olderProcessRefusesAndReleasesLock_callIsNotRepeatedBeforeItExits(final String messageClass)
      throws Exception {
    other.lockFolder();
    other.listen(HandoverManner.REFUSE);
    final CompletableFuture<Void> started = startInBackground(courier);
    other.awaitEvent("asked to hand over", 2);
    callFromOther(messageClass);
    other.releaseLock();
    recordEvent("the lock is released");
    started.get(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS);
    assertNotRepeatedWhileOtherRuns(courier);
    assertRepeatedAfterOtherIsKilled(courier, messageClass);
  }

  /** Guards against repeating calls of an older process that is killed while it hands over. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void connectionClosedDuringSnapshot_callIsNotRepeatedBeforeOlderProcessExits(
      final String messageClass) throws Exception {
    startOtherWithCall(messageClass);
    other.listen(HandoverManner.DROP_WITHIN_SNAPSHOT);
    courier.start();
    recordEvent("the newer process is ready");
    assertEquals(1, other.count("asked to hand over"), this::traceText);
    assertNotRepeatedWhileOtherRuns(courier);
    assertRepeatedAfterOtherIsKilled(courier, messageClass);
  }

  /**
   * Guards against taking the closed connection and the released lock of a newer process for the
   * end of its calls.
   */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void newerProcessClosesConnectionAndReleasesLock_callIsNotRepeatedBeforeItExits(
      final String messageClass) throws Exception {
    courier.start();
    other.takeOver();
    callFromOther(messageClass);
    other.closeConnection();
    recordEvent("the connection is closed");
    other.releaseLock();
    recordEvent("the lock is released");
    courier.await(
        "the older process to resume",
        () -> courier.logLines.stream().filter(line -> line.contains("is ready at")).count() == 2);
    recordEvent("the older process serves again");
    assertNotRepeatedWhileOtherRuns(courier);
    assertRepeatedAfterOtherIsKilled(courier, messageClass);
  }

  /** Guards against forgetting the oldest of three processes once the second is killed. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void successorIsKilled_thirdProcessDoesNotRepeatCallOfTheFirst(final String messageClass)
      throws Exception {
    startOtherWithCall(messageClass);
    other.listen(HandoverManner.HAND_OVER);
    courier.start();
    awaitPromptDelivery(courier, WAITING);
    courier.kill();
    recordEvent("the second process has exited");
    try (CourierHarness third = courier.successor()) {
      third.start();
      assertNotRepeatedWhileOtherRuns(third);
      assertRepeatedAfterOtherIsKilled(third, messageClass);
    }
  }

  /** Guards against the same where the second process has handed over before it is killed. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void secondOfThreeIsKilled_thirdProcessDoesNotRepeatCallOfTheFirst(final String messageClass)
      throws Exception {
    startOtherWithCall(messageClass);
    other.listen(HandoverManner.HAND_OVER);
    courier.start();
    try (CourierHarness third = courier.successor()) {
      third.start();
      courier.kill();
      recordEvent("the second process has exited");
      assertNotRepeatedWhileOtherRuns(third);
      assertRepeatedAfterOtherIsKilled(third, messageClass);
    }
  }

  /** Guards against taking an unreadable line for the end of the process that sent it. */
  @ParameterizedTest
  @EnumSource(UnreadableLine.class)
  void unreadableLineFromOlderProcess_oneDecidesAndCallIsNotRepeated(final UnreadableLine kind)
      throws Exception {
    startOtherWithCall("safe");
    other.listen(HandoverManner.HAND_OVER);
    courier.start();
    other.sendUnreadable(kind);
    other.awaitEvent("successor gone", 1);
    recordEvent("the connection is closed");
    other.assertLockedByOther();
    assertNotRepeatedWhileOtherRuns(courier);
    other.assertLockedByOther();
    assertRepeatedAfterOtherIsKilled(courier, "safe");
  }
}
