package thistleturn.courier.shard;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.GuardedTasks;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.shards.ShardPlacement;

/**
 * Distributes the updates of one directory to several shards: each shard receives the endpoints of
 * its own destinations, on its own event loop.
 */
public final class SharedDirectory {
  private static final long FRESHNESS_PERIOD_MS = 250;

  private final EndpointDirectory shared;
  private final EventLoop owner;
  private final List<ShardView> shardViews = new ArrayList<>();

  /** The shard that has an endpoint, by the endpoint's name. */
  private final Map<String, Integer> shardsByEndpoint = new HashMap<>();

  private volatile boolean current;

  /**
   * Creates a view of a directory for each shard.
   *
   * @param shared the directory to distribute
   * @param owner the event loop on which {@code shared} lives
   * @param loops the event loops of all shards
   */
  public SharedDirectory(
      final EndpointDirectory shared, final EventLoop owner, final List<EventLoop> loops) {
    this.shared = shared;
    this.owner = owner;
    for (final EventLoop loop : loops) {
      shardViews.add(new ShardView(loop));
    }
  }

  /** Returns the directory that a shard follows. */
  public EndpointDirectory view(final int shard) {
    return shardViews.get(shard);
  }

  /** Starts the directory; every view was started before. Called on the owner's event loop. */
  public void start() {
    shared.start(this::distribute);
    owner.scheduleWithFixedDelay(
        GuardedTasks.guard("currency of the endpoint list", () -> current = shared.isCurrent()),
        0,
        FRESHNESS_PERIOD_MS,
        TimeUnit.MILLISECONDS);
  }

  private void distribute(
      final EndpointUpdate update, final List<EndpointDirectory.Entry> entries) {
    current = shared.isCurrent();
    final List<List<EndpointDirectory.Entry>> parts = new ArrayList<>();
    shardViews.forEach(view -> parts.add(new ArrayList<>()));
    for (final EndpointDirectory.Entry entry : entries) {
      final int shard = ShardPlacement.shardOf(entry.destination(), shardViews.size());
      final boolean removed = entry.state() == EndpointState.GONE;
      final Integer previousShard =
          removed
              ? shardsByEndpoint.remove(entry.name())
              : shardsByEndpoint.put(entry.name(), shard);
      if (previousShard != null && previousShard != shard) {
        // The endpoint serves another destination now: remove it from its former shard.
        parts
            .get(previousShard)
            .add(
                new EndpointDirectory.Entry(
                    entry.name(),
                    EndpointState.GONE,
                    entry.address(),
                    entry.zone(),
                    entry.weight(),
                    entry.kind(),
                    entry.destination()));
      }
      parts.get(shard).add(entry);
    }
    for (int shard = 0; shard < shardViews.size(); shard++) {
      final ShardView view = shardViews.get(shard);
      final List<EndpointDirectory.Entry> part = parts.get(shard);
      if ((update != EndpointUpdate.CHANGES && update != EndpointUpdate.SUPPLEMENT)
          || !part.isEmpty()) {
        view.loop.execute(() -> view.listener.onUpdate(update, part));
      }
    }
  }

  /** The directory as one shard sees it. */
  private final class ShardView implements EndpointDirectory {
    private final EventLoop loop;
    private Listener listener;

    private ShardView(final EventLoop loop) {
      this.loop = loop;
    }

    @Override
    public void start(final Listener updateListener) {
      listener = updateListener;
    }

    @Override
    public void requestUpdates() {
      owner.execute(shared::requestUpdates);
    }

    @Override
    public boolean isCurrent() {
      return current;
    }

    @Override
    public void reload(final CourierConfig fresh) {
      if (shardViews.get(0) == this) {
        owner.execute(() -> shared.reload(fresh));
      }
    }
  }
}
