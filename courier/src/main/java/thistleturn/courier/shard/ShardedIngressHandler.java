package thistleturn.courier.shard;

import io.netty.channel.EventLoop;
import java.util.List;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.IngressHandler;
import thistleturn.courier.port.StoredMessage;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.shards.ShardPlacement;

/**
 * The desk of a front on one loop: a message goes to the loop that owns its destination, and its
 * answer comes back.
 */
public final class ShardedIngressHandler implements IngressHandler {
  private final int ownShard;
  private final List<EventLoop> loops;
  private final List<? extends IngressHandler> handlers;

  /**
   * {@code desks} are the shards' own, in the order of their loops; {@code own} is the one of this
   * front's loop.
   */
  public ShardedIngressHandler(
      final int own, final List<EventLoop> loops, final List<? extends IngressHandler> desks) {
    this.ownShard = own;
    this.loops = List.copyOf(loops);
    this.handlers = List.copyOf(desks);
  }

  @Override
  public MessageClass messageClass(final String className) {
    return handlers.get(ownShard).messageClass(className);
  }

  @Override
  public boolean isAnsweredOnThisLoop(final long destination) {
    return ShardPlacement.shardOf(destination, handlers.size()) == ownShard;
  }

  @Override
  public void submit(final StoredMessage held, final long validUntilUs, final Ingress.Reply reply) {
    final int shard = ShardPlacement.shardOf(held.destination(), handlers.size());
    if (shard == ownShard) {
      handlers.get(ownShard).submit(held, validUntilUs, reply);
    } else {
      loops
          .get(shard)
          .execute(
              () ->
                  handlers.get(shard).submit(held, validUntilUs, new ReplyOnConnectionLoop(reply)));
    }
  }

  @Override
  public void withdraw(final String id, final long destination) {
    final int shard = ShardPlacement.shardOf(destination, handlers.size());
    if (shard == ownShard) {
      handlers.get(ownShard).withdraw(id, destination);
    } else {
      loops.get(shard).execute(() -> handlers.get(shard).withdraw(id, destination));
    }
  }

  /** Takes an answer back to the loop of the connection that it belongs to. */
  private final class ReplyOnConnectionLoop implements Ingress.Reply {
    private final Ingress.Reply reply;

    private ReplyOnConnectionLoop(final Ingress.Reply reply) {
      this.reply = reply;
    }

    @Override
    public void accepted() {
      loops.get(ownShard).execute(reply::accepted);
    }

    @Override
    public void rejected(final Ingress.RejectionReason why, final long retryAfterUs) {
      loops.get(ownShard).execute(() -> reply.rejected(why, retryAfterUs));
    }

    @Override
    public void failed() {
      loops.get(ownShard).execute(reply::failed);
    }

    @Override
    public void invalid(final Ingress.InvalidReason fault) {
      loops.get(ownShard).execute(() -> reply.invalid(fault));
    }
  }
}
