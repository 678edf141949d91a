package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.model.AttemptResult;

/** What operators are told keeps the next message is what keeps it. */
@Tag("noise")
final class RouteStatusTest {
  private static RouteStatus of(final ScriptedController scene) {
    return scene.controller.routes().get(0);
  }

  @Test
  void fullWindow_isReported() {
    final ScriptedController scene =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    assertEquals("nothing waits", of(scene).blockedReason());
    for (int index = 0; index < 5; index++) {
      scene.accept("m" + index, 0);
    }
    assertEquals("its window is full: 2 of 2 calls are in flight", of(scene).blockedReason());
    assertEquals(3, of(scene).waitingMessages());
  }

  @Test
  void retryAfter_isReported() {
    final ScriptedController scene =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    scene.accept("m", 0);
    scene.endAttempt("m", AttemptResult.REFUSED, 2 * ScriptedController.SECOND);
    assertEquals("it told to wait: 2000 ms are left", of(scene).blockedReason());
  }

  @Test
  void backoff_isReported() {
    final ScriptedController scene =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    scene.accept("m", 0);
    scene.endAttempt("m", AttemptResult.REFUSED);
    assertTrue(
        of(scene).blockedReason().startsWith("it pauses after a refusal: "),
        of(scene).blockedReason());
    assertEquals("UNSURE", of(scene).rejectionCause());
  }

  /** One of fourteen couriers has used its part up: nothing was refused, and yet nothing goes. */
  @Test
  void exhaustedRateShare_isReported() {
    final ScriptedController scene =
        ScriptedController.withTwoEndpoints(ScriptedController.fleetWithReportedLimit(14));
    scene.accept("m0", 0);
    scene.accept("m1", 0);
    assertTrue(
        of(scene).blockedReason().startsWith("this courier's part of the rate told is used up: "),
        of(scene).blockedReason());
    assertEquals(0.9 / 14, of(scene).permittedPerSecond(), 1e-9);
  }

  @Test
  void openCircuit_isReported() {
    final ScriptedController scene =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    for (int index = 0; index < 6 && !of(scene).circuitState().equals("OUT"); index++) {
      scene.accept("m" + index, 0);
      scene.advance(2 * ScriptedController.SECOND);
      for (int one = 0; one <= index; one++) {
        if (scene.attempts("m" + one) > scene.endedAttempts("m" + one)) {
          scene.endAttempt("m" + one, AttemptResult.NO_CONNECTION);
        }
      }
    }
    assertTrue(of(scene).blockedReason().startsWith("it is out"), of(scene).blockedReason());
  }
}
