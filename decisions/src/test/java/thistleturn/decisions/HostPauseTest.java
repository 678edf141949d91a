package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.AttemptResult;

/** Decisions of a courier that did not run for a while: its own lateness is nobody's silence. */
@Tag("health")
final class HostPauseTest {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;
  private static final int SAFE = 0;

  private static int silent(final ScriptedController one) {
    return one.controller.routes().get(0).overdueCalls();
  }

  /** Calls out on one destination, taught what they take; then nothing is heard for so long. */
  private static ScriptedController busy() {
    final ScriptedController one =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    for (int index = 0; index < 80; index++) {
      one.accept("t" + index, SAFE);
      one.advance(50 * MS);
      one.endAttempt("t" + index, AttemptResult.DELIVERED);
    }
    for (int index = 0; index < 4; index++) {
      one.accept("m" + index, SAFE);
    }
    return one;
  }

  private static void resume(final ScriptedController one, final long pauseUs, final boolean told) {
    one.nowUs += pauseUs;
    if (told) {
      one.controller.onHostPaused(one.nowUs, pauseUs);
    }
    one.controller.decide(one.nowUs);
  }

  @Test
  void callsInFlightDuringHostPause_areNotOverdue() {
    final ScriptedController untold = busy();
    resume(untold, 3 * SECOND, false);
    assertTrue(silent(untold) > 0, "without a word its partner is silent");
    final ScriptedController told = busy();
    resume(told, 3 * SECOND, true);
    assertEquals(0, silent(told));
    for (int index = 0; index < 4; index++) {
      if (told.attempts("m" + index) > 0) {
        told.endAttempt("m" + index, AttemptResult.DELIVERED);
      }
    }
    told.accept("next", SAFE);
    assertEquals(1, told.attempts("next"), "as before, at once");
  }

  /**
   * Both are found: the stop, and a partner that fell silent in the same moment, by as much later.
   */
  @Test
  void destinationUnresponsiveDuringHostPause_isStillDetected() {
    final ScriptedController one = busy();
    resume(one, 3 * SECOND, true);
    one.advance(2 * SECOND);
    assertTrue(silent(one) > 0, "not found");
  }

  /** What was not measured is not learnt: windows, times and time-outs are as before. */
  @Test
  void latenciesMeasuredDuringHostPause_areIgnored() {
    final ScriptedController one = busy();
    final double before = one.controller.learnedState().classMeanUs()[SAFE];
    resume(one, 3 * SECOND, true);
    for (int index = 0; index < 4 && one.attempts("m" + index) > 0; index++) {
      one.controller.onOutcome(
          one.nowUs,
          new AttemptOutcome(
              "m" + index,
              AttemptResult.DELIVERED,
              true,
              one.lastCall("m" + index).endpoint(),
              -1,
              0,
              null));
    }
    one.controller.decide(one.nowUs);
    assertEquals(before, one.controller.learnedState().classMeanUs()[SAFE]);
    one.advance(2 * SECOND);
    one.accept("next", SAFE);
    assertTrue(
        one.lastCall("next").timeoutUs() < 3 * SECOND,
        "time-out " + one.lastCall("next").timeoutUs());
  }

  /**
   * The time of messages in flight is up while the courier is stopped. Their responses lie unread
   * when it wakes; it cannot tell when they were written, and counts them as time-outs. These said
   * that the destination was out: it was left with single trials and a ramp, and what had come
   * during the stop expired untried.
   *
   * <p>Seen in {@code PausedCourierTest}, stops of 2.5 s beside three busy loops: {@code
   * shared_call_expired messages=5 had_us=2322643 overdue_us=384515 answered=true}, then {@code
   * attempt_failed result=TIMED_OUT} for each, {@code kept_by="it is out: the next trial goes in 0
   * ms"}, and 40 messages a second instead of 500.
   */
  @Test
  void timeoutsOfMessagesThatExpiredDuringHostPause_sayNothingOfTheDestination() {
    final ScriptedController one = beforeStopWithBriefMessages();
    final double window = one.controller.routes().get(0).window();
    resume(one, 3 * SECOND, true);
    endBriefMessages(one);
    assertEquals("WELL", one.controller.routes().get(0).circuitState());
    assertTrue(one.controller.routes().get(0).window() >= window, "the window has shrunk");
    for (int index = 0; index < 4; index++) {
      one.accept("next" + index, SAFE);
      assertEquals(1, one.attempts("next" + index), "as before, at once");
    }
  }

