package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.AttemptResult;

/**
 * Decisions of a courier whose process was paused: its own lateness is not evidence against
 * endpoints.
 */
@Tag("health")
final class HostPauseTest {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;
  private static final int SAFE = 0;

  private static int overdueCalls(final ScriptedController scripted) {
    return scripted.controller.routes().get(0).overdueCalls();
  }

  /**
   * Returns a courier that has learned the latency of one destination and has calls in flight to
   * it.
   */
  private static ScriptedController withCallsInFlight() {
    final ScriptedController scripted =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    for (int index = 0; index < 80; index++) {
      scripted.accept("t" + index, SAFE);
      scripted.advance(50 * MS);
      scripted.endAttempt("t" + index, AttemptResult.DELIVERED);
    }
    for (int index = 0; index < 4; index++) {
      scripted.accept("m" + index, SAFE);
    }
    return scripted;
  }

  private static void resume(
      final ScriptedController scripted, final long pauseUs, final boolean reported) {
    scripted.nowUs += pauseUs;
    if (reported) {
      scripted.controller.onHostPaused(scripted.nowUs, pauseUs);
    }
    scripted.controller.decide(scripted.nowUs);
  }

  @Test
  void callsInFlightDuringHostPause_areNotOverdue() {
    final ScriptedController unreported = withCallsInFlight();
    resume(unreported, 3 * SECOND, false);
    assertTrue(overdueCalls(unreported) > 0, "after an unreported pause calls are overdue");
    final ScriptedController reported = withCallsInFlight();
    resume(reported, 3 * SECOND, true);
    assertEquals(0, overdueCalls(reported));
    for (int index = 0; index < 4; index++) {
      if (reported.attempts("m" + index) > 0) {
        reported.endAttempt("m" + index, AttemptResult.DELIVERED);
      }
    }
    reported.accept("next", SAFE);
    assertEquals(1, reported.attempts("next"), "sent at once, as before the pause");
  }

  /**
   * A destination that becomes unresponsive at the start of a pause is detected too, later by the
   * length of the pause.
   */
  @Test
  void destinationUnresponsiveDuringHostPause_isStillDetected() {
    final ScriptedController scripted = withCallsInFlight();
    resume(scripted, 3 * SECOND, true);
    scripted.advance(2 * SECOND);
    assertTrue(overdueCalls(scripted) > 0, "unresponsive destination not detected");
  }

  /**
   * Durations that were not measured are not learned: latencies and time-outs are as before the
   * pause.
   */
  @Test
  void latenciesMeasuredDuringHostPause_areIgnored() {
    final ScriptedController scripted = withCallsInFlight();
    final double before = scripted.controller.learnedState().classMeanUs()[SAFE];
    resume(scripted, 3 * SECOND, true);
    for (int index = 0; index < 4 && scripted.attempts("m" + index) > 0; index++) {
      scripted.controller.onOutcome(
          scripted.nowUs,
          new AttemptOutcome(
              "m" + index,
              AttemptResult.DELIVERED,
              true,
              scripted.lastCall("m" + index).endpoint(),
              -1,
              0,
              null));
    }
    scripted.controller.decide(scripted.nowUs);
    assertEquals(before, scripted.controller.learnedState().classMeanUs()[SAFE]);
    scripted.advance(2 * SECOND);
    scripted.accept("next", SAFE);
    assertTrue(
        scripted.lastCall("next").timeoutUs() < 3 * SECOND,
        "time-out " + scripted.lastCall("next").timeoutUs());
  }

  /**
   * Messages in flight expire while the courier is paused. Their responses are unread when it
   * resumes; it cannot know when they were written, and counts them as time-outs. These opened the
   * circuit: the destination got only single trials and then paced calls, and the messages that had
   * arrived during the pause expired unsent.
   *
   * <p>Seen in {@code PausedCourierTest}, pauses of 2.5 s beside three busy loops: {@code
   * shared_call_expired messages=5 had_us=2322643 overdue_us=384515 answered=true}, then {@code
   * attempt_failed result=TIMED_OUT} for each, {@code kept_by="it is out: the next trial goes in 0
   * ms"}, and 40 messages a second instead of 500.
   */
  @Test
  void timeoutsOfMessagesThatExpiredDuringHostPause_doNotOpenTheCircuit() {
    final ScriptedController scripted = beforePauseWithBriefMessages();
    final double window = scripted.controller.routes().get(0).window();
    resume(scripted, 3 * SECOND, true);
    endBriefMessages(scripted);
    assertEquals("WELL", scripted.controller.routes().get(0).circuitState());
    assertTrue(scripted.controller.routes().get(0).window() >= window, "the window has shrunk");
    for (int index = 0; index < 4; index++) {
      scripted.accept("next" + index, SAFE);
      assertEquals(1, scripted.attempts("next" + index), "sent at once, as before the pause");
    }
  }

