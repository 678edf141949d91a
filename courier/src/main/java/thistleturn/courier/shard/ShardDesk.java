package thistleturn.courier.shard;

import io.netty.channel.EventLoop;
import java.util.List;
import thistleturn.courier.port.Front;
import thistleturn.courier.port.Held;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.shards.ShardPlacement;

/**
 * The desk of a front on one loop: a message goes to the loop that owns its destination, and its
 * answer comes back.
 */
public final class ShardDesk implements Front.Desk {
  private final int own;
  private final List<EventLoop> loops;
  private final List<? extends Front.Desk> desks;

  /**
   * {@code desks} are the shards' own, in the order of their loops; {@code own} is the one of this
   * front's loop.
   */
  public ShardDesk(
      final int own, final List<EventLoop> loops, final List<? extends Front.Desk> desks) {
    this.own = own;
    this.loops = List.copyOf(loops);
    this.desks = List.copyOf(desks);
  }

  @Override
  public MessageClass kind(final String className) {
    return desks.get(own).kind(className);
  }

  @Override
  public boolean isOwn(final long destination) {
    return ShardPlacement.shardOf(destination, desks.size()) == own;
  }

  @Override
  public void offer(final Held held, final long validUntilUs, final Front.Reply reply) {
    final int shard = ShardPlacement.shardOf(held.destination(), desks.size());
    if (shard == own) {
      desks.get(own).offer(held, validUntilUs, reply);
    } else {
      loops
          .get(shard)
          .execute(() -> desks.get(shard).offer(held, validUntilUs, new Returned(reply)));
    }
  }

  @Override
  public void withdraw(final String id, final long destination) {
    final int shard = ShardPlacement.shardOf(destination, desks.size());
    if (shard == own) {
      desks.get(own).withdraw(id, destination);
    } else {
      loops.get(shard).execute(() -> desks.get(shard).withdraw(id, destination));
    }
  }

  /** Takes an answer back to the loop of the connection that it belongs to. */
  private final class Returned implements Front.Reply {
    private final Front.Reply reply;

    private Returned(final Front.Reply reply) {
      this.reply = reply;
    }

    @Override
    public void accepted() {
      loops.get(own).execute(reply::accepted);
    }

    @Override
    public void refused(final Front.Refusal why, final long retryAfterUs) {
      loops.get(own).execute(() -> reply.refused(why, retryAfterUs));
    }

    @Override
    public void failed() {
      loops.get(own).execute(reply::failed);
    }

    @Override
    public void unusable(final Front.Fault fault) {
      loops.get(own).execute(() -> reply.unusable(fault));
    }
  }
}
