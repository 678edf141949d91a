package thistleturn.courier.shard;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.runtime.GuardedTasks;
import thistleturn.decisions.model.ResourceLimits;
import thistleturn.decisions.shards.CapacityAllocator;

/**
 * Moves room for calls and messages between shards; the decisions are {@link CapacityAllocator}'s.
 * It lives on one loop.
 */
public final class CapacityExchange {
  private static final long REBALANCE_PERIOD_MS = 50;

  private final EventLoop owner;
  private final List<EventLoop> loops;
  private final List<? extends Participant> participants;
  private final CapacityAllocator callCapacity;
  private final CapacityAllocator messageCapacity;

  /** What a shard uses, and whether its limits have held it back since it was last asked. */
  public record CapacityUsage(
      int callsInFlight,
      boolean callLimitReached,
      int pendingMessages,
      boolean messageLimitReached) {}

  /** A shard, as far as room goes. Called on its own loop. */
  public interface Participant {
    /** What it uses now. */
    CapacityUsage capacityUsage();

    /** What it keeps to from now on. */
    void applyCapacityLimits(int slotsNow, int maxOpenNow);
  }

  /** An even division to begin with. */
  public CapacityExchange(
      final ResourceLimits whole,
      final EventLoop owner,
      final List<EventLoop> loops,
      final List<? extends Participant> tenants) {
    this.owner = owner;
    this.loops = loops;
    this.participants = tenants;
    this.callCapacity = new CapacityAllocator(loops.size(), whole.concurrencyLimit());
    this.messageCapacity = new CapacityAllocator(loops.size(), whole.maxPendingMessages());
  }

  /** Begins to ask and to tell. Called on the owner's loop. */
  public void start() {
    for (int shard = 0; shard < loops.size(); shard++) {
      exchangeWith(shard);
    }
    owner.scheduleWithFixedDelay(
        GuardedTasks.guard("room among shards", this::rebalance),
        REBALANCE_PERIOD_MS,
        REBALANCE_PERIOD_MS,
        TimeUnit.MILLISECONDS);
  }

  private void rebalance() {
    callCapacity.rebalance();
    messageCapacity.rebalance();
    for (int shard = 0; shard < loops.size(); shard++) {
      exchangeWith(shard);
    }
  }

  /** Tells a shard its limits, and hears what it uses once it keeps to them. */
  private void exchangeWith(final int shard) {
    final int slotsNow = callCapacity.limit(shard);
    final int openNow = messageCapacity.limit(shard);
    loops
        .get(shard)
        .execute(
            () -> {
              participants.get(shard).applyCapacityLimits(slotsNow, openNow);
              final CapacityUsage use = participants.get(shard).capacityUsage();
              owner.execute(
                  () -> {
                    callCapacity.reportUsage(
                        shard, slotsNow, use.callsInFlight(), use.callLimitReached());
                    messageCapacity.reportUsage(
                        shard, openNow, use.pendingMessages(), use.messageLimitReached());
                  });
            });
  }
}
