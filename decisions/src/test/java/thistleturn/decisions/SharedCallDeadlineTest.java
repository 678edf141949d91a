package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.model.AttemptResult;

/**
 * A call with several messages ends for all of them at the earliest of their deadlines. A message
 * close to its deadline was put into a call with others: its deadline passed before the response
 * was read, the call counted as delivering none of them, and the others, although delivered, were
 * sent again.
 *
 * <p>Seen in {@code PausedCourierTest} on two busy cores: the log showed {@code shared_call_expired
 * messages=5 had_us=19577 answered=false}, {@code messages=5 had_us=11428 answered=true}, and so on
 * up to 104 ms, where a call takes 40 ms at the endpoint; each time the other messages of the call
 * were sent again 50 to 200 ms after their delivery.
 */
@Tag("health")
final class SharedCallDeadlineTest {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;
  private static final int IDEMPOTENT = 0;
  private static final long CALL_US = 50 * MS;

  /** Longest stall of a courier that is allowed for between reading its clock and writing. */
  private static final long MAX_STALL_US = 150 * MS;

  /**
   * A controller that allows one call in flight, of up to five messages, and has learned how long
   * calls take.
   */
  private static ScriptedController withOneCallAtATime() {
    final ScriptedController scripted =
        ScriptedController.withTwoEndpoints(ScriptedController.settings(1, 5, false, false));
    for (int index = 0; index < 80; index++) {
      scripted.accept("t" + index, IDEMPOTENT);
      scripted.advance(CALL_US);
      scripted.endAttempt("t" + index, AttemptResult.DELIVERED);
    }
    return scripted;
  }

  /** Two messages with ample time left and one with the given time left wait until a call ends. */
  private static ScriptedController afterWaitWithExpiringMessage(final long expiringLeftUs) {
    final ScriptedController scripted = withOneCallAtATime();
    scripted.accept("first", IDEMPOTENT);
    scripted.accept("ample-0", IDEMPOTENT);
    scripted.accept("expiring", IDEMPOTENT, null, CALL_US + expiringLeftUs);
    scripted.accept("ample-1", IDEMPOTENT);
    scripted.advance(CALL_US);
    scripted.endAttempt("first", AttemptResult.DELIVERED);
    return scripted;
  }

  @Test
  void messageAboutToExpire_doesNotShareCall() {
    for (final long leftUs : new long[] {20 * MS, 60 * MS, 120 * MS, MAX_STALL_US + CALL_US}) {
      final ScriptedController scripted = afterWaitWithExpiringMessage(leftUs);
      assertTrue(
          scripted.attempts("expiring") == 0 || scripted.attempts("ample-0") == 0,
          "shares a call with " + leftUs + " us left");
      assertEquals(
          scripted.attempts("ample-0"), scripted.attempts("ample-1"), "these two share a call");
    }
  }

  @Test
  void messageAboutToExpire_isSentInItsOwnCall() {
    final ScriptedController scripted = afterWaitWithExpiringMessage(3 * CALL_US);
    scripted.advance(CALL_US);
    final String other = scripted.attempts("expiring") == 0 ? "ample-0" : "expiring";
    scripted.endAttempt(other, AttemptResult.DELIVERED);
    if (other.equals("ample-0")) {
      scripted.endAttempt("ample-1", AttemptResult.DELIVERED);
    }
    assertEquals(1, scripted.attempts("expiring"));
    assertEquals(1, scripted.attempts("ample-0"));
  }

  @Test
  void messageWithTimeLeft_sharesCall() {
    final ScriptedController scripted = afterWaitWithExpiringMessage(SECOND);
    assertEquals(1, scripted.attempts("expiring"));
    assertEquals(1, scripted.attempts("ample-0"));
    assertEquals(1, scripted.attempts("ample-1"));
  }
}
