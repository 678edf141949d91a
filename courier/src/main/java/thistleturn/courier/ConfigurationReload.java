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
 * Reads the configuration again on request, and applies it to a running courier. One reading at a
 * time, so that of two requests in a row the later one's file applies. A file that cannot be used
 * changes nothing.
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

  /** Reads the configuration now; a transient failure is retried for a while. */
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
