package thistleturn.courier.shard;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.runtime.GuardedTasks;
import thistleturn.decisions.model.ResourceLimits;
import thistleturn.decisions.shards.CapacityAllocator;

/**
 * Moves capacity for calls and messages between shards, as {@link CapacityAllocator} decides. It
 * lives on one event loop, and reaches each shard by tasks on that shard's event loop.
 */
public final class CapacityExchange {
  private static final long REBALANCE_PERIOD_MS = 50;

  private final EventLoop owner;
  private final List<EventLoop> loops;
  private final List<? extends Participant> participants;
  private final CapacityAllocator callCapacity;
  private final CapacityAllocator messageCapacity;

  /**
   * The capacity that a shard uses, and whether it reached its limits since the last query.
   *
   * @param callsInFlight calls that are in flight now
   * @param callLimitReached whether calls needed more capacity than their limit
   * @param pendingMessages messages that are pending now
   * @param messageLimitReached whether nearly all of the limit on messages was in use
   */
  public record CapacityUsage(
      int callsInFlight,
      boolean callLimitReached,
      int pendingMessages,
      boolean messageLimitReached) {}

  /** A shard that shares capacity with others. Called on its own event loop. */
  public interface Participant {
    /** Returns the capacity in use. */
    CapacityUsage capacityUsage();

    /** Sets the limits that apply from now on. */
    void applyCapacityLimits(int concurrencyLimit, int maxPendingMessages);
  }

  /** Creates an exchange that divides the limits evenly at first. */
  public CapacityExchange(
      final ResourceLimits limits,
      final EventLoop owner,
      final List<EventLoop> loops,
      final List<? extends Participant> participants) {
    this.owner = owner;
    this.loops = loops;
    this.participants = participants;
    this.callCapacity = new CapacityAllocator(loops.size(), limits.concurrencyLimit());
    this.messageCapacity = new CapacityAllocator(loops.size(), limits.maxPendingMessages());
  }

  /** Starts to move capacity. Called on the owner's event loop. */
  public void start() {
    for (int shard = 0; shard < loops.size(); shard++) {
      exchangeWith(shard);
    }
    owner.scheduleWithFixedDelay(
        GuardedTasks.guard("capacity exchange among shards", this::rebalance),
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

  /** Sets a shard's limits, and receives what it uses under them. */
  private void exchangeWith(final int shard) {
    final int callLimit = callCapacity.limit(shard);
    final int messageLimit = messageCapacity.limit(shard);
    loops
        .get(shard)
        .execute(
            () -> {
              participants.get(shard).applyCapacityLimits(callLimit, messageLimit);
              final CapacityUsage usage = participants.get(shard).capacityUsage();
              owner.execute(
                  () -> {
                    callCapacity.reportUsage(
                        shard, callLimit, usage.callsInFlight(), usage.callLimitReached());
                    messageCapacity.reportUsage(
                        shard, messageLimit, usage.pendingMessages(), usage.messageLimitReached());
                  });
            });
  }
}
