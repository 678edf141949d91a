package thistleturn.decisions.index;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Virtual time, in microseconds. */
final class RecentEntriesTest {
  private static final long RETENTION_US = 1000;
  private static final int MAX_IDS = 3;

  private final RecentEntries<Integer> ids = new RecentEntries<>(RETENTION_US, MAX_IDS);

  @Test
  void id_isKeptForItsTime() {
    ids.put("a", 1, 5);
    assertTrue(ids.contains("a", 5 + RETENTION_US - 1));
    assertFalse(ids.contains("a", 5 + RETENTION_US));
    assertFalse(ids.contains("b", 5));
  }

  @Test
  void addingAgain_startsTheTimeAnew() {
    ids.put("a", 1, 0);
    ids.put("b", 1, 1);
    ids.put("a", 1, 500);
    ids.put("c", 1, RETENTION_US + 1);
    assertTrue(ids.contains("a", RETENTION_US + 1));
    assertEquals(2, ids.size());
  }

  @Test
  void tooMany_forgetTheEarliest() {
    for (int number = 0; number < 10; number++) {
      ids.put("m" + number, 1, number);
    }
    assertEquals(MAX_IDS, ids.size());
    assertFalse(ids.contains("m6", 9));
    assertTrue(ids.contains("m7", 9));
  }

  @Test
  void expiredIds_takeNoRoom() {
    ids.put("a", 1, 0);
    ids.put("b", 1, 1);
    ids.put("c", 1, 2 * RETENTION_US);
    assertEquals(1, ids.size());
  }

  @Test
  void removedId_isForgotten() {
    ids.put("a", 1, 0);
    ids.put("a", 2, 1);
    assertEquals(2, ids.get("a", 1));
    ids.remove("a");
    assertNull(ids.get("a", 1));
  }
}
