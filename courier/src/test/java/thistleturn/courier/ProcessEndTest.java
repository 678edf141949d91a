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
 * The line to another process of a courier and its lock can end before the connections of its calls
 * do: the system closes the newest descriptor of a killed process first, and the process itself is
 * gone last. Until it is gone nothing is sent again that it may still have out, and all else goes
 * on.
 */
@Tag("operators")
@Timeout(120)
final class ProcessEndTest extends ProcessEndScenario {
  /** Guards against taking the end of an older process's line for the end of its calls. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void olderProcessLosesItsLine_callIsNotRepeatedBeforeItIsGone(final String messageClass)
      throws Exception {
    otherServes(messageClass);
    other.listen(HandoverManner.HAND_OVER);
    courier.start();
    other.closeConnection();
    note("the line has ended");
    assertNotRepeatedWhileOtherLives(courier);
    assertRepeatedOnceOtherIsGone(courier, messageClass);
  }

  /** Guards against taking a folder that has become free for the end of its holder's calls. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void startOnFolderJustFreed_callIsNotRepeatedBeforeItsProcessIsGone(final String messageClass)
      throws Exception {
    otherServes(messageClass);
    other.releaseLock();
    note("the lock is free");
    courier.start();
    assertNotRepeatedWhileOtherLives(courier);
    assertRepeatedOnceOtherIsGone(courier, messageClass);
  }

  /** Guards against taking an older process that does not hand over for one that is gone. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void olderProcessRefusesAndLosesItsLock_callIsNotRepeatedBeforeItIsGone(final String messageClass)
      throws Exception {
    other.lockFolder();
    other.listen(HandoverManner.REFUSE);
    final CompletableFuture<Void> started = startInBackground(courier);
    other.awaitEvent("asked to hand over", 2);
    otherCalls(messageClass);
    other.releaseLock();
    note("the lock is free");
    started.get(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS);
    assertNotRepeatedWhileOtherLives(courier);
    assertRepeatedOnceOtherIsGone(courier, messageClass);
  }

  /** Guards against the same where the older process is killed while it hands over. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void lineEndsWithinSnapshot_callIsNotRepeatedBeforeOlderProcessIsGone(final String messageClass)
      throws Exception {
    otherServes(messageClass);
    other.listen(HandoverManner.DROP_WITHIN_SNAPSHOT);
    courier.start();
    note("the newer process is ready");
    assertEquals(1, other.count("asked to hand over"), this::traceText);
    assertNotRepeatedWhileOtherLives(courier);
    assertRepeatedOnceOtherIsGone(courier, messageClass);
  }

  /** Guards against taking the end of a newer process's line and lock for the end of its calls. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void newerProcessLosesLineAndLock_callIsNotRepeatedBeforeItIsGone(final String messageClass)
      throws Exception {
    courier.start();
    other.takeOver();
    otherCalls(messageClass);
    other.closeConnection();
    note("the line has ended");
    other.releaseLock();
    note("the lock is free");
    courier.await(
        "the older process to resume",
        () -> courier.logLines.stream().filter(line -> line.contains("is ready at")).count() == 2);
    note("the older process decides again");
    assertNotRepeatedWhileOtherLives(courier);
    assertRepeatedOnceOtherIsGone(courier, messageClass);
  }

  /** Guards against forgetting the oldest of three processes once the one between is gone. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void successorIsKilled_thirdProcessDoesNotRepeatCallOfTheFirst(final String messageClass)
      throws Exception {
    otherServes(messageClass);
    other.listen(HandoverManner.HAND_OVER);
    courier.start();
    awaitAtOnce(courier, WAITING);
    courier.kill();
    note("the second process is gone");
    try (CourierHarness third = courier.successor()) {
      third.start();
      assertNotRepeatedWhileOtherLives(third);
      assertRepeatedOnceOtherIsGone(third, messageClass);
    }
  }

  /** Guards against the same where the one between has handed over before it is killed. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void secondOfThreeIsKilled_thirdProcessDoesNotRepeatCallOfTheFirst(final String messageClass)
      throws Exception {
    otherServes(messageClass);
    other.listen(HandoverManner.HAND_OVER);
    courier.start();
    try (CourierHarness third = courier.successor()) {
      third.start();
      courier.kill();
      note("the second process is gone");
      assertNotRepeatedWhileOtherLives(third);
      assertRepeatedOnceOtherIsGone(third, messageClass);
    }
  }

  /** Guards against taking a line that cannot be read for the end of the process that sent it. */
  @ParameterizedTest
  @EnumSource(UnreadableLine.class)
  void unreadableLineFromOlderProcess_oneDecidesAndCallIsNotRepeated(final UnreadableLine kind)
      throws Exception {
    otherServes("safe");
    other.listen(HandoverManner.HAND_OVER);
    courier.start();
    other.sendUnreadable(kind);
    other.awaitEvent("successor gone", 1);
    note("the line has ended");
    other.assertLockedByOther();
    assertNotRepeatedWhileOtherLives(courier);
    other.assertLockedByOther();
    assertRepeatedOnceOtherIsGone(courier, "safe");
  }
}
