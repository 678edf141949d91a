package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.EndpointUpdate;

/**
 * Learned state of a process that died, restored by the next one. It speeds up the start; no rule
 * depends on it.
 */
@Tag("noise")
final class LearnedStateTest {
  private static final long SECOND = ScriptedController.SECOND;

  private static ScriptedController withDeliveries(final int messages) {
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

  /**
   * Returns a courier that starts some time after another has died, with the learned state of that
   * one.
   */
  private static ScriptedController next(final ScriptedController before, final long laterUs) {
    final ScriptedController scripted =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    scripted.nowUs = before.nowUs + laterUs;
    scripted.controller.onLearnedState(
        scripted.nowUs, before.controller.learnedState().aged(before.nowUs, scripted.nowUs));
    return scripted;
  }

  private static int callsAtOnce(final ScriptedController scripted) {
    for (int index = 0; index < 20; index++) {
      scripted.accept("new" + index, 0);
    }
    return scripted.sentCalls.size();
  }

  @Test
  void window_isRestoredAndDecaysWithAge() {
    final ScriptedController before = withDeliveries(60);
    final int soon = callsAtOnce(next(before, SECOND / 2));
    final int late = callsAtOnce(next(before, 50 * SECOND));
    assertTrue(soon > 2, "calls at once, 0.5 s after: " + soon);
    assertTrue(late < soon, "after 50 s: " + late);
  }

  private static ScriptedController withOpenCircuit() {
    final ScriptedController before = withDeliveries(5);
    for (int index = 0; index < 6; index++) {
      before.accept("lost" + index, 0);
      before.advance(3 * SECOND);
      if (before.attempts("lost" + index) > before.endedAttempts("lost" + index)) {
        before.endAttempt("lost" + index, AttemptResult.NO_CONNECTION);
      }
    }
    return before;
  }

  @Test
  void openCircuit_isRestored() {
    final ScriptedController scripted = next(withOpenCircuit(), SECOND);
    assertTrue(callsAtOnce(scripted) <= 1, "only a trial may be sent: " + scripted.sentCalls);
  }

  @Test
  void faultyRoute_isRestoredAsRecovering() {
    final ScriptedController before = withDeliveries(60);
    for (final String id : new String[] {"lost", "lost too"}) {
      before.accept(id, 0);
      before.endAttempt(id, AttemptResult.NO_CONNECTION);
    }
    final ScriptedController scripted = next(before, SECOND);
    assertTrue(
        callsAtOnce(scripted) <= 1, "calls of a recovering route are paced: " + scripted.sentCalls);
  }

  @Test
  void retryAfter_isRestored() {
    final ScriptedController before = withDeliveries(5);
    before.accept("rejected", 0);
    before.endAttempt("rejected", AttemptResult.REFUSED, 10 * SECOND);
    final ScriptedController scripted = next(before, SECOND);
    assertEquals(0, callsAtOnce(scripted));
    scripted.advance(8 * SECOND);
    assertEquals(0, scripted.sentCalls.size());
    scripted.advance(10 * SECOND);
    assertTrue(scripted.sentCalls.size() > 0);
  }

  @Test
  void outageBegunBetweenProcesses_isDetected() {
    final ScriptedController scripted = next(withDeliveries(60), 3 * SECOND);
    for (int index = 0; index < 8; index++) {
      final String id = "failed" + index;
      scripted.accept(id, 0);
      if (scripted.attempts(id) > scripted.endedAttempts(id)) {
        scripted.endAttempt(id, AttemptResult.NO_CONNECTION);
      }
    }
    final int before = scripted.sentCalls.size();
    callsAtOnce(scripted);
    assertTrue(scripted.sentCalls.size() - before <= 1, "calls after the outage was detected");
  }

  @Test
  void unlistedEndpoints_areNotRestored() {
    final ScriptedController before = withDeliveries(10);
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

  /** A process that ends before its first one-second step passes on the rate served so far. */
  @Test
  void callRate_isKnownBeforeFirstStep() {
    final LearnedState learned = withDeliveries(20).controller.learnedState();
    assertEquals(60, learned.routes().get(0).figures()[LearnedRouteFormat.CALL_RATE]);
  }

  /**
   * Steps missed between two processes grow the rate, except on a route that was rejected in its
   * last step.
   */
  @Test
  void permittedRate_growsWithTimeSinceLastStep() {
    final LearnedState learned = withDeliveries(20).controller.learnedState();
    final LearnedState.LearnedRoute route = learned.routes().get(0);
    final double[] pacedFigures = route.figures().clone();
    pacedFigures[LearnedRouteFormat.PERMITTED_RATE] = 10;
    final double[] rejectedFigures = pacedFigures.clone();
    rejectedFigures[LearnedRouteFormat.STEP_REJECTIONS] = 1;
    final long[] moments = route.moments().clone();
    moments[moments.length - 1] = 100 * SECOND;
    final LearnedState aged =
        new LearnedState(
                learned.classMeanUs(),
                learned.classSamples(),
                learned.trustedIdleUs(),
                List.of(
                    new LearnedState.LearnedRoute(1, pacedFigures, moments),
                    new LearnedState.LearnedRoute(2, rejectedFigures, moments)),
                List.of())
            .aged(101 * SECOND, 103 * SECOND);
    assertEquals(
        10 * Math.pow(1.2, 3),
        aged.routes().get(0).figures()[LearnedRouteFormat.PERMITTED_RATE],
        1e-9);
    assertEquals(10, aged.routes().get(1).figures()[LearnedRouteFormat.PERMITTED_RATE], 1e-9);
  }
}
