package thistleturn.decisions.shards;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;

/**
 * Shards that hear of their limits late, stall and burst: together they never use more than the
 * whole.
 */
@Tag("scale")
final class CapacityAllocatorPropertyTest {
  private static final int STEPS = 2_000;

  /** A shard as a thread of its own would be: it keeps to the last limit that has reached it. */
  private static final class Shard {
    private int kept;
    private int used;
    private int wants;
    private boolean pressed;
    private boolean stalled;

    private void work(final Random random) {
      if (random.nextInt(20) == 0) {
        wants = random.nextInt(120);
      }
      used -= used > 0 ? random.nextInt(used + 1) / 2 : 0;
      while (used < wants && used < kept) {
        used++;
      }
      pressed |= wants > kept;
    }
  }

  @Property(tries = 300)
  void usage_neverExceedsTheTotalHoweverLateLimitsArrive(@ForAll final long seed) {
    final Random random = new Random(seed);
    final int shards = 1 + random.nextInt(8);
    final int whole = shards + random.nextInt(200);
    final CapacityAllocator allotment = new CapacityAllocator(shards, whole);
    final Shard[] all = new Shard[shards];
    for (int index = 0; index < shards; index++) {
      all[index] = new Shard();
      all[index].kept = allotment.limit(index);
    }
    for (int step = 0; step < STEPS; step++) {
      final int index = random.nextInt(shards);
      final Shard one = all[index];
      one.stalled = random.nextInt(50) == 0 || (one.stalled && random.nextInt(10) > 0);
      if (!one.stalled) {
        one.work(random);
        if (random.nextBoolean()) {
          allotment.reportUsage(index, one.kept, one.used, one.pressed);
          one.pressed = false;
        } else {
          one.kept = allotment.limit(index);
        }
      }
      if (random.nextInt(3) == 0) {
        allotment.rebalance();
      }
      assertTrue(
          Arrays.stream(all).mapToInt(shard -> shard.used).sum() <= whole,
          "seed " + seed + " step " + step);
      assertEquals(whole, allotment.total());
    }
  }

  /**
   * One shard is pressed, the others idle: it soon has nearly all, and gives it back when they need
   * it.
   */
  @Example
  void capacity_movesByNeedAndBack() {
    final CapacityAllocator allotment = new CapacityAllocator(4, 100);
    for (int round = 0; round < 20; round++) {
      for (int shard = 0; shard < 4; shard++) {
        final int kept = allotment.limit(shard);
        allotment.reportUsage(shard, kept, shard == 0 ? kept : 0, shard == 0);
      }
      allotment.rebalance();
    }
    assertTrue(allotment.limit(0) >= 80, "pressed alone: " + allotment.limit(0));
    for (int round = 0; round < 40; round++) {
      for (int shard = 0; shard < 4; shard++) {
        final int kept = allotment.limit(shard);
        allotment.reportUsage(shard, kept, kept, true);
      }
      allotment.rebalance();
    }
    for (int shard = 0; shard < 4; shard++) {
      assertTrue(
          Math.abs(allotment.limit(shard) - 25) <= 3, "all pressed: " + allotment.limit(shard));
    }
  }

  /** One that stalls keeps what it may use, and no more is given away than the others have. */
  @Example
  void stalledShard_keepsItsCapacity() {
    final CapacityAllocator allotment = new CapacityAllocator(2, 10);
    for (int round = 0; round < 20; round++) {
      allotment.reportUsage(0, allotment.limit(0), allotment.limit(0), true);
      allotment.rebalance();
    }
    assertEquals(5, allotment.limit(0));
  }

  @Example
  void totalBelowOnePerShard_isRejected() {
    assertThrows(IllegalArgumentException.class, () -> new CapacityAllocator(4, 3));
  }
}
