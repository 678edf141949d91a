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
 * Shards that receive their limits late, stall, and have bursts of demand never use more than the
 * capacity together.
 */
@Tag("scale")
final class CapacityAllocatorPropertyTest {
  private static final int STEPS = 2_000;

  /** Simulates a shard on its own thread, which applies the last limit that it has received. */
  private static final class Shard {
    private int appliedLimit;
    private int used;
    private int demand;
    private boolean restricted;
    private boolean stalled;

    private void work(final Random random) {
      if (random.nextInt(20) == 0) {
        demand = random.nextInt(120);
      }
      used -= used > 0 ? random.nextInt(used + 1) / 2 : 0;
      while (used < demand && used < appliedLimit) {
        used++;
      }
      restricted |= demand > appliedLimit;
    }
  }

  @Property(tries = 300)
  void limitsThatArriveLate_usageNeverExceedsCapacity(@ForAll final long seed) {
    final Random random = new Random(seed);
    final int shards = 1 + random.nextInt(8);
    final int capacity = shards + random.nextInt(200);
    final CapacityAllocator allocator = new CapacityAllocator(shards, capacity);
    final Shard[] all = new Shard[shards];
    for (int index = 0; index < shards; index++) {
      all[index] = new Shard();
      all[index].appliedLimit = allocator.limit(index);
    }
    for (int step = 0; step < STEPS; step++) {
      final int index = random.nextInt(shards);
      final Shard current = all[index];
      current.stalled = random.nextInt(50) == 0 || (current.stalled && random.nextInt(10) > 0);
      if (!current.stalled) {
        current.work(random);
        if (random.nextBoolean()) {
          allocator.reportUsage(index, current.appliedLimit, current.used, current.restricted);
          current.restricted = false;
        } else {
          current.appliedLimit = allocator.limit(index);
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

  /** The only restricted shard soon gets most capacity, and returns it when others need it. */
  @Example
  void capacity_movesOnDemandAndBack() {
    final CapacityAllocator allocator = new CapacityAllocator(4, 100);
    for (int round = 0; round < 20; round++) {
      for (int shard = 0; shard < 4; shard++) {
        final int appliedLimit = allocator.limit(shard);
        allocator.reportUsage(shard, appliedLimit, shard == 0 ? appliedLimit : 0, shard == 0);
      }
      allocator.rebalance();
    }
    assertTrue(allocator.limit(0) >= 80, "the only restricted shard: " + allocator.limit(0));
    for (int round = 0; round < 40; round++) {
      for (int shard = 0; shard < 4; shard++) {
        final int appliedLimit = allocator.limit(shard);
        allocator.reportUsage(shard, appliedLimit, appliedLimit, true);
      }
      allocator.rebalance();
    }
    for (int shard = 0; shard < 4; shard++) {
      assertTrue(
          Math.abs(allocator.limit(shard) - 25) <= 3,
          "all shards restricted: " + allocator.limit(shard));
    }
  }

  /** A shard that sends no reports keeps its grant, which is not moved to others. */
  @Example
  void shardWithoutReports_keepsItsCapacity() {
    final CapacityAllocator allocator = new CapacityAllocator(2, 10);
    for (int round = 0; round < 20; round++) {
      allocator.reportUsage(0, allocator.limit(0), allocator.limit(0), true);
      allocator.rebalance();
    }
    assertEquals(5, allocator.limit(0));
  }

  @Example
  void capacityBelowOnePerShard_isRejected() {
    assertThrows(IllegalArgumentException.class, () -> new CapacityAllocator(4, 3));
  }
}
