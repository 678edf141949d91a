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

/** Each datagram is let through once; what is far behind, or of an earlier life, not at all. */
@Tag("replicas")
final class ArrivalsTest {
  private static final PeerId FIRST = new PeerId("n1", 10);
  private final Arrivals arrivals = new Arrivals();

  @Test
  void eachIsLetThroughOnceInAnyOrderWithinTheWindow() {
    final List<Long> order = new ArrayList<>();
    for (long number = 1; number <= 900; number++) {
      order.add(number);
    }
    Collections.shuffle(order, new Random(5));
    order.forEach(number -> assertTrue(arrivals.isNew(FIRST, number), "first " + number));
    order.forEach(number -> assertFalse(arrivals.isNew(FIRST, number), "again " + number));
  }

  @Test
  void whatIsADayOldIsNotLetThrough() {
    assertTrue(arrivals.isNew(FIRST, 1_000_000));
    assertFalse(arrivals.isNew(FIRST, 5));
    assertTrue(arrivals.isNew(FIRST, 999_990), "a little late");
    assertTrue(arrivals.isNew(FIRST, 5_000_000_000L));
    assertFalse(arrivals.isNew(FIRST, 999_991));
    assertFalse(arrivals.isNew(FIRST, 0));
    assertFalse(arrivals.isNew(FIRST, Long.MIN_VALUE));
  }

  @Test
  void aLaterLifeCountsAnewAndAnEarlierOneIsOver() {
    assertTrue(arrivals.isNew(FIRST, 50));
    assertTrue(arrivals.isNew(new PeerId("n1", 11), 1));
    assertFalse(arrivals.isNew(FIRST, 51));
    assertTrue(arrivals.isNew(new PeerId("n2", 1), 1));
  }
}
