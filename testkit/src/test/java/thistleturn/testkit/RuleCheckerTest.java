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
 * Scripted traces of good and broken couriers: each rule is caught, and nothing is that is none.
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

  private final RuleChecker auditor = new RuleChecker(RuleChecker.Tolerances.standard(), CLASSES);

  @BeforeEach
  void endpoints() {
    auditor.registerEndpoint("e1", 1);
    auditor.registerEndpoint("e2", 2);
  }

  private void take(final long atUs, final String id, final String kind) {
    take(atUs, id, kind, null);
  }

  private void take(final long atUs, final String id, final String kind, final String key) {
    auditor.recordSubmitted(atUs, id, kind, 1, key, TIMEOUT);
    auditor.recordAccepted(atUs + MS, id);
  }

  private void call(final long fromUs, final long toUs, final String id, final CallResult end) {
    auditor.recordCall(fromUs, "e1", List.of(id));
    auditor.recordCallEnd(toUs, fromUs, id, end);
  }

  private void assertBroken(final Rule... rules) {
    assertEquals(
        List.of(rules),
        auditor.finish(100 * SECOND).stream().map(Violation::rule).collect(Collectors.toList()),
        auditor.finish(100 * SECOND).toString());
  }

  @Test
  void aGoodCourierBreaksNothing() {
    take(0, "a", "safe");
    call(10 * MS, 500 * MS, "a", CallResult.CONNECTION_LOST);
    call(600 * MS, 700 * MS, "a", CallResult.DELIVERED);
    take(0, "b", "keyed");
    call(10 * MS, 20 * MS, "b", CallResult.ERROR);
    call(900 * MS, 950 * MS, "b", CallResult.DELIVERED);
    take(0, "c", "once");
    call(10 * MS, 20 * MS, "c", CallResult.REJECTED);
    call(30 * MS, 40 * MS, "c", CallResult.CONNECTION_LOST);
    auditor.recordOutcomeNotice(TIMEOUT, "c", false);
    take(0, "d", "once");
    auditor.recordOutcomeNotice(TIMEOUT + 299 * MS, "d", true);
    auditor.recordSubmitted(0, "e", "once", 1, null, TIMEOUT);
    auditor.recordRejected(MS, "e");
    assertBroken();
  }

  @Test
  void aMessageThatNeverEndsIsLost() {
    take(0, "a", "safe");
    assertBroken(Rule.LOST);
  }

  @Test
  void anEndThatIsTooLateIsALoss() {
    take(0, "a", "safe");
    auditor.recordOutcomeNotice(TIMEOUT + 301 * MS, "a", true);
    assertBroken(Rule.LOST);
  }

  /**
   * A judge that stood still saw an end late by that much, and by no more: two of its loops at once
   * count once.
   */
  @Test
  void whatTheJudgeSawLateByItsOwnFaultIsNotTheCouriers() {
    take(0, "a", "safe");
    take(0, "b", "safe");
    take(0, "c", "safe");
    auditor.recordOutcomeNotice(TIMEOUT + 900 * MS, "a", true);
    auditor.recordCheckerPause(TIMEOUT + 200 * MS, TIMEOUT + 850 * MS);
    auditor.recordCheckerPause(TIMEOUT + 250 * MS, TIMEOUT + 840 * MS);
    auditor.recordOutcomeNotice(TIMEOUT + 1000 * MS, "b", true);
    // What it was away for before the message's time, or after it saw the end, excuses nothing.
    auditor.recordCheckerPause(TIMEOUT - SECOND, TIMEOUT);
    auditor.recordCheckerPause(TIMEOUT + 1200 * MS, TIMEOUT + 3 * SECOND);
    auditor.recordOutcomeNotice(TIMEOUT + 1100 * MS, "c", true);
    final List<Violation> broken = auditor.finish(10 * SECOND);
    assertEquals(
        List.of(Rule.LOST, Rule.LOST),
        broken.stream().map(Violation::rule).toList(),
        broken.toString());
    assertTrue(
        broken.get(0).toString().contains("b (safe)")
            && broken.get(0).toString().contains("50 ms of it"),
        broken.toString());
  }

  @Test
  void aRestartExcusesLateEndsForAWhileOnly() {
    take(0, "a", "safe");
    take(0, "b", "safe");
    auditor.recordRestart(SECOND, false);
    auditor.recordRestart(3 * SECOND, true);
    auditor.recordOutcomeNotice(4 * SECOND, "a", true);
    auditor.recordOutcomeNotice(5 * SECOND, "b", true);
    assertBroken(Rule.LOST);
  }

  /**
   * The next process tells ends before it is ready: from the end of the one before no notice is
   * overdue.
   */
  @Test
  void aRestartExcusesLateEndsBeforeItIsReadyToo() {
    take(0, "a", "safe");
    auditor.recordRestart(SECOND, false);
    auditor.recordOutcomeNotice(TIMEOUT + 2 * SECOND, "a", true);
    auditor.recordRestart(TIMEOUT + 3 * SECOND, true);
    assertBroken();
  }

  @Test
  void aRestartExcusesNothingThatWasOverdueBefore() {
    take(0, "a", "safe");
    auditor.recordRestart(TIMEOUT + SECOND, false);
    auditor.recordOutcomeNotice(TIMEOUT + 2 * SECOND, "a", true);
    auditor.recordRestart(TIMEOUT + 3 * SECOND, true);
    assertBroken(Rule.LOST);
  }

  /**
   * Two restarts in a row, the second one within the time that the first one excuses: from the
   * first kill until a while after the last start no end is late. The last restart alone was known
   * here.
   *
   * <p>Traced in {@code SystemCallFaultsTest} (folder that fails amid kills) beside four busy
   * loops: m5-2 had its time until 5.43 s; kills at 3.5 and 6.7 s, ready at 6.3 and 9.6; the second
   * process ended it at 6.2 s and was killed 0.5 s later, the third one told the platform at 9.416
   * s.
   */
  @Test
  void restartsInARowExcuseLateEndsAllTheWay() {
    take(0, "a", "safe");
    auditor.recordRestart(TIMEOUT - SECOND, false);
    auditor.recordRestart(TIMEOUT + SECOND, true);
    auditor.recordRestart(TIMEOUT + 2 * SECOND, false);
    auditor.recordRestart(TIMEOUT + 3 * SECOND, true);
    auditor.recordOutcomeNotice(TIMEOUT + 4 * SECOND, "a", true);
    assertBroken();
  }

  @Test
  void aRestartAfterTheExcuseOfTheOneBeforeHasRunOutExcusesNothing() {
    take(0, "a", "safe");
    auditor.recordRestart(TIMEOUT - SECOND, false);
    auditor.recordRestart(TIMEOUT + SECOND, true);
    auditor.recordRestart(TIMEOUT + 2501 * MS, false);
    auditor.recordRestart(TIMEOUT + 3 * SECOND, true);
    auditor.recordOutcomeNotice(TIMEOUT + 3 * SECOND, "a", true);
    assertBroken(Rule.LOST);
  }

  @Test
  void afterAKillWhatMayBeRepeatedGoesOnceMoreAndNothingElse() {
    for (final String kind : List.of("safe", "keyed", "once")) {
      take(0, kind, kind);
      call(10 * MS, 90 * MS, kind, CallResult.DELIVERED);
    }
    take(0, "late", "keyed");
    call(10 * MS, 90 * MS, "late", CallResult.DELIVERED);
    auditor.recordRestart(100 * MS, false);
    auditor.recordRestart(500 * MS, true);
    for (final String kind : List.of("safe", "keyed", "once")) {
      call(600 * MS, 610 * MS, kind, CallResult.DELIVERED);
    }
    call(1020 * MS, 1030 * MS, "late", CallResult.DELIVERED);
    assertBroken(Rule.DOUBLE, Rule.DOUBLE);
  }

  /**
   * The call was out when the process ended, and its answer was written to nobody a moment later.
   */
  @Test
  void anAnswerWrittenAfterAKillToACallOfBeforeIsNotRead() {
    take(0, "a", "safe");
    take(0, "b", "safe");
    auditor.recordRestart(50 * MS, false);
    call(10 * MS, 52 * MS, "a", CallResult.DELIVERED);
    auditor.recordRestart(200 * MS, true);
    call(300 * MS, 310 * MS, "a", CallResult.DELIVERED);
    // But what the next process was told, it knows.
    call(300 * MS, 310 * MS, "b", CallResult.DELIVERED);
    call(400 * MS, 410 * MS, "b", CallResult.DELIVERED);
    assertBroken(Rule.LOST);
  }

  /**
   * Two kills in a row. What the first process was answered it never read, and the second one was
   * killed before it came to the message; the third one sends it again. Only the last kill was
   * known here, 1.24 s after the answer, and the repeat counted as a fault.
   *
   * <p>Traced in {@code SystemCallFaultsTest} (folder that fails amid kills): a call at 4,486 ms
   * was answered at 4,511; kills at 4,506 and 5,746; ready at 6,746, sent again at 7,000.
   */
  @Test
  void anAnswerThatWasNotReadBeforeTheFirstOfTwoKillsMayBeRepeatedAfterTheSecond() {
    take(4400 * MS, "a", "safe");
    take(4400 * MS, "once", "once");
    auditor.recordRestart(4506 * MS, false);
    call(4486 * MS, 4511 * MS, "a", CallResult.DELIVERED);
    call(4486 * MS, 4511 * MS, "once", CallResult.DELIVERED);
    auditor.recordRestart(5000 * MS, true);
    auditor.recordRestart(5746 * MS, false);
    auditor.recordRestart(6746 * MS, true);
    call(7000 * MS, 7025 * MS, "a", CallResult.DELIVERED);
    call(7000 * MS, 7025 * MS, "once", CallResult.DELIVERED);
    assertBroken(Rule.DOUBLE);
  }

  /** Whatever kill it is judged by: an answer that had time to be read was read. */
  @Test
  void anAnswerThatWasReadBeforeItsProcessEndedIsNoExcuseAfterTwoKills() {
    take(0, "a", "safe");
    call(10 * MS, 35 * MS, "a", CallResult.DELIVERED);
    auditor.recordRestart(1036 * MS, false);
    auditor.recordRestart(1200 * MS, true);
    auditor.recordRestart(1300 * MS, false);
    auditor.recordRestart(1400 * MS, true);
    call(1500 * MS, 1525 * MS, "a", CallResult.DELIVERED);
    assertBroken(Rule.LOST);
  }

  /** The second process sent it again and read the answer: the third one knows of that. */
  @Test
  void whatWasRepeatedAndReadIsNotRepeatedOnceMore() {
    take(0, "a", "safe");
    take(0, "b", "safe");
    call(80 * MS, 95 * MS, "a", CallResult.DELIVERED);
    call(80 * MS, 95 * MS, "b", CallResult.DELIVERED);
    auditor.recordRestart(100 * MS, false);
    auditor.recordRestart(200 * MS, true);
    call(210 * MS, 235 * MS, "a", CallResult.DELIVERED);
    call(210 * MS, 235 * MS, "b", CallResult.DELIVERED);
    // The same process again, and another one after more than a second.
    call(300 * MS, 325 * MS, "a", CallResult.DELIVERED);
    auditor.recordRestart(1240 * MS, false);
    auditor.recordRestart(1300 * MS, true);
    call(1400 * MS, 1425 * MS, "b", CallResult.DELIVERED);
    assertBroken(Rule.LOST, Rule.LOST);
  }

  /** A call of two messages, the first of which has so much time left when it begins. */
  private void sharedCall(final long fromUs, final long answeredUs, final long firstHasUs) {
    auditor.recordSubmitted(0, "first", "safe", 1, null, fromUs + firstHasUs);
    auditor.recordSubmitted(0, "other", "safe", 1, null, 10 * SECOND);
    auditor.recordCall(fromUs, "e1", List.of("first", "other"));
    auditor.recordCallEnd(answeredUs, fromUs, "first", CallResult.DELIVERED);
    auditor.recordCallEnd(answeredUs, fromUs, "other", CallResult.DELIVERED);
  }

  /**
   * A call with several messages is over for all of them with the time of the first. A courier that
   * is stopped while the answer comes, and wakes after that time, cannot know that it was written
   * before; the others go again.
   *
   * <p>Traced in {@code PausedCourierTest} with stops of 2.5 s: m9c4-774 was called at 9.643 s and
   * answered at 9.685, the courier stopped from 9.650 to 12.165; its log told {@code
   * shared_call_expired messages=5 answered=true}, and it went again at 12.295 s.
   */
  @Test
  void anAnswerReadAfterAStopAndAfterTheTimeOfTheFirstOfItsCallMayBeRepeated() {
    sharedCall(1000 * MS, 1040 * MS, 500 * MS);
    auditor.recordCourierPause(1010 * MS, 2000 * MS);
    call(2100 * MS, 2140 * MS, "other", CallResult.DELIVERED);
    assertBroken();
  }

  /**
   * The courier counts a message's time from when its request may have come at the earliest. Traced
   * in {@code measure health}, seed 2: m2-34769 was called at 87.690 s and answered at 87.716, the
   * courier stopped from 87.704 to 88.600; {@code shared_call_expired had_us=880017}, so the time
   * was up at 88.570 for the courier and at 88.767 for its client.
   */
  @Test
  void anAnswerReadAfterAStopMayBeRepeatedIfTheFirstOfItsCallWasOverByTheCouriersReckoning() {
    sharedCall(1000 * MS, 1040 * MS, 1400 * MS);
    auditor.recordCourierPause(1010 * MS, 2000 * MS);
    call(2100 * MS, 2140 * MS, "other", CallResult.DELIVERED);
    assertBroken();
  }

  @Test
  void aRepeatIsCaughtIfTheFirstOfItsCallHadTimeLeftOrTheAnswerCameBeforeTheStopOrToOneAlone() {
    // Its time was up later after the stop than the request can have lain unread.
    sharedCall(1000 * MS, 1040 * MS, 1401 * MS);
    auditor.recordCourierPause(1010 * MS, 2000 * MS);
    call(2600 * MS, 2640 * MS, "other", CallResult.DELIVERED);
    // Nobody was stopped when the answer came.
    sharedCall(3000 * MS, 3040 * MS, 500 * MS);
    auditor.recordCourierPause(3041 * MS, 4000 * MS);
    call(4100 * MS, 4140 * MS, "other", CallResult.DELIVERED);
    // One message in its call.
    take(4500 * MS, "alone", "safe");
    call(5000 * MS, 5040 * MS, "alone", CallResult.DELIVERED);
    auditor.recordCourierPause(5010 * MS, 7000 * MS);
    call(7100 * MS, 7140 * MS, "alone", CallResult.DELIVERED);
    assertBroken(Rule.LOST, Rule.LOST, Rule.LOST);
  }

  /** Who gave up waiting for an answer has a message under way all the same. */
  @Test
  void aMessageWhoseClientGaveUpIsSettledOnceItIsDeliveredOrItsProcessIsGone() {
    auditor.recordSubmitted(0, "a", "safe", 1, null, TIMEOUT);
    assertTrue(auditor.allEnded());
    assertFalse(auditor.allSettled());
    call(10 * MS, 20 * MS, "a", CallResult.DELIVERED);
    assertTrue(auditor.allSettled());
    auditor.recordSubmitted(SECOND, "b", "safe", 1, null, TIMEOUT);
    assertFalse(auditor.allSettled());
    auditor.recordRestart(SECOND + MS, false);
    assertTrue(auditor.allSettled());
    auditor.recordSubmitted(2 * SECOND, "c", "safe", 1, null, TIMEOUT);
    assertFalse(auditor.allSettled());
  }

  /**
   * Whoever kills a process tells so before and after, since it goes on calling until the signal
   * reaches it, and the stand-in reads its last calls later still. With the first mark alone such a
   * call counted as the next process's, and its repeat as a fault.
   *
   * <p>Traced in {@code SystemCallFaultsTest#startWaitsForWhatPasses} (write): the kill was marked
   * at 3,038 ms, m6-236 was called at 3,042 and answered at 3,068 ms, while the process was being
   * ended; the next one sent it again at 5,045 ms.
   */
  @Test
  void aCallReadWhileItsProcessIsBeingKilledIsThatProcesss() {
    for (final String id : List.of("old", "next")) {
      take(2000 * MS, id, "safe");
    }
    auditor.recordRestart(3038 * MS, false);
    call(3042 * MS, 3067 * MS, "old", CallResult.DELIVERED);
    auditor.recordRestart(3070 * MS, false);
    call(3071 * MS, 3096 * MS, "next", CallResult.DELIVERED);
    auditor.recordRestart(4900 * MS, true);
    call(5045 * MS, 5070 * MS, "old", CallResult.DELIVERED);
    call(5045 * MS, 5070 * MS, "next", CallResult.DELIVERED);
    assertBroken(Rule.LOST);
  }

  @Test
  void twoDifferentEndsAreCaught() {
    take(0, "a", "safe");
    auditor.recordOutcomeNotice(SECOND, "a", true);
    auditor.recordOutcomeNotice(SECOND, "a", true);
    auditor.recordOutcomeNotice(SECOND, "a", false);
    assertBroken(Rule.LOST);
  }

  /**
   * While the journal cannot be written, the end of a message whose time is up is told all the
   * same; a restart finds it without an end, and ends it by what the journal has. That one may know
   * of an attempt and not of its never having begun: deferred, then undeliverable, with a kill
   * between. The protocol: a notice for a message that is over does no harm.
   *
   * <p>Traced in {@code SystemCallFaultsTest} (folder that fails amid kills, half written) beside
   * three busy loops on its two cores: m5-2722 was told deferred at 50.467 s ({@code
   * end_told_unwritten ends=29}, its attempt had been dropped unsent), its process killed, and the
   * next one, which had dropped an incomplete batch of 348 bytes, told it undeliverable at 53.381
   * s.
   */
  @Test
  void aDeferralThatARestartTellsAsUndeliverableDoesNoHarm() {
    take(0, "a", "once");
    auditor.recordOutcomeNotice(TIMEOUT + 10 * MS, "a", true);
    auditor.recordRestart(TIMEOUT + 100 * MS, false);
    auditor.recordRestart(TIMEOUT + 900 * MS, true);
    auditor.recordOutcomeNotice(TIMEOUT + 950 * MS, "a", false);
    assertBroken();
  }

  @Test
  void aSecondEndIsCaughtWithoutAKillBetweenOrTheOtherWayRoundOrBeforeItsTime() {
    take(0, "sameProcess", "once");
    take(0, "otherWay", "once");
    take(0, "refused", "once");
    auditor.recordSubmitted(0, "early", "once", 1, null, 2 * TIMEOUT);
    auditor.recordAccepted(MS, "early");
    auditor.recordRejected(2 * MS, "refused");
    auditor.recordOutcomeNotice(TIMEOUT + 10 * MS, "otherWay", false);
    auditor.recordOutcomeNotice(TIMEOUT + 10 * MS, "early", true);
    auditor.recordRestart(TIMEOUT + 20 * MS, false);
    auditor.recordOutcomeNotice(TIMEOUT + 30 * MS, "sameProcess", true);
    auditor.recordRestart(TIMEOUT + 40 * MS, true);
    auditor.recordOutcomeNotice(TIMEOUT + 50 * MS, "otherWay", true);
    auditor.recordOutcomeNotice(TIMEOUT + 50 * MS, "early", false);
    auditor.recordOutcomeNotice(TIMEOUT + 50 * MS, "sameProcess", false);
    auditor.recordOutcomeNotice(TIMEOUT + 50 * MS, "refused", false);
    assertBroken(Rule.LOST, Rule.LOST, Rule.LOST, Rule.LOST);
  }

  @Test
  void anUnsafeMessageThatMayHaveRunGoesNeverAgainAndIsNotRefused() {
    take(0, "a", "once");
    call(10 * MS, 20 * MS, "a", CallResult.CONNECTION_LOST);
    call(30 * MS, 40 * MS, "a", CallResult.DELIVERED);
    take(0, "b", "once");
    call(10 * MS, 20 * MS, "b", CallResult.ERROR);
    auditor.recordOutcomeNotice(SECOND, "b", true);
    assertBroken(Rule.DOUBLE, Rule.DOUBLE);
  }

  @Test
  void aKeyedMessageGoesAgainOnlyWhileItsKeyIsKept() {
    take(0, "a", "keyed");
    call(10 * MS, 20 * MS, "a", CallResult.CONNECTION_LOST);
    call(1011 * MS, 1020 * MS, "a", CallResult.DELIVERED);
    assertBroken(Rule.DOUBLE);
  }

  @Test
  void twoCopiesOutAreCaught() {
    take(0, "a", "safe");
    auditor.recordCall(10 * MS, "e1", List.of("a"));
    auditor.recordCall(20 * MS, "e1", List.of("a"));
    auditor.recordCallEnd(30 * MS, 10 * MS, "a", CallResult.DELIVERED);
    auditor.recordCallEnd(30 * MS, 20 * MS, "a", CallResult.DELIVERED);
    assertBroken(Rule.DOUBLE);
  }

  /**
   * The courier ends a call and then makes the next one; the two are read in one batch, the next
   * one first.
   */
  @Test
  void anEndThatIsReadRightAfterTheNextBeginningIsNoDouble() {
    take(0, "a", "safe");
    auditor.recordCall(10 * MS, "e1", List.of("a"));
    auditor.recordCall(20 * MS, "e1", List.of("a"));
    auditor.recordCallEnd(21 * MS, 10 * MS, "a", CallResult.CONNECTION_LOST);
    auditor.recordCallEnd(30 * MS, 20 * MS, "a", CallResult.DELIVERED);
    assertBroken();
  }

  @Test
  void anEndThatComesLaterOrOfTheSecondCopyOrOfAnUnsafeOneIsADouble() {
    for (final String id : List.of("late", "second", "unsafe")) {
      take(0, id, id.equals("unsafe") ? "once" : "safe");
      auditor.recordCall(10 * MS, "e1", List.of(id));
      auditor.recordCall(20 * MS, "e1", List.of(id));
      auditor.recordCallEnd(
          id.equals("late") ? 26 * MS : 21 * MS,
          id.equals("second") ? 20 * MS : 10 * MS,
          id,
          CallResult.CONNECTION_LOST);
      auditor.recordCallEnd(
          30 * MS, id.equals("second") ? 10 * MS : 20 * MS, id, CallResult.DELIVERED);
    }
    assertBroken(Rule.DOUBLE, Rule.DOUBLE, Rule.DOUBLE);
  }

  @Test
  void aSendAfterTheEndIsCaught() {
    take(0, "a", "once");
    auditor.recordOutcomeNotice(SECOND, "a", true);
    call(SECOND + MS, SECOND + 2 * MS, "a", CallResult.DELIVERED);
    assertBroken(Rule.DOUBLE);
  }

  @Test
  void drainsAreKeptAfterTwoSecondsNotBefore() {
    take(0, "a", "safe");
    take(0, "b", "safe");
    take(0, "c", "safe");
    auditor.recordDraining(0, "e1");
    call(1900 * MS, 1910 * MS, "a", CallResult.DELIVERED);
    call(2100 * MS, 2110 * MS, "b", CallResult.DELIVERED);
    auditor.recordReady("e1");
    call(2200 * MS, 2210 * MS, "c", CallResult.DELIVERED);
    assertBroken(Rule.DRAIN);
    assertEquals(List.of(1900 * MS, 2100 * MS), auditor.drainLagsUs());
  }

  @Test
  void waitsBindTheDestinationOnceTheyAreRead() {
    take(0, "a", "safe");
    take(0, "b", "safe");
    take(0, "c", "safe");
    auditor.recordRetryAfter(10 * MS, 1, SECOND);
    call(50 * MS, 60 * MS, "a", CallResult.DELIVERED);
    call(500 * MS, 510 * MS, "b", CallResult.DELIVERED);
    call(1011 * MS, 1020 * MS, "c", CallResult.DELIVERED);
    assertBroken(Rule.WAIT);
  }

  @Test
  void aReturningDestinationThatIsFloodedIsCaughtOnce() {
    auditor.recordRecovery(0, 1, 10, 0.2, 5 * SECOND);
    for (int index = 0; index < 60; index++) {
      take(0, "m" + index, "safe");
      call(index * 20L * MS, index * 20L * MS + MS, "m" + index, CallResult.DELIVERED);
    }
    assertBroken(Rule.TIPPED);
  }

  @Test
  void oneThatIsWarmedUpGentlyIsNot() {
    auditor.recordRecovery(0, 1, 10, 0.2, 5 * SECOND);
    for (int index = 0; index < 40; index++) {
      take(index * 200L * MS, "m" + index, "safe");
      call(index * 200L * MS, index * 200L * MS + MS, "m" + index, CallResult.DELIVERED);
    }
    assertBroken();
  }

  @Test
  void orderIsKeptWithinAKeyAndTheKeyRests() {
    take(0, "a", "line", "k");
    take(MS, "b", "line", "k");
    take(MS, "other", "line", "l");
    call(10 * MS, 20 * MS, "other", CallResult.DELIVERED);
    call(30 * MS, 40 * MS, "b", CallResult.REJECTED);
    call(50 * MS, 60 * MS, "a", CallResult.CONNECTION_LOST);
    auditor.recordOutcomeNotice(100 * MS, "a", false);
    call(200 * MS, 210 * MS, "b", CallResult.DELIVERED);
    assertBroken(Rule.ORDER, Rule.ORDER);
  }

  @Test
  void aMessageForAnotherDestinationAndOneThatNobodyHandedInAreCaught() {
    take(0, "a", "safe");
    auditor.recordCall(10 * MS, "e2", List.of("a", "unknown"));
    auditor.recordCallEnd(20 * MS, 10 * MS, "a", CallResult.DELIVERED);
    auditor.recordOutcomeNotice(SECOND, "never", true);
    assertBroken(Rule.DESTINATION, Rule.DESTINATION, Rule.LOST);
  }

  private void callOver(final long fromUs, final String id, final CallConnection.Side laterSide) {
    auditor.recordCall(fromUs, "e1", List.of(id), () -> laterSide);
  }

  /** Guards against a verdict on a stand-in that read the first copy's end late. */
  @Test
  void secondCopyAfterFirstConnectionEnded_isAllowedHoweverLateThatIsRead() {
    take(0, "a", "safe");
    callOver(10 * MS, "a", CallConnection.Side.ENDED);
    callOver(500 * MS, "a", CallConnection.Side.OPEN);
    auditor.recordCallEnd(600 * MS, 10 * MS, "a", CallResult.CONNECTION_LOST);
    auditor.recordCallEnd(700 * MS, 500 * MS, "a", CallResult.DELIVERED);
    assertBroken();
  }

  @Test
  void secondCopyWhileFirstConnectionIsOpen_isBrokenHoweverSoonItEnds() {
    take(0, "a", "safe");
    callOver(10 * MS, "a", CallConnection.Side.OPEN);
    callOver(500 * MS, "a", CallConnection.Side.OPEN);
    auditor.recordCallEnd(501 * MS, 10 * MS, "a", CallResult.CONNECTION_LOST);
    auditor.recordCallEnd(700 * MS, 500 * MS, "a", CallResult.DELIVERED);
    assertBroken(Rule.DOUBLE);
  }

  @Test
  void secondCopyOverUnknownConnections_isAllowedWithinOneBatchAlone() {
    take(0, "a", "safe");
    callOver(10 * MS, "a", CallConnection.Side.UNKNOWN);
    callOver(500 * MS, "a", CallConnection.Side.UNKNOWN);
    auditor.recordCallEnd(505 * MS, 10 * MS, "a", CallResult.CONNECTION_LOST);
    auditor.recordCallEnd(700 * MS, 500 * MS, "a", CallResult.DELIVERED);
    take(0, "b", "safe");
    callOver(11 * MS, "b", CallConnection.Side.UNKNOWN);
    callOver(500 * MS, "b", CallConnection.Side.UNKNOWN);
    auditor.recordCallEnd(505 * MS + 1, 11 * MS, "b", CallResult.CONNECTION_LOST);
    auditor.recordCallEnd(700 * MS, 500 * MS, "b", CallResult.DELIVERED);
    assertBroken(Rule.DOUBLE);
  }
}
