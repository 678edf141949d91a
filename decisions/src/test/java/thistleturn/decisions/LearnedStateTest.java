package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.EndpointUpdate;

/**
 * What a process that died had learnt, taken up by the next one: it serves at once, and no rule
 * hangs on it.
 */
@Tag("noise")
final class LearnedStateTest {
  private static final long SECOND = ScriptedController.SECOND;

  private static ScriptedController served(final int messages) {
    final ScriptedController scripted =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    for (int index = 0; index < messages; index++) {
      scripted.accept("m" + index, 0);
      scripted.accept("n" + index, 0);
      scripted.accept("o" + index, 0);
      scripted.advance(20 * ScriptedController.MS);
      for (final String name : new String[] {"m", "n", "o"}) {
        if (scripted.attempts(name + index) > scripted.endedAttempts(name + index)) {
          scripted.endAttempt(name + index, AttemptResult.DELIVERED);
        }
      }
    }
    return scripted;
  }

  /** A courier that starts so long after another has died, with what that one had learnt. */
  private static ScriptedController next(final ScriptedController before, final long laterUs) {
    final ScriptedController scripted =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    scripted.nowUs = before.nowUs + laterUs;
    scripted.controller.onLearnedState(
        scripted.nowUs, before.controller.learnedState().aged(before.nowUs, scripted.nowUs));
    return scripted;
  }

  private static int sentAtOnce(final ScriptedController scripted) {
    for (int index = 0; index < 20; index++) {
      scripted.accept("at once " + index, 0);
    }
    return scripted.sentCalls.size();
  }

  @Test
  void window_isRestoredAndDecaysWithAge() {
    final ScriptedController before = served(60);
    final int soon = sentAtOnce(next(before, SECOND / 2));
    final int late = sentAtOnce(next(before, 50 * SECOND));
    assertTrue(soon > 2, "calls at once, soon after: " + soon);
    assertTrue(late < soon, "after 50 s: " + late);
  }

  private static ScriptedController out() {
    final ScriptedController before = served(5);
    for (int index = 0; index < 6; index++) {
      before.accept("lost " + index, 0);
      before.advance(3 * SECOND);
      if (before.attempts("lost " + index) > before.endedAttempts("lost " + index)) {
        before.endAttempt("lost " + index, AttemptResult.NO_CONNECTION);
      }
    }
    return before;
  }

  @Test
  void openCircuit_isRestored() {
    final ScriptedController scripted = next(out(), SECOND);
    assertTrue(sentAtOnce(scripted) <= 1, "only a trial may go: " + scripted.sentCalls);
  }

  @Test
  void faultyRoute_isRestoredAsRecovering() {
    final ScriptedController before = served(60);
    for (final String id : new String[] {"lost", "lost too"}) {
      before.accept(id, 0);
      before.endAttempt(id, AttemptResult.NO_CONNECTION);
    }
    final ScriptedController scripted = next(before, SECOND);
    assertTrue(sentAtOnce(scripted) <= 1, "a returning one is paced: " + scripted.sentCalls);
  }

  @Test
  void retryAfter_isRestored() {
    final ScriptedController before = served(5);
    before.accept("told", 0);
    before.endAttempt("told", AttemptResult.REFUSED, 10 * SECOND);
    final ScriptedController scripted = next(before, SECOND);
    assertEquals(0, sentAtOnce(scripted));
    scripted.advance(8 * SECOND);
    assertEquals(0, scripted.sentCalls.size());
    scripted.advance(10 * SECOND);
    assertTrue(scripted.sentCalls.size() > 0);
  }

  @Test
  void outageBegunMeanwhile_isDetected() {
    final ScriptedController scripted = next(served(60), 3 * SECOND);
    for (int index = 0; index < 8; index++) {
      final String id = "late " + index;
      scripted.accept(id, 0);
      if (scripted.attempts(id) > scripted.endedAttempts(id)) {
        scripted.endAttempt(id, AttemptResult.NO_CONNECTION);
      }
    }
    final int before = scripted.sentCalls.size();
    sentAtOnce(scripted);
    assertTrue(scripted.sentCalls.size() - before <= 1, "sends after the outage was seen");
  }

  @Test
  void unlistedEndpoints_areNotRestored() {
    final ScriptedController before = served(10);
    final ScriptedController scripted = new ScriptedController(ScriptedController.settings());
    scripted.nowUs = before.nowUs + SECOND;
    scripted.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT,
        ScriptedController.endpoint(9, ScriptedController.DESTINATION, "a"));
    scripted.controller.onLearnedState(
        scripted.nowUs, before.controller.learnedState().aged(before.nowUs, scripted.nowUs));
    scripted.accept("m", 0);
    assertEquals(9, scripted.lastCall("m").endpoint());
  }

  /** A process that ends before its first step of a second knows what it has served so far. */
  @Test
  void rate_isKnownBeforeFirstStep() {
    final LearnedState memory = served(20).controller.learnedState();
    assertEquals(60, memory.routes().get(0).figures()[LearnedRouteFormat.CALL_RATE]);
  }

  /** Steps that no process lived to take are reckoned with, but for one that was refused in. */
  @Test
  void permittedRate_growsWithTimeSinceLastStep() {
    final LearnedState memory = served(20).controller.learnedState();
    final LearnedState.LearnedRoute lane = memory.routes().get(0);
    final double[] paced = lane.figures().clone();
    paced[LearnedRouteFormat.PERMITTED_RATE] = 10;
    final double[] refused = paced.clone();
    refused[LearnedRouteFormat.STEP_REJECTIONS] = 1;
    final long[] stepped = lane.moments().clone();
    stepped[stepped.length - 1] = 100 * SECOND;
    final LearnedState aged =
        new LearnedState(
                memory.classMeanUs(),
                memory.classSamples(),
                memory.trustedIdleUs(),
                List.of(
                    new LearnedState.LearnedRoute(1, paced, stepped),
                    new LearnedState.LearnedRoute(2, refused, stepped)),
                List.of())
            .aged(101 * SECOND, 103 * SECOND);
    assertEquals(
        10 * Math.pow(1.2, 3),
        aged.routes().get(0).figures()[LearnedRouteFormat.PERMITTED_RATE],
        1e-9);
    assertEquals(10, aged.routes().get(1).figures()[LearnedRouteFormat.PERMITTED_RATE], 1e-9);
  }
}
