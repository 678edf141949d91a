package thistleturn.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.MessageClass;
import thistleturn.testkit.RuleChecker.CallResult;
import thistleturn.testkit.Violation.Rule;

/**
 * Scripted event traces of correct and faulty couriers: each violation is detected, and nothing
 * else is reported.
 */
@Tag("membership")
final class RuleCheckerTest {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;
  private static final long TIMEOUT = 2 * SECOND;
  private static final List<MessageClass> CLASSES =
      List.of(
          new MessageClass(
              "safe", Idempotence.IDEMPOTENT, false, false, 1, 0, SECOND, 9 * SECOND, 0),
          new MessageClass(
              "keyed",
              Idempotence.IDEMPOTENT_BY_KEY,
              false,
              false,
              1,
              0,
              SECOND,
              9 * SECOND,
              SECOND),
          new MessageClass(
              "once", Idempotence.NON_IDEMPOTENT, false, false, 1, 0, SECOND, 9 * SECOND, 0),
          new MessageClass(
              "line", Idempotence.IDEMPOTENT, false, true, 1, 0, SECOND, 9 * SECOND, 0));

  private final RuleChecker ruleChecker =
      new RuleChecker(RuleChecker.Tolerances.standard(), CLASSES);

  @BeforeEach
  void endpoints() {
    ruleChecker.registerEndpoint("e1", 1);
    ruleChecker.registerEndpoint("e2", 2);
  }

  private void accept(final long atUs, final String id, final String kind) {
    accept(atUs, id, kind, null);
  }

  private void accept(final long atUs, final String id, final String kind, final String key) {
    ruleChecker.recordSubmitted(atUs, id, kind, 1, key, TIMEOUT);
    ruleChecker.recordAccepted(atUs + MS, id);
  }

  private void call(final long fromUs, final long toUs, final String id, final CallResult end) {
    ruleChecker.recordCall(fromUs, "e1", List.of(id));
    ruleChecker.recordCallEnd(toUs, fromUs, id, end);
  }

  private void assertViolations(final Rule... rules) {
    assertEquals(
        List.of(rules),
        ruleChecker.finish(100 * SECOND).stream().map(Violation::rule).collect(Collectors.toList()),
        ruleChecker.finish(100 * SECOND).toString());
  }

  @Test
  void correctCourier_hasNoViolation() {
    accept(0, "a", "safe");
    call(10 * MS, 500 * MS, "a", CallResult.CONNECTION_LOST);
    call(600 * MS, 700 * MS, "a", CallResult.DELIVERED);
    accept(0, "b", "keyed");
    call(10 * MS, 20 * MS, "b", CallResult.ERROR);
    call(900 * MS, 950 * MS, "b", CallResult.DELIVERED);
    accept(0, "c", "once");
    call(10 * MS, 20 * MS, "c", CallResult.REJECTED);
    call(30 * MS, 40 * MS, "c", CallResult.CONNECTION_LOST);
    ruleChecker.recordOutcomeNotice(TIMEOUT, "c", false);
    accept(0, "d", "once");
    ruleChecker.recordOutcomeNotice(TIMEOUT + 299 * MS, "d", true);
    ruleChecker.recordSubmitted(0, "e", "once", 1, null, TIMEOUT);
    ruleChecker.recordRejected(MS, "e");
    assertViolations();
  }

  @Test
  void messageWithoutOutcome_isLost() {
    accept(0, "a", "safe");
    assertViolations(Rule.LOST);
  }

  @Test
  void outcomeAfterGrace_isLost() {
    accept(0, "a", "safe");
    ruleChecker.recordOutcomeNotice(TIMEOUT + 301 * MS, "a", true);
    assertViolations(Rule.LOST);
  }

