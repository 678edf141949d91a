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
 * Shards that receive their limits late, stall and burst: together they never use more than the
 * capacity.
 */
@Tag("scale")
final class CapacityAllocatorPropertyTest {
  private static final int STEPS = 2_000;

  /** A shard as if on a thread of its own: it keeps to the last limit that has reached it. */
  private static final class Shard {
    private int keptLimit;
    private int used;
    private int demand;
    private boolean pressed;
    private boolean stalled;

    private void work(final Random random) {
      if (random.nextInt(20) == 0) {
        demand = random.nextInt(120);
      }
      used -= used > 0 ? random.nextInt(used + 1) / 2 : 0;
      while (used < demand && used < keptLimit) {
        used++;
      }
      pressed |= demand > keptLimit;
    }
  }

  @Property(tries = 300)
  void usage_neverExceedsTheTotalHoweverLateLimitsArrive(@ForAll final long seed) {
    final Random random = new Random(seed);
    final int shards = 1 + random.nextInt(8);
    final int capacity = shards + random.nextInt(200);
    final CapacityAllocator allocator = new CapacityAllocator(shards, capacity);
    final Shard[] all = new Shard[shards];
    for (int index = 0; index < shards; index++) {
      all[index] = new Shard();
      all[index].keptLimit = allocator.limit(index);
    }
    for (int step = 0; step < STEPS; step++) {
      final int index = random.nextInt(shards);
      final Shard one = all[index];
      one.stalled = random.nextInt(50) == 0 || (one.stalled && random.nextInt(10) > 0);
      if (!one.stalled) {
        one.work(random);
        if (random.nextBoolean()) {
          allocator.reportUsage(index, one.keptLimit, one.used, one.pressed);
          one.pressed = false;
        } else {
          one.keptLimit = allocator.limit(index);
        }
      }
      if (random.nextInt(3) == 0) {
        allocator.rebalance();
      }
      assertTrue(
          Arrays.stream(all).mapToInt(shard -> shard.used).sum() <= capacity,
          "seed " + seed + " step " + step);
      assertEquals(capacity, allocator.total());
    }
  }

  /** A shard that alone is pressed soon has nearly all, and gives it back when others need it. */
  @Example
  void capacity_movesByNeedAndBack() {
    final CapacityAllocator allocator = new CapacityAllocator(4, 100);
    for (int round = 0; round < 20; round++) {
      for (int shard = 0; shard < 4; shard++) {
        final int keptLimit = allocator.limit(shard);
        allocator.reportUsage(shard, keptLimit, shard == 0 ? keptLimit : 0, shard == 0);
      }
      allocator.rebalance();
    }
    assertTrue(allocator.limit(0) >= 80, "pressed alone: " + allocator.limit(0));
    for (int round = 0; round < 40; round++) {
      for (int shard = 0; shard < 4; shard++) {
        final int keptLimit = allocator.limit(shard);
        allocator.reportUsage(shard, keptLimit, keptLimit, true);
      }
      allocator.rebalance();
    }
    for (int shard = 0; shard < 4; shard++) {
      assertTrue(
          Math.abs(allocator.limit(shard) - 25) <= 3, "all pressed: " + allocator.limit(shard));
    }
  }

  /** A stalled shard keeps what it may use; no more is moved than the others have. */
  @Example
  void stalledShard_keepsItsCapacity() {
    final CapacityAllocator allocator = new CapacityAllocator(2, 10);
    for (int round = 0; round < 20; round++) {
      allocator.reportUsage(0, allocator.limit(0), allocator.limit(0), true);
      allocator.rebalance();
    }
    assertEquals(5, allocator.limit(0));
  }

  @Example
  void totalBelowOnePerShard_isRejected() {
    assertThrows(IllegalArgumentException.class, () -> new CapacityAllocator(4, 3));
  }
}