  /** The same time-outs without a pause are an outage of the destination. */
  @Test
  void timeoutsOfMessagesThatExpiredWithoutHostPause_openTheCircuit() {
    final ScriptedController scripted = beforePauseWithBriefMessages();
    resume(scripted, 3 * SECOND, false);
    endBriefMessages(scripted);
    assertEquals("OUT", scripted.controller.routes().get(0).circuitState());
  }

  /** A destination that does not respond after the pause either is detected as before. */
  @Test
  void timeoutsOfMessagesThatExpireAfterHostPause_openTheCircuit() {
    final ScriptedController scripted = beforePauseWithBriefMessages();
    resume(scripted, SECOND, true);
    scripted.nowUs += 2 * SECOND;
    endBriefMessages(scripted);
    assertEquals("OUT", scripted.controller.routes().get(0).circuitState());
  }

  /** Returns a courier with four messages in flight, each with two seconds left. */
  private static ScriptedController beforePauseWithBriefMessages() {
    final ScriptedController scripted = idle();
    for (int index = 0; index < 4; index++) {
      scripted.accept("brief" + index, SAFE, null, 2 * SECOND);
      assertEquals(1, scripted.attempts("brief" + index));
    }
    return scripted;
  }

  private static void endBriefMessages(final ScriptedController scripted) {
    for (int index = 0; index < 4; index++) {
      scripted.reportOutcome("brief" + index, AttemptResult.TIMED_OUT, 0);
    }
    scripted.controller.decide(scripted.nowUs);
  }

  /**
   * Returns a courier that has learned the latency of one destination and has no calls in flight.
   */
  private static ScriptedController idle() {
    final ScriptedController scripted = withCallsInFlight();
    for (int index = 0; index < 4; index++) {
      if (scripted.attempts("m" + index) > 0) {
        scripted.endAttempt("m" + index, AttemptResult.DELIVERED);
      }
    }
    return scripted;
  }

  /**
   * Makes all calls of a few seconds fail, as lost connectivity or an outage of the destination
   * does.
   */
  private static void failAllCalls(final ScriptedController scripted, final String prefix) {
    for (int index = 0; index < 12; index++) {
      final String id = prefix + index;
      scripted.accept(id, SAFE);
      if (scripted.attempts(id) > 0) {
        scripted.endAttempt(id, AttemptResult.NO_CONNECTION);
      }
      scripted.advance(200 * MS);
    }
    assertEquals("OUT", scripted.controller.routes().get(0).circuitState());
  }

  /**
   * Circuits opened while the courier had no connectivity close when it is restored, without trial
   * and recovery.
   */
  @Test
  void circuitOpenedByLostConnectivity_closesAtOnce() {
    final ScriptedController scripted = idle();
    final long sinceUs = scripted.nowUs;
    scripted.advance(10 * MS);
    failAllCalls(scripted, "f");
    scripted.controller.onConnectivityRestored(scripted.nowUs, sinceUs);
    scripted.controller.decide(scripted.nowUs);
    assertEquals("WELL", scripted.controller.routes().get(0).circuitState());
    scripted.advance(SECOND);
    assertTrue(
        scripted.sentCalls.stream().anyMatch(send -> send.atUs() >= scripted.nowUs - SECOND),
        "no call is sent");
  }

  /** An outage that began before connectivity was lost goes on; it ends by trial and recovery. */
  @Test
  void earlierOutage_outlastsRestoredConnectivity() {
    final ScriptedController scripted = idle();
    failAllCalls(scripted, "f");
    final long sinceUs = scripted.nowUs;
    scripted.advance(SECOND);
    scripted.controller.onConnectivityRestored(scripted.nowUs, sinceUs);
    scripted.controller.decide(scripted.nowUs);
    assertEquals("OUT", scripted.controller.routes().get(0).circuitState());
  }

  /**
   * After a delay, expired messages that wait are ended before anything is read. Those in flight
   * are not: their responses may be unread.
   */
  @Test
  void expiredMessages_endBeforeDecisionRound() {
    final ScriptedController scripted =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    for (int index = 0; index < 5; index++) {
      scripted.accept("m" + index, SAFE, null, SECOND);
    }
    final long inFlight = scripted.sentCalls.size();
    assertTrue(inFlight > 0 && inFlight < 5, "in flight: " + inFlight);
    // The process is paused: no event and no round is reported.
    scripted.nowUs += 3 * SECOND;
    scripted.controller.onDecisionsDelayed(scripted.nowUs);
    assertEquals(5 - inFlight, scripted.shedMessages.size());
    assertTrue(
        scripted.sentCalls.stream().noneMatch(send -> scripted.shedMessages.contains(send.id())),
        "a message in flight was ended");
    scripted.controller.onDecisionsDelayed(scripted.nowUs);
    assertEquals(5 - inFlight, scripted.shedMessages.size(), "each message has one final outcome");
    assertEquals(inFlight, scripted.sentCalls.size(), "no call is sent");
  }
}