  /**
   * A paused checker observes outcomes late. Only that part of the delay is excused, and
   * overlapping pauses of its two loops count once.
   */
  @Test
  void outcomeSeenLateByPausedChecker_isExcusedByThatPauseOnly() {
    accept(0, "a", "safe");
    accept(0, "b", "safe");
    accept(0, "c", "safe");
    ruleChecker.recordOutcomeNotice(TIMEOUT + 900 * MS, "a", true);
    ruleChecker.recordCheckerPause(TIMEOUT + 200 * MS, TIMEOUT + 850 * MS);
    ruleChecker.recordCheckerPause(TIMEOUT + 250 * MS, TIMEOUT + 840 * MS);
    ruleChecker.recordOutcomeNotice(TIMEOUT + 1000 * MS, "b", true);
    // A pause before the message's deadline, or after its outcome was observed, excuses nothing.
    ruleChecker.recordCheckerPause(TIMEOUT - SECOND, TIMEOUT);
    ruleChecker.recordCheckerPause(TIMEOUT + 1200 * MS, TIMEOUT + 3 * SECOND);
    ruleChecker.recordOutcomeNotice(TIMEOUT + 1100 * MS, "c", true);
    final List<Violation> violations = ruleChecker.finish(10 * SECOND);
    assertEquals(
        List.of(Rule.LOST, Rule.LOST),
        violations.stream().map(Violation::rule).toList(),
        violations.toString());
    assertTrue(
        violations.get(0).toString().contains("b (safe)")
            && violations.get(0).toString().contains("50 ms of it"),
        violations.toString());
  }

  @Test
  void lateOutcomeAfterRestart_isExcusedWithinRestartGraceOnly() {
    accept(0, "a", "safe");
    accept(0, "b", "safe");
    ruleChecker.recordRestart(SECOND, false);
    ruleChecker.recordRestart(3 * SECOND, true);
    ruleChecker.recordOutcomeNotice(4 * SECOND, "a", true);
    ruleChecker.recordOutcomeNotice(5 * SECOND, "b", true);
    assertViolations(Rule.LOST);
  }

  /**
   * The next process may report outcomes before it is ready: none is overdue from the end of the
   * process before.
   */
  @Test
  void lateOutcomeBeforeRestartIsReady_isExcused() {
    accept(0, "a", "safe");
    ruleChecker.recordRestart(SECOND, false);
    ruleChecker.recordOutcomeNotice(TIMEOUT + 2 * SECOND, "a", true);
    ruleChecker.recordRestart(TIMEOUT + 3 * SECOND, true);
    assertViolations();
  }

  @Test
  void outcomeOverdueBeforeRestart_isNotExcused() {
    accept(0, "a", "safe");
    ruleChecker.recordRestart(TIMEOUT + SECOND, false);
    ruleChecker.recordOutcomeNotice(TIMEOUT + 2 * SECOND, "a", true);
    ruleChecker.recordRestart(TIMEOUT + 3 * SECOND, true);
    assertViolations(Rule.LOST);
  }

  /**
   * Guards against a checker that knows only the last of two restarts. The second one begins within
   * the grace of the first one: no outcome is late from the first kill until the grace after the
   * last start.
   *
   * <p>Seen in {@code SystemCallFaultsTest} (folder that fails amid kills) beside four busy loops:
   * m5-2's deadline was at 5.43 s; kills at 3.5 and 6.7 s, ready at 6.3 and 9.6; the second process
   * ended it at 6.2 s and was killed 0.5 s later, the third one reported it at 9.416 s.
   */
  @Test
  void consecutiveRestarts_excuseLateOutcomesThroughout() {
    accept(0, "a", "safe");
    ruleChecker.recordRestart(TIMEOUT - SECOND, false);
    ruleChecker.recordRestart(TIMEOUT + SECOND, true);
    ruleChecker.recordRestart(TIMEOUT + 2 * SECOND, false);
    ruleChecker.recordRestart(TIMEOUT + 3 * SECOND, true);
    ruleChecker.recordOutcomeNotice(TIMEOUT + 4 * SECOND, "a", true);
    assertViolations();
  }

  @Test
  void restartAfterExcuseExpired_isNotExcused() {
    accept(0, "a", "safe");
    ruleChecker.recordRestart(TIMEOUT - SECOND, false);
    ruleChecker.recordRestart(TIMEOUT + SECOND, true);
    ruleChecker.recordRestart(TIMEOUT + 2501 * MS, false);
    ruleChecker.recordRestart(TIMEOUT + 3 * SECOND, true);
    ruleChecker.recordOutcomeNotice(TIMEOUT + 3 * SECOND, "a", true);
    assertViolations(Rule.LOST);
  }

