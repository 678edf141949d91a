package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.model.AttemptResult;

/**
 * A call with several messages is over for all of them with the deadline of the first. A message
 * whose time was nearly up was put into a call with others: its deadline passed while the response
 * was on its way, the call counted for none, and the others, which had been delivered, were sent
 * again.
 *
 * <p>Seen in {@code PausedCourierTest} on two busy cores. The log told {@code shared_call_expired
 * messages=5 had_us=19577 answered=false}, {@code messages=5 had_us=11428 answered=true}, and so on
 * up to 104 ms, where a call takes 40 ms at the endpoint; each time the other messages of the call
 * were sent again 50 to 200 ms after their delivery.
 */
@Tag("health")
final class SharedCallDeadlineTest {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;
  private static final int SAFE = 0;
  private static final long CALL_US = 50 * MS;

  /** Up to this time left a courier may be held up between reading its clock and writing. */
  private static final long HOLD_UP_US = 150 * MS;

  /** One call at a time with up to five messages; it has learned how long calls take. */
  private static ScriptedController oneCallAtATime() {
    final ScriptedController one =
        ScriptedController.withTwoEndpoints(ScriptedController.settings(1, 5, false, false));
    for (int index = 0; index < 80; index++) {
      one.accept("t" + index, SAFE);
      one.advance(CALL_US);
      one.endAttempt("t" + index, AttemptResult.DELIVERED);
    }
    return one;
  }

  /** Two patient messages and one with so much time left wait until a call ends. */
  private static ScriptedController afterWaitWith(final long briefLeftUs) {
    final ScriptedController one = oneCallAtATime();
    one.accept("first", SAFE);
    one.accept("patient-0", SAFE);
    one.accept("brief", SAFE, null, CALL_US + briefLeftUs);
    one.accept("patient-1", SAFE);
    one.advance(CALL_US);
    one.endAttempt("first", AttemptResult.DELIVERED);
    return one;
  }

  @Test
  void messageAboutToExpire_doesNotShareACall() {
    for (final long leftUs : new long[] {20 * MS, 60 * MS, 120 * MS, HOLD_UP_US + CALL_US}) {
      final ScriptedController one = afterWaitWith(leftUs);
      assertTrue(
          one.attempts("brief") == 0 || one.attempts("patient-0") == 0,
          "in one call with " + leftUs + " us left");
      assertEquals(one.attempts("patient-0"), one.attempts("patient-1"), "these two share a call");
    }
  }

  @Test
  void messageAboutToExpire_stillGoesByItself() {
    final ScriptedController one = afterWaitWith(3 * CALL_US);
    one.advance(CALL_US);
    final String other = one.attempts("brief") == 0 ? "patient-0" : "brief";
    one.endAttempt(other, AttemptResult.DELIVERED);
    if (other.equals("patient-0")) {
      one.endAttempt("patient-1", AttemptResult.DELIVERED);
    }
    assertEquals(1, one.attempts("brief"));
    assertEquals(1, one.attempts("patient-0"));
  }

  @Test
  void messageWithTimeLeft_sharesTheCall() {
    final ScriptedController one = afterWaitWith(SECOND);
    assertEquals(1, one.attempts("brief"));
    assertEquals(1, one.attempts("patient-0"));
    assertEquals(1, one.attempts("patient-1"));
  }
}
