package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.model.AttemptResult;

/** The reason that operators are shown for an unsent message is the reason why it is not sent. */
@Tag("noise")
final class RouteStatusTest {
  private static RouteStatus statusOf(final ScriptedController scripted) {
    return scripted.controller.routes().get(0);
  }

  @Test
  void fullWindow_isReported() {
    final ScriptedController scripted =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    assertEquals("nothing waits", statusOf(scripted).blockedReason());
    for (int index = 0; index < 5; index++) {
      scripted.accept("m" + index, 0);
    }
    assertEquals(
        "its window is full: 2 of 2 calls are in flight", statusOf(scripted).blockedReason());
    assertEquals(3, statusOf(scripted).waitingMessages());
  }

  @Test
  void retryAfter_isReported() {
    final ScriptedController scripted =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    scripted.accept("m", 0);
    scripted.endAttempt("m", AttemptResult.REFUSED, 2 * ScriptedController.SECOND);
    assertEquals(
        "its Retry-After has not expired: 2000 ms are left", statusOf(scripted).blockedReason());
  }

  @Test
  void backoff_isReported() {
    final ScriptedController scripted =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    scripted.accept("m", 0);
    scripted.endAttempt("m", AttemptResult.REFUSED);
    assertTrue(
        statusOf(scripted).blockedReason().startsWith("it backs off after a rejection: "),
        statusOf(scripted).blockedReason());
    assertEquals("UNSURE", statusOf(scripted).rejectionCause());
  }

  /**
   * One of fourteen couriers has used up its rate share: nothing was rejected, yet nothing is sent.
   */
  @Test
  void exhaustedRateShare_isReported() {
    final ScriptedController scripted =
        ScriptedController.withTwoEndpoints(ScriptedController.fleetWithReportedLimit(14));
    scripted.accept("m0", 0);
    scripted.accept("m1", 0);
    assertTrue(
        statusOf(scripted)
            .blockedReason()
            .startsWith("this courier's share of the reported rate is used up: "),
        statusOf(scripted).blockedReason());
    assertEquals(0.9 / 14, statusOf(scripted).permittedPerSecond(), 1e-9);
  }

  @Test
  void openCircuit_isReported() {
    final ScriptedController scripted =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    for (int index = 0; index < 6 && !statusOf(scripted).circuitState().equals("OUT"); index++) {
      scripted.accept("m" + index, 0);
      scripted.advance(2 * ScriptedController.SECOND);
      for (int one = 0; one <= index; one++) {
        if (scripted.attempts("m" + one) > scripted.endedAttempts("m" + one)) {
          scripted.endAttempt("m" + one, AttemptResult.NO_CONNECTION);
        }
      }
    }
    assertTrue(
        statusOf(scripted).blockedReason().startsWith("it is out"),
        statusOf(scripted).blockedReason());
  }
}