  @Test
  void repeatAfterKill_isAllowedForRepeatableMessagesOnly() {
    for (final String kind : List.of("safe", "keyed", "once")) {
      accept(0, kind, kind);
      call(10 * MS, 90 * MS, kind, CallResult.DELIVERED);
    }
    accept(0, "late", "keyed");
    call(10 * MS, 90 * MS, "late", CallResult.DELIVERED);
    ruleChecker.recordRestart(100 * MS, false);
    ruleChecker.recordRestart(500 * MS, true);
    for (final String kind : List.of("safe", "keyed", "once")) {
      call(600 * MS, 610 * MS, kind, CallResult.DELIVERED);
    }
    call(1020 * MS, 1030 * MS, "late", CallResult.DELIVERED);
    assertViolations(Rule.DOUBLE, Rule.DOUBLE);
  }

  /**
   * The call was in flight when its process was killed, and was answered a moment later, too late
   * to be read.
   */
  @Test
  void answerWrittenAfterKill_countsAsUnread() {
    accept(0, "a", "safe");
    accept(0, "b", "safe");
    ruleChecker.recordRestart(50 * MS, false);
    call(10 * MS, 52 * MS, "a", CallResult.DELIVERED);
    ruleChecker.recordRestart(200 * MS, true);
    call(300 * MS, 310 * MS, "a", CallResult.DELIVERED);
    // The next process has read its own answers.
    call(300 * MS, 310 * MS, "b", CallResult.DELIVERED);
    call(400 * MS, 410 * MS, "b", CallResult.DELIVERED);
    assertViolations(Rule.LOST);
  }

  /**
   * Guards against a checker that knows only the last of two kills. The first process never read
   * its answer, and the second one was killed before it came to the message; the third one sends it
   * again. The last kill came 1.24 s after the answer, and the repeat counted as a fault.
   *
   * <p>Seen in {@code SystemCallFaultsTest} (folder that fails amid kills): a call at 4,486 ms was
   * answered at 4,511; kills at 4,506 and 5,746; ready at 6,746, sent again at 7,000.
   */
  @Test
  void answerUnreadAtFirstOfTwoKills_mayBeRepeatedAfterSecond() {
    accept(4400 * MS, "a", "safe");
    accept(4400 * MS, "once", "once");
    ruleChecker.recordRestart(4506 * MS, false);
    call(4486 * MS, 4511 * MS, "a", CallResult.DELIVERED);
    call(4486 * MS, 4511 * MS, "once", CallResult.DELIVERED);
    ruleChecker.recordRestart(5000 * MS, true);
    ruleChecker.recordRestart(5746 * MS, false);
    ruleChecker.recordRestart(6746 * MS, true);
    call(7000 * MS, 7025 * MS, "a", CallResult.DELIVERED);
    call(7000 * MS, 7025 * MS, "once", CallResult.DELIVERED);
    assertViolations(Rule.DOUBLE);
  }

  /** An answer that there was time to read counts as read, whichever kill follows. */
  @Test
  void answerReadBeforeFirstOfTwoKills_mayNotBeRepeated() {
    accept(0, "a", "safe");
    call(10 * MS, 35 * MS, "a", CallResult.DELIVERED);
    ruleChecker.recordRestart(1036 * MS, false);
    ruleChecker.recordRestart(1200 * MS, true);
    ruleChecker.recordRestart(1300 * MS, false);
    ruleChecker.recordRestart(1400 * MS, true);
    call(1500 * MS, 1525 * MS, "a", CallResult.DELIVERED);
    assertViolations(Rule.LOST);
  }

