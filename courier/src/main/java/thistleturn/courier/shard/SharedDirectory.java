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

/** One directory for several shards: each is told of its own destinations, on its own loop. */
public final class SharedDirectory {
  private static final long FRESHNESS_PERIOD_MS = 250;

  private final EndpointDirectory shared;
  private final EventLoop owner;
  private final List<ShardView> shardViews = new ArrayList<>();

  /** Which shard knows an endpoint. */
  private final Map<String, Integer> shardsByEndpoint = new HashMap<>();

  private volatile boolean fresh;

  /** {@code shared} lives on {@code owner}; each other loop is a shard's. */
  public SharedDirectory(
      final EndpointDirectory shared, final EventLoop owner, final List<EventLoop> loops) {
    this.shared = shared;
    this.owner = owner;
    for (final EventLoop loop : loops) {
      shardViews.add(new ShardView(loop));
    }
  }

  /** What a shard follows. */
  public EndpointDirectory view(final int shard) {
    return shardViews.get(shard);
  }

  /** Begins; every view must have been started before. Called on the owner's loop. */
  public void start() {
    shared.start(this::distribute);
    owner.scheduleWithFixedDelay(
        GuardedTasks.guard("freshness of the list", () -> fresh = shared.isCurrent()),
        0,
        FRESHNESS_PERIOD_MS,
        TimeUnit.MILLISECONDS);
  }

  private void distribute(
      final EndpointUpdate update, final List<EndpointDirectory.Entry> listings) {
    fresh = shared.isCurrent();
    final List<List<EndpointDirectory.Entry>> parts = new ArrayList<>();
    shardViews.forEach(view -> parts.add(new ArrayList<>()));
    for (final EndpointDirectory.Entry listing : listings) {
      final int shard = ShardPlacement.shardOf(listing.destination(), shardViews.size());
      final boolean gone = listing.state() == EndpointState.GONE;
      final Integer before =
          gone
              ? shardsByEndpoint.remove(listing.name())
              : shardsByEndpoint.put(listing.name(), shard);
      if (before != null && before != shard) {
        // It serves another destination now: for the shard that knew it, it is gone.
        parts
            .get(before)
            .add(
                new EndpointDirectory.Entry(
                    listing.name(),
                    EndpointState.GONE,
                    listing.address(),
                    listing.zone(),
                    listing.weight(),
                    listing.kind(),
                    listing.destination()));
      }
      parts.get(shard).add(listing);
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
    public void start(final Listener told) {
      listener = told;
    }

    @Override
    public void requestUpdates() {
      owner.execute(shared::requestUpdates);
    }

    @Override
    public boolean isCurrent() {
      return fresh;
    }

    @Override
    public void reload(final CourierConfig changed) {
      if (shardViews.get(0) == this) {
        owner.execute(() -> shared.reload(changed));
      }
    }
  }
}
