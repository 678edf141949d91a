package thistleturn.courier;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.runtime.BackgroundExecutor;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.ConfigurationException;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.runtime.TransientFailures;

/**
 * Reloads the configuration on request and applies it to a running courier. Reloads run one at a
 * time, so that the file of the latest request applies. A file that cannot be used changes nothing.
 */
final class ConfigurationReload {
  private final Map<String, String> environment;
  private final LatestConfig latestConfig;
  private final CourierExtension extension;
  private final ShardGroup shards;
  private final EventLoop eventLoop;
  private final Clock clock;
  private final BackgroundExecutor background =
      new BackgroundExecutor("reload", "reload of the configuration");

  /** Why the configuration is read again; also the beginning of what is logged of it. */
  private enum Cause {
    /** It was requested: it applies even if nothing has changed. */
    SIGHUP,
    /** This process begins to decide in place of another one, which may have applied a change. */
    TAKEOVER
  }

  ConfigurationReload(final Map<String, String> environment, final ServerContext context) {
    this.environment = environment;
    this.latestConfig = context.latestConfig();
    this.extension = context.extension();
    this.shards = context.shards();
    this.eventLoop = context.eventLoop();
    this.clock = context.clock();
  }

  /** Reloads the configuration now; retries after a transient failure, for a limited time. */
  synchronized void reload() {
    reload(Cause.SIGHUP, clock.nowUs() + TransientFailures.RETRY_BUDGET_US);
  }

  /** Reloads the configuration soon, on another thread. */
  void reloadInBackground() {
    background.execute(this::reload);
  }

  /** Reloads the configuration soon, on another thread, if it differs from the latest one. */
  void reloadIfChanged() {
    final long retryUntilUs = clock.nowUs() + TransientFailures.RETRY_BUDGET_US;
    background.execute(() -> reload(Cause.TAKEOVER, retryUntilUs));
  }

  private synchronized void reload(final Cause cause, final long retryUntilUs) {
    try {
      final CourierConfig fresh = CourierConfig.read(environment);
      if (cause == Cause.TAKEOVER) {
        if (fresh.equals(latestConfig.get())) {
          return;
        }
        Log.info(cause + ": the configuration has changed since this process read it");
      }
      latestConfig.replace(fresh);
      shards.executeOnEach(shard -> shard.reload(fresh));
    } catch (final ConfigurationException e) {
      if (TransientFailures.isTransient(e) && clock.nowUs() < retryUntilUs) {
        eventLoop.schedule(
            () -> reload(cause, retryUntilUs),
            TransientFailures.RETRY_DELAY_MS,
            TimeUnit.MILLISECONDS);
        return;
      }
      Log.info(cause + ": the configuration stays as it was: " + e.getMessage());
    }
    extension.onConfigurationReload();
  }
}
