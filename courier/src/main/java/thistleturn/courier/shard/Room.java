package thistleturn.courier.shard;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.runtime.LoopTasks;
import thistleturn.decisions.model.ResourceLimits;
import thistleturn.decisions.shards.CapacityAllocator;

/**
 * Moves room for calls and messages between shards; the decisions are {@link CapacityAllocator}'s.
 * It lives on one loop.
 */
public final class Room {
  private static final long PERIOD_MS = 50;

  private final EventLoop owner;
  private final List<EventLoop> loops;
  private final List<? extends Tenant> tenants;
  private final CapacityAllocator slots;
  private final CapacityAllocator open;

  /** What a shard uses, and whether its limits have held it back since it was last asked. */
  public record Use(int slots, boolean slotsPressed, int open, boolean openPressed) {}

  /** A shard, as far as room goes. Called on its own loop. */
  public interface Tenant {
    /** What it uses now. */
    Use use();

    /** What it keeps to from now on. */
    void limit(int slotsNow, int maxOpenNow);
  }

  /** An even division to begin with. */
  public Room(
      final ResourceLimits whole,
      final EventLoop owner,
      final List<EventLoop> loops,
      final List<? extends Tenant> tenants) {
    this.owner = owner;
    this.loops = loops;
    this.tenants = tenants;
    this.slots = new CapacityAllocator(loops.size(), whole.concurrencyLimit());
    this.open = new CapacityAllocator(loops.size(), whole.maxPendingMessages());
  }

  /** Begins to ask and to tell. Called on the owner's loop. */
  public void start() {
    for (int shard = 0; shard < loops.size(); shard++) {
      tell(shard);
    }
    owner.scheduleWithFixedDelay(
        LoopTasks.guarded("room among shards", this::plan),
        PERIOD_MS,
        PERIOD_MS,
        TimeUnit.MILLISECONDS);
  }

  private void plan() {
    slots.rebalance();
    open.rebalance();
    for (int shard = 0; shard < loops.size(); shard++) {
      tell(shard);
    }
  }

  /** Tells a shard its limits, and hears what it uses once it keeps to them. */
  private void tell(final int shard) {
    final int slotsNow = slots.limit(shard);
    final int openNow = open.limit(shard);
    loops
        .get(shard)
        .execute(
            () -> {
              tenants.get(shard).limit(slotsNow, openNow);
              final Use use = tenants.get(shard).use();
              owner.execute(
                  () -> {
                    slots.reportUsage(shard, slotsNow, use.slots(), use.slotsPressed());
                    open.reportUsage(shard, openNow, use.open(), use.openPressed());
                  });
            });
  }
}
