package thistleturn.decisions.pools;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import thistleturn.decisions.pools.AnswerHistory.Kind;

final class ResponseTimesTest {
  private static final Kind DELIVERED = new Kind(200, false);
  private static final Kind REJECTED = new Kind(503, false);
  private static final int ENOUGH = 20;
  private static final int MANY = 5000;

  private final ResponseTimes times = new ResponseTimes();

  @Test
  void fewResponses_noneIsDue() {
    for (int each = 1; each < ENOUGH; each++) {
      times.add(100);
    }
    assertEquals(Long.MAX_VALUE, times.dueUs());
    assertEquals(150, times.dueByAllUs());
    times.add(100);
    assertEquals(150, times.dueUs());
  }

  @Test
  void unknownKind_isNeverTooSoon() {
    times.addOwn(REJECTED, 100);
    assertFalse(times.isTooSoon(DELIVERED, 0));
  }

  /** Guards against a copy whose own time makes later copies look like answers. */
  @Test
  void responseOfUnknownCall_doesNotLowerEarliestTime() {
    times.addOwn(DELIVERED, 100);
    times.add(10);
    assertTrue(times.isTooSoon(DELIVERED, 74));
    assertFalse(times.isTooSoon(DELIVERED, 75));
  }

  /** Guards against a repeat of a quick delivery whose connection is reset shortly after. */
  @Test
  void workThatVaries_leavesOnlyTheTimeBeforeAnyResponse() {
    times.addOwn(DELIVERED, 100);
    times.add(100);
    assertEquals(150, times.unansweredWithinUs(DELIVERED));
    times.add(201);
    assertEquals(100, times.unansweredWithinUs(DELIVERED));
  }

  @Test
  void slowerEndpoint_raisesEarliestTime() {
    times.addOwn(DELIVERED, 100);
    for (int each = 0; each < MANY; each++) {
      times.addOwn(DELIVERED, 300);
    }
    assertTrue(times.isTooSoon(DELIVERED, 224));
    assertFalse(times.isTooSoon(DELIVERED, 225));
  }
}