  /**
   * The second process repeated the call and read the answer, so the third one knows of the
   * delivery.
   */
  @Test
  void repeatWhoseAnswerWasRead_mayNotBeRepeatedAgain() {
    accept(0, "a", "safe");
    accept(0, "b", "safe");
    call(80 * MS, 95 * MS, "a", CallResult.DELIVERED);
    call(80 * MS, 95 * MS, "b", CallResult.DELIVERED);
    ruleChecker.recordRestart(100 * MS, false);
    ruleChecker.recordRestart(200 * MS, true);
    call(210 * MS, 235 * MS, "a", CallResult.DELIVERED);
    call(210 * MS, 235 * MS, "b", CallResult.DELIVERED);
    // A repeat by the same process, and one by another process after more than a second.
    call(300 * MS, 325 * MS, "a", CallResult.DELIVERED);
    ruleChecker.recordRestart(1240 * MS, false);
    ruleChecker.recordRestart(1300 * MS, true);
    call(1400 * MS, 1425 * MS, "b", CallResult.DELIVERED);
    assertViolations(Rule.LOST, Rule.LOST);
  }

  /** A call with two messages, the first of which has that much time left when the call begins. */
  private void sharedCall(final long fromUs, final long answeredUs, final long firstHasUs) {
    ruleChecker.recordSubmitted(0, "first", "safe", 1, null, fromUs + firstHasUs);
    ruleChecker.recordSubmitted(0, "other", "safe", 1, null, 10 * SECOND);
    ruleChecker.recordCall(fromUs, "e1", List.of("first", "other"));
    ruleChecker.recordCallEnd(answeredUs, fromUs, "first", CallResult.DELIVERED);
    ruleChecker.recordCallEnd(answeredUs, fromUs, "other", CallResult.DELIVERED);
  }

  /**
   * A shared call expires for all its messages at the earliest of their deadlines. A courier that
   * is paused while the answer arrives, and resumes after that deadline, cannot know that the
   * answer was written before; it sends the others again.
   *
   * <p>Seen in {@code PausedCourierTest} with pauses of 2.5 s: m9c4-774 was called at 9.643 s and
   * answered at 9.685, the courier was paused from 9.650 to 12.165; it logged {@code
   * shared_call_expired messages=5 answered=true}, and sent the message again at 12.295 s.
   */
  @Test
  void sharedCallReadAfterPauseAndFirstDeadline_mayBeRepeated() {
    sharedCall(1000 * MS, 1040 * MS, 500 * MS);
    ruleChecker.recordCourierPause(1010 * MS, 2000 * MS);
    call(2100 * MS, 2140 * MS, "other", CallResult.DELIVERED);
    assertViolations();
  }

  /**
   * The courier counts a message's time from the earliest moment at which its request may have
   * come. Seen in {@code measure health}, seed 2: m2-34769 was called at 87.690 s and answered at
   * 87.716, the courier was paused from 87.704 to 88.600; {@code shared_call_expired
   * had_us=880017}, so the deadline was at 88.570 for the courier and at 88.767 for its client.
   */
  @Test
  void sharedCallExpiredByCouriersCount_mayBeRepeated() {
    sharedCall(1000 * MS, 1040 * MS, 1400 * MS);
    ruleChecker.recordCourierPause(1010 * MS, 2000 * MS);
    call(2100 * MS, 2140 * MS, "other", CallResult.DELIVERED);
    assertViolations();
  }

  @Test
  void sharedCallUnexpiredOrAnsweredBeforePauseOrUnshared_mayNotBeRepeated() {
    // Its deadline came later after the pause than the request can have lain unread.
    sharedCall(1000 * MS, 1040 * MS, 1401 * MS);
    ruleChecker.recordCourierPause(1010 * MS, 2000 * MS);
    call(2600 * MS, 2640 * MS, "other", CallResult.DELIVERED);
    // The courier was not paused when the answer came.
    sharedCall(3000 * MS, 3040 * MS, 500 * MS);
    ruleChecker.recordCourierPause(3041 * MS, 4000 * MS);
    call(4100 * MS, 4140 * MS, "other", CallResult.DELIVERED);
    // A call with a single message.
    accept(4500 * MS, "alone", "safe");
    call(5000 * MS, 5040 * MS, "alone", CallResult.DELIVERED);
    ruleChecker.recordCourierPause(5010 * MS, 7000 * MS);
    call(7100 * MS, 7140 * MS, "alone", CallResult.DELIVERED);
    assertViolations(Rule.LOST, Rule.LOST, Rule.LOST);
  }

