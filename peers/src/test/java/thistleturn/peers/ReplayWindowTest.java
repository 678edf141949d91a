package thistleturn.peers;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.peers.PeerId;

/**
 * Each message is accepted once; messages behind the window or of an earlier incarnation are
 * rejected.
 */
@Tag("replicas")
final class ReplayWindowTest {
  private static final PeerId FIRST = new PeerId("n1", 10);
  private final ReplayWindow replayWindow = new ReplayWindow();

  @Test
  void sequencesWithinWindow_areAcceptedOnceInAnyOrder() {
    final List<Long> order = new ArrayList<>();
    for (long number = 1; number <= 900; number++) {
      order.add(number);
    }
    Collections.shuffle(order, new Random(5));
    order.forEach(number -> assertTrue(replayWindow.recordIfNew(FIRST, number), "first " + number));
    order.forEach(
        number -> assertFalse(replayWindow.recordIfNew(FIRST, number), "again " + number));
  }

  @Test
  void sequenceBehindWindow_isRejected() {
    assertTrue(replayWindow.recordIfNew(FIRST, 1_000_000));
    assertFalse(replayWindow.recordIfNew(FIRST, 5));
    assertTrue(replayWindow.recordIfNew(FIRST, 999_990), "a little late");
    assertTrue(replayWindow.recordIfNew(FIRST, 5_000_000_000L));
    assertFalse(replayWindow.recordIfNew(FIRST, 999_991));
    assertFalse(replayWindow.recordIfNew(FIRST, 0));
    assertFalse(replayWindow.recordIfNew(FIRST, Long.MIN_VALUE));
  }

  @Test
  void laterIncarnation_resetsWindowAndEndsEarlierOne() {
    assertTrue(replayWindow.recordIfNew(FIRST, 50));
    assertTrue(replayWindow.recordIfNew(new PeerId("n1", 11), 1));
    assertFalse(replayWindow.recordIfNew(FIRST, 51));
    assertTrue(replayWindow.recordIfNew(new PeerId("n2", 1), 1));
  }
}
