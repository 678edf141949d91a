package thistleturn.decisions.index;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Virtual time, in microseconds. */
final class RecentIdsTest {
  private static final long RETENTION_US = 1000;
  private static final int MAX_IDS = 3;

  private final RecentIds ids = new RecentIds(RETENTION_US, MAX_IDS);

  @Test
  void id_isKeptForItsTime() {
    ids.add("a", 5);
    assertTrue(ids.contains("a", 5 + RETENTION_US - 1));
    assertFalse(ids.contains("a", 5 + RETENTION_US));
    assertFalse(ids.contains("b", 5));
  }

  @Test
  void addingAgain_startsTheTimeAnew() {
    ids.add("a", 0);
    ids.add("b", 1);
    ids.add("a", 500);
    ids.add("c", RETENTION_US + 1);
    assertTrue(ids.contains("a", RETENTION_US + 1));
    assertEquals(2, ids.size());
  }

  @Test
  void tooMany_forgetTheEarliest() {
    for (int number = 0; number < 10; number++) {
      ids.add("m" + number, number);
    }
    assertEquals(MAX_IDS, ids.size());
    assertFalse(ids.contains("m6", 9));
    assertTrue(ids.contains("m7", 9));
  }

  @Test
  void expiredIds_takeNoRoom() {
    ids.add("a", 0);
    ids.add("b", 1);
    ids.add("c", 2 * RETENTION_US);
    assertEquals(1, ids.size());
  }
}