  /** A message whose client timed out may still be in progress. */
  @Test
  void messageOfTimedOutClient_isSettledOnceDeliveredOrItsProcessKilled() {
    ruleChecker.recordSubmitted(0, "a", "safe", 1, null, TIMEOUT);
    assertTrue(ruleChecker.allEnded());
    assertFalse(ruleChecker.allSettled());
    call(10 * MS, 20 * MS, "a", CallResult.DELIVERED);
    assertTrue(ruleChecker.allSettled());
    ruleChecker.recordSubmitted(SECOND, "b", "safe", 1, null, TIMEOUT);
    assertFalse(ruleChecker.allSettled());
    ruleChecker.recordRestart(SECOND + MS, false);
    assertTrue(ruleChecker.allSettled());
    ruleChecker.recordSubmitted(2 * SECOND, "c", "safe", 1, null, TIMEOUT);
    assertFalse(ruleChecker.allSettled());
  }

  /**
   * A test reports a kill before and after the signal, because the process goes on calling until
   * the signal reaches it, and the stand-in reads its last calls later still. With the first report
   * alone such a call counted as the next process's, and its repeat as a fault.
   *
   * <p>Seen in {@code SystemCallFaultsTest#startWaitsForWhatPasses} (write): the kill was reported
   * at 3,038 ms, m6-236 was called at 3,042 and answered at 3,068 ms, while the process was being
   * killed; the next one sent it again at 5,045 ms.
   */
  @Test
  void callReadDuringKill_belongsToKilledProcess() {
    for (final String id : List.of("old", "next")) {
      accept(2000 * MS, id, "safe");
    }
    ruleChecker.recordRestart(3038 * MS, false);
    call(3042 * MS, 3067 * MS, "old", CallResult.DELIVERED);
    ruleChecker.recordRestart(3070 * MS, false);
    call(3071 * MS, 3096 * MS, "next", CallResult.DELIVERED);
    ruleChecker.recordRestart(4900 * MS, true);
    call(5045 * MS, 5070 * MS, "old", CallResult.DELIVERED);
    call(5045 * MS, 5070 * MS, "next", CallResult.DELIVERED);
    assertViolations(Rule.LOST);
  }

  @Test
  void twoDifferentOutcomes_isLost() {
    accept(0, "a", "safe");
    ruleChecker.recordOutcomeNotice(SECOND, "a", true);
    ruleChecker.recordOutcomeNotice(SECOND, "a", true);
    ruleChecker.recordOutcomeNotice(SECOND, "a", false);
    assertViolations(Rule.LOST);
  }

  /**
   * While the journal cannot be written, the outcome of an expired message is reported all the
   * same; after a restart it has no outcome in the journal, which decides it anew. The journal may
   * hold an attempt and not that it never began: deferred, then undeliverable, with a kill between.
   * By the protocol a notice for a completed message does no harm.
   *
   * <p>Seen in {@code SystemCallFaultsTest} (folder that fails amid kills, half written) beside
   * three busy loops on its two cores: m5-2722 was reported deferred at 50.467 s ({@code
   * end_told_unwritten ends=29}, its attempt had been dropped unsent), its process was killed, and
   * the next one, which had dropped an incomplete batch of 348 bytes, reported it undeliverable at
   * 53.381 s.
   */
  @Test
  void deferralReportedUndeliverableAfterRestart_isAllowed() {
    accept(0, "a", "once");
    ruleChecker.recordOutcomeNotice(TIMEOUT + 10 * MS, "a", true);
    ruleChecker.recordRestart(TIMEOUT + 100 * MS, false);
    ruleChecker.recordRestart(TIMEOUT + 900 * MS, true);
    ruleChecker.recordOutcomeNotice(TIMEOUT + 950 * MS, "a", false);
    assertViolations();
  }

