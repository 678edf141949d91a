package thistleturn.courier;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.concurrent.TimeUnit;
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
    reload(clock.nowUs() + TransientFailures.RETRY_BUDGET_US);
  }

  private synchronized void reload(final long retryUntilUs) {
    try {
      final CourierConfig fresh = CourierConfig.read(environment);
      latestConfig.replace(fresh);
      shards.executeOnEach(shard -> shard.reload(fresh));
    } catch (final ConfigurationException e) {
      if (TransientFailures.isTransient(e) && clock.nowUs() < retryUntilUs) {
        eventLoop.schedule(
            () -> reload(retryUntilUs), TransientFailures.RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        return;
      }
      Log.info("SIGHUP: the configuration stays as it was: " + e.getMessage());
    }
    extension.onConfigurationReload();
  }
}
