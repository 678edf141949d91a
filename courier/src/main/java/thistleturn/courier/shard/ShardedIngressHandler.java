package thistleturn.courier.shard;

import io.netty.channel.EventLoop;
import java.util.List;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.IngressHandler;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.port.Submission;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.shards.ShardPlacement;

/**
 * The handler of an ingress on one event loop: a message goes to the event loop of the shard that
 * owns its destination, and the reply returns to the event loop of the connection.
 */
public final class ShardedIngressHandler implements IngressHandler {
  private final int ownShard;
  private final List<EventLoop> loops;
  private final List<? extends IngressHandler> handlers;

  /**
   * Creates the handler of one shard's ingress.
   *
   * @param ownShard the number of that shard
   * @param loops the event loops of all shards
   * @param handlers the handlers of all shards, in the same order
   */
  public ShardedIngressHandler(
      final int ownShard,
      final List<EventLoop> loops,
      final List<? extends IngressHandler> handlers) {
    this.ownShard = ownShard;
    this.loops = List.copyOf(loops);
    this.handlers = List.copyOf(handlers);
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
  public void submit(
      final StoredMessage message, final long deadlineUs, final Ingress.Reply reply) {
    final int shard = ShardPlacement.shardOf(message.destination(), handlers.size());
    if (shard == ownShard) {
      handlers.get(ownShard).submit(message, deadlineUs, reply);
    } else {
      loops
          .get(shard)
          .execute(
              () ->
                  handlers
                      .get(shard)
                      .submit(message, deadlineUs, new ReplyOnConnectionLoop(reply)));
    }
  }

  @Override
  public void withdraw(final Submission submission) {
    final int shard = ShardPlacement.shardOf(submission.destination(), handlers.size());
    if (shard == ownShard) {
      handlers.get(ownShard).withdraw(submission);
    } else {
      loops.get(shard).execute(() -> handlers.get(shard).withdraw(submission));
    }
  }

  /** Passes a reply to the event loop of the connection that it belongs to. */
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
    public void rejected(final Ingress.RejectionReason reason, final long retryAfterUs) {
      loops.get(ownShard).execute(() -> reply.rejected(reason, retryAfterUs));
    }

    @Override
    public void failed() {
      loops.get(ownShard).execute(reply::failed);
    }

    @Override
    public void invalid(final Ingress.InvalidReason reason) {
      loops.get(ownShard).execute(() -> reply.invalid(reason));
    }
  }
}