  @Test
  void secondOutcomeWithoutKillOrReversedOrBeforeDeadline_isLost() {
    accept(0, "sameProcess", "once");
    accept(0, "otherWay", "once");
    accept(0, "refused", "once");
    ruleChecker.recordSubmitted(0, "early", "once", 1, null, 2 * TIMEOUT);
    ruleChecker.recordAccepted(MS, "early");
    ruleChecker.recordRejected(2 * MS, "refused");
    ruleChecker.recordOutcomeNotice(TIMEOUT + 10 * MS, "otherWay", false);
    ruleChecker.recordOutcomeNotice(TIMEOUT + 10 * MS, "early", true);
    ruleChecker.recordRestart(TIMEOUT + 20 * MS, false);
    ruleChecker.recordOutcomeNotice(TIMEOUT + 30 * MS, "sameProcess", true);
    ruleChecker.recordRestart(TIMEOUT + 40 * MS, true);
    ruleChecker.recordOutcomeNotice(TIMEOUT + 50 * MS, "otherWay", true);
    ruleChecker.recordOutcomeNotice(TIMEOUT + 50 * MS, "early", false);
    ruleChecker.recordOutcomeNotice(TIMEOUT + 50 * MS, "sameProcess", false);
    ruleChecker.recordOutcomeNotice(TIMEOUT + 50 * MS, "refused", false);
    assertViolations(Rule.LOST, Rule.LOST, Rule.LOST, Rule.LOST);
  }

  @Test
  void nonIdempotentMessageThatMayHaveRun_mayNotBeRepeatedOrDeferred() {
    accept(0, "a", "once");
    call(10 * MS, 20 * MS, "a", CallResult.CONNECTION_LOST);
    call(30 * MS, 40 * MS, "a", CallResult.DELIVERED);
    accept(0, "b", "once");
    call(10 * MS, 20 * MS, "b", CallResult.ERROR);
    ruleChecker.recordOutcomeNotice(SECOND, "b", true);
    assertViolations(Rule.DOUBLE, Rule.DOUBLE);
  }

  @Test
  void keyedMessageAfterItsWindow_mayNotBeRepeated() {
    accept(0, "a", "keyed");
    call(10 * MS, 20 * MS, "a", CallResult.CONNECTION_LOST);
    call(1011 * MS, 1020 * MS, "a", CallResult.DELIVERED);
    assertViolations(Rule.DOUBLE);
  }

  @Test
  void twoCopiesInFlight_isDouble() {
    accept(0, "a", "safe");
    ruleChecker.recordCall(10 * MS, "e1", List.of("a"));
    ruleChecker.recordCall(20 * MS, "e1", List.of("a"));
    ruleChecker.recordCallEnd(30 * MS, 10 * MS, "a", CallResult.DELIVERED);
    ruleChecker.recordCallEnd(30 * MS, 20 * MS, "a", CallResult.DELIVERED);
    assertViolations(Rule.DOUBLE);
  }

  /**
   * The courier ends a call and then makes the next one; the two are read in one batch, the next
   * call first.
   */
  @Test
  void endReadInSameBatchAfterNextCall_isNoDouble() {
    accept(0, "a", "safe");
    ruleChecker.recordCall(10 * MS, "e1", List.of("a"));
    ruleChecker.recordCall(20 * MS, "e1", List.of("a"));
    ruleChecker.recordCallEnd(21 * MS, 10 * MS, "a", CallResult.CONNECTION_LOST);
    ruleChecker.recordCallEnd(30 * MS, 20 * MS, "a", CallResult.DELIVERED);
    assertViolations();
  }

  @Test
  void endAfterBatchOrOfSecondCopyOrNonIdempotent_isDouble() {
    for (final String id : List.of("late", "second", "unsafe")) {
      accept(0, id, id.equals("unsafe") ? "once" : "safe");
      ruleChecker.recordCall(10 * MS, "e1", List.of(id));
      ruleChecker.recordCall(20 * MS, "e1", List.of(id));
      ruleChecker.recordCallEnd(
          id.equals("late") ? 26 * MS : 21 * MS,
          id.equals("second") ? 20 * MS : 10 * MS,
          id,
          CallResult.CONNECTION_LOST);
      ruleChecker.recordCallEnd(
          30 * MS, id.equals("second") ? 10 * MS : 20 * MS, id, CallResult.DELIVERED);
    }
    assertViolations(Rule.DOUBLE, Rule.DOUBLE, Rule.DOUBLE);
  }