  /** The same time-outs without a stop: nobody answered, and the destination is out. */
  @Test
  void timeoutsOfMessagesThatExpiredWithoutHostPause_openTheCircuit() {
    final ScriptedController one = beforeStopWithBriefMessages();
    resume(one, 3 * SECOND, false);
    endBriefMessages(one);
    assertEquals("OUT", one.controller.routes().get(0).circuitState());
  }

  /** Who does not answer behind the stop either is found as before. */
  @Test
  void timeoutsOfMessagesThatExpireAfterHostPause_openTheCircuit() {
    final ScriptedController one = beforeStopWithBriefMessages();
    resume(one, SECOND, true);
    one.nowUs += 2 * SECOND;
    endBriefMessages(one);
    assertEquals("OUT", one.controller.routes().get(0).circuitState());
  }

  /** Four messages in flight, each with two seconds left. */
  private static ScriptedController beforeStopWithBriefMessages() {
    final ScriptedController one = cut();
    for (int index = 0; index < 4; index++) {
      one.accept("brief" + index, SAFE, null, 2 * SECOND);
      assertEquals(1, one.attempts("brief" + index));
    }
    return one;
  }

  private static void endBriefMessages(final ScriptedController one) {
    for (int index = 0; index < 4; index++) {
      one.reportOutcome("brief" + index, AttemptResult.TIMED_OUT, 0);
    }
    one.controller.decide(one.nowUs);
  }

  private static ScriptedController cut() {
    final ScriptedController one = busy();
    for (int index = 0; index < 4; index++) {
      if (one.attempts("m" + index) > 0) {
        one.endAttempt("m" + index, AttemptResult.DELIVERED);
      }
    }
    return one;
  }

  /** All calls of a few seconds fail: for want of a way out, or for the destination's outage. */
  private static void fail(final ScriptedController one, final String prefix) {
    for (int index = 0; index < 12; index++) {
      final String id = prefix + index;
      one.accept(id, SAFE);
      if (one.attempts(id) > 0) {
        one.endAttempt(id, AttemptResult.NO_CONNECTION);
      }
      one.advance(200 * MS);
    }
    assertEquals("OUT", one.controller.routes().get(0).circuitState());
  }

  /** Cut off, it had sent everybody out; back, it goes on as before, without a trial or a ramp. */
  @Test
  void circuitOpenedByLostConnectivity_closesAtOnce() {
    final ScriptedController one = cut();
    final long sinceUs = one.nowUs;
    one.advance(10 * MS);
    fail(one, "f");
    one.controller.onConnectivityRestored(one.nowUs, sinceUs);
    one.controller.decide(one.nowUs);
    assertEquals("WELL", one.controller.routes().get(0).circuitState());
    one.advance(SECOND);
    assertTrue(
        one.sentCalls.stream().anyMatch(send -> send.atUs() >= one.nowUs - SECOND), "nothing goes");
  }

  /** A destination whose outage is older than that stays out, and returns by trial and ramp. */
  @Test
  void earlierOutage_outlastsRestoredConnectivity() {
    final ScriptedController one = cut();
    fail(one, "f");
    final long sinceUs = one.nowUs;
    one.advance(SECOND);
    one.controller.onConnectivityRestored(one.nowUs, sinceUs);
    one.controller.decide(one.nowUs);
    assertEquals("OUT", one.controller.routes().get(0).circuitState());
  }

  /**
   * Late, it ends what waits and is out of time before it reads anything; what is out may have its
   * answer lying there.
   */
  @Test
  void expiredMessages_endBeforeDecisionRound() {
    final ScriptedController one =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    for (int index = 0; index < 5; index++) {
      one.accept("m" + index, SAFE, null, SECOND);
    }
    final long out = one.sentCalls.size();
    assertTrue(out > 0 && out < 5, "out: " + out);
    // The process stands still: nobody calls.
    one.nowUs += 3 * SECOND;
    one.controller.onDecisionsDelayed(one.nowUs);
    assertEquals(5 - out, one.shedMessages.size());
    assertTrue(
        one.sentCalls.stream().noneMatch(send -> one.shedMessages.contains(send.id())),
        "one whose call is out");
    one.controller.onDecisionsDelayed(one.nowUs);
    assertEquals(5 - out, one.shedMessages.size(), "each has one end");
    assertEquals(out, one.sentCalls.size(), "nothing is sent by it");
  }
}
