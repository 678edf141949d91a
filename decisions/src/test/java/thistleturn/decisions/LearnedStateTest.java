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
    final ScriptedController scene =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    for (int index = 0; index < messages; index++) {
      scene.accept("m" + index, 0);
      scene.accept("n" + index, 0);
      scene.accept("o" + index, 0);
      scene.advance(20 * ScriptedController.MS);
      for (final String name : new String[] {"m", "n", "o"}) {
        if (scene.attempts(name + index) > scene.endedAttempts(name + index)) {
          scene.endAttempt(name + index, AttemptResult.DELIVERED);
        }
      }
    }
    return scene;
  }

  /** A courier that starts so long after another has died, with what that one had learnt. */
  private static ScriptedController next(final ScriptedController before, final long laterUs) {
    final ScriptedController scene =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    scene.nowUs = before.nowUs + laterUs;
    scene.controller.onLearnedState(
        scene.nowUs, before.controller.learnedState().aged(before.nowUs, scene.nowUs));
    return scene;
  }

  private static int sentAtOnce(final ScriptedController scene) {
    for (int index = 0; index < 20; index++) {
      scene.accept("at once " + index, 0);
    }
    return scene.sentCalls.size();
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
    final ScriptedController scene = next(out(), SECOND);
    assertTrue(sentAtOnce(scene) <= 1, "only a trial may go: " + scene.sentCalls);
  }

  @Test
  void faultyRoute_isRestoredAsRecovering() {
    final ScriptedController before = served(60);
    for (final String id : new String[] {"lost", "lost too"}) {
      before.accept(id, 0);
      before.endAttempt(id, AttemptResult.NO_CONNECTION);
    }
    final ScriptedController scene = next(before, SECOND);
    assertTrue(sentAtOnce(scene) <= 1, "a returning one is paced: " + scene.sentCalls);
  }

  @Test
  void retryAfter_isRestored() {
    final ScriptedController before = served(5);
    before.accept("told", 0);
    before.endAttempt("told", AttemptResult.REFUSED, 10 * SECOND);
    final ScriptedController scene = next(before, SECOND);
    assertEquals(0, sentAtOnce(scene));
    scene.advance(8 * SECOND);
    assertEquals(0, scene.sentCalls.size());
    scene.advance(10 * SECOND);
    assertTrue(scene.sentCalls.size() > 0);
  }

  @Test
  void outageBegunMeanwhile_isDetected() {
    final ScriptedController scene = next(served(60), 3 * SECOND);
    for (int index = 0; index < 8; index++) {
      final String id = "late " + index;
      scene.accept(id, 0);
      if (scene.attempts(id) > scene.endedAttempts(id)) {
        scene.endAttempt(id, AttemptResult.NO_CONNECTION);
      }
    }
    final int before = scene.sentCalls.size();
    sentAtOnce(scene);
    assertTrue(scene.sentCalls.size() - before <= 1, "sends after the outage was seen");
  }

  @Test
  void unlistedEndpoints_areNotRestored() {
    final ScriptedController before = served(10);
    final ScriptedController scene = new ScriptedController(ScriptedController.settings());
    scene.nowUs = before.nowUs + SECOND;
    scene.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT,
        ScriptedController.endpoint(9, ScriptedController.DESTINATION, "a"));
    scene.controller.onLearnedState(
        scene.nowUs, before.controller.learnedState().aged(before.nowUs, scene.nowUs));
    scene.accept("m", 0);
    assertEquals(9, scene.lastCall("m").endpoint());
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