  @Test
  void callAfterOutcome_isDouble() {
    accept(0, "a", "once");
    ruleChecker.recordOutcomeNotice(SECOND, "a", true);
    call(SECOND + MS, SECOND + 2 * MS, "a", CallResult.DELIVERED);
    assertViolations(Rule.DOUBLE);
  }

  @Test
  void callToDrainingEndpoint_isViolationAfterDrainGraceOnly() {
    accept(0, "a", "safe");
    accept(0, "b", "safe");
    accept(0, "c", "safe");
    ruleChecker.recordDraining(0, "e1");
    call(1900 * MS, 1910 * MS, "a", CallResult.DELIVERED);
    call(2100 * MS, 2110 * MS, "b", CallResult.DELIVERED);
    ruleChecker.recordReady("e1");
    call(2200 * MS, 2210 * MS, "c", CallResult.DELIVERED);
    assertViolations(Rule.DRAIN);
    assertEquals(List.of(1900 * MS, 2100 * MS), ruleChecker.drainLagsUs());
  }

  @Test
  void callDuringRetryAfter_isViolationAfterSlackOnly() {
    accept(0, "a", "safe");
    accept(0, "b", "safe");
    accept(0, "c", "safe");
    ruleChecker.recordRetryAfter(10 * MS, 1, SECOND);
    call(50 * MS, 60 * MS, "a", CallResult.DELIVERED);
    call(500 * MS, 510 * MS, "b", CallResult.DELIVERED);
    call(1011 * MS, 1020 * MS, "c", CallResult.DELIVERED);
    assertViolations(Rule.WAIT);
  }

  @Test
  void overloadedRecoveringDestination_isReportedOnce() {
    ruleChecker.recordRecovery(0, 1, 10, 0.2, 5 * SECOND);
    for (int index = 0; index < 60; index++) {
      accept(0, "m" + index, "safe");
      call(index * 20L * MS, index * 20L * MS + MS, "m" + index, CallResult.DELIVERED);
    }
    assertViolations(Rule.TIPPED);
  }

  @Test
  void gentlyWarmedDestination_hasNoViolation() {
    ruleChecker.recordRecovery(0, 1, 10, 0.2, 5 * SECOND);
    for (int index = 0; index < 40; index++) {
      accept(index * 200L * MS, "m" + index, "safe");
      call(index * 200L * MS, index * 200L * MS + MS, "m" + index, CallResult.DELIVERED);
    }
    assertViolations();
  }

  @Test
  void callOutOfOrderOrDuringSettleDelay_isOrderViolation() {
    accept(0, "a", "line", "k");
    accept(MS, "b", "line", "k");
    accept(MS, "other", "line", "l");
    call(10 * MS, 20 * MS, "other", CallResult.DELIVERED);
    call(30 * MS, 40 * MS, "b", CallResult.REJECTED);
    call(50 * MS, 60 * MS, "a", CallResult.CONNECTION_LOST);
    ruleChecker.recordOutcomeNotice(100 * MS, "a", false);
    call(200 * MS, 210 * MS, "b", CallResult.DELIVERED);
    assertViolations(Rule.ORDER, Rule.ORDER);
  }

  @Test
  void callAfterAnswerThatEndedItsMessage_isViolation() {
    for (final CallResult result : List.of(CallResult.GONE, CallResult.NO_MORE_ATTEMPTS)) {
      accept(0, "m" + result, "safe");
      call(10 * MS, 20 * MS, "m" + result, result);
      call(30 * MS, 40 * MS, "m" + result, result);
    }
    ruleChecker.recordOutcomeNotice(50 * MS, "m" + CallResult.NO_MORE_ATTEMPTS, true);
    assertViolations(Rule.ENDED, Rule.ENDED);
  }

  @Test
  void messageThatIsOver_needsNoOutcomeAndMayHaveOne() {
    accept(0, "m1", "once");
    call(10 * MS, 20 * MS, "m1", CallResult.GONE);
    accept(0, "m2", "once");
    call(10 * MS, 20 * MS, "m2", CallResult.GONE);
    ruleChecker.recordOutcomeNotice(50 * MS, "m2", true);
    assertViolations();
  }

  @Test
  void messageWithoutFurtherAttempts_needsItsOutcome() {
    accept(0, "m1", "safe");
    call(10 * MS, 20 * MS, "m1", CallResult.NO_MORE_ATTEMPTS);
    assertViolations(Rule.LOST);
  }

  @Test
  void callAfterGoneThatKilledProcessMayNotHaveRead_isAllowed() {
    accept(0, "m1", "safe");
    call(10 * MS, 20 * MS, "m1", CallResult.GONE);
    ruleChecker.recordRestart(30 * MS, false);
    ruleChecker.recordRestart(700 * MS, true);
    call(710 * MS, 720 * MS, "m1", CallResult.GONE);
    assertViolations();
  }

  @Test
  void wrongDestinationOrUnknownMessage_isViolation() {
    accept(0, "a", "safe");
    ruleChecker.recordCall(10 * MS, "e2", List.of("a", "unknown"));
    ruleChecker.recordCallEnd(20 * MS, 10 * MS, "a", CallResult.DELIVERED);
    ruleChecker.recordOutcomeNotice(SECOND, "never", true);
    assertViolations(Rule.DESTINATION, Rule.DESTINATION, Rule.LOST);
  }

  private void callOverConnection(
      final long fromUs, final String id, final CallConnection.Side laterSide) {
    ruleChecker.recordCall(fromUs, "e1", List.of(id), () -> laterSide);
  }

  /**
   * Guards against a violation that is reported because a stand-in read the end of the first copy
   * late.
   */
  @Test
  void secondCopyAfterFirstConnectionEnded_isAllowedHoweverLateThatIsRead() {
    accept(0, "a", "safe");
    callOverConnection(10 * MS, "a", CallConnection.Side.ENDED);
    callOverConnection(500 * MS, "a", CallConnection.Side.OPEN);
    ruleChecker.recordCallEnd(600 * MS, 10 * MS, "a", CallResult.CONNECTION_LOST);
    ruleChecker.recordCallEnd(700 * MS, 500 * MS, "a", CallResult.DELIVERED);
    assertViolations();
  }

  @Test
  void secondCopyWhileFirstConnectionIsOpen_isBrokenHoweverSoonItEnds() {
    accept(0, "a", "safe");
    callOverConnection(10 * MS, "a", CallConnection.Side.OPEN);
    callOverConnection(500 * MS, "a", CallConnection.Side.OPEN);
    ruleChecker.recordCallEnd(501 * MS, 10 * MS, "a", CallResult.CONNECTION_LOST);
    ruleChecker.recordCallEnd(700 * MS, 500 * MS, "a", CallResult.DELIVERED);
    assertViolations(Rule.DOUBLE);
  }

  @Test
  void secondCopyOverUnknownConnections_isAllowedWithinOneBatchAlone() {
    accept(0, "a", "safe");
    callOverConnection(10 * MS, "a", CallConnection.Side.UNKNOWN);
    callOverConnection(500 * MS, "a", CallConnection.Side.UNKNOWN);
    ruleChecker.recordCallEnd(505 * MS, 10 * MS, "a", CallResult.CONNECTION_LOST);
    ruleChecker.recordCallEnd(700 * MS, 500 * MS, "a", CallResult.DELIVERED);
    accept(0, "b", "safe");
    callOverConnection(11 * MS, "b", CallConnection.Side.UNKNOWN);
    callOverConnection(500 * MS, "b", CallConnection.Side.UNKNOWN);
    ruleChecker.recordCallEnd(505 * MS + 1, 11 * MS, "b", CallResult.CONNECTION_LOST);
    ruleChecker.recordCallEnd(700 * MS, 500 * MS, "b", CallResult.DELIVERED);
    assertViolations(Rule.DOUBLE);
  }
}
