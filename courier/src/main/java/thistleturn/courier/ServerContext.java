package thistleturn.courier;

import io.netty.channel.EventLoop;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.CourierOptions;

/**
 * What the parts of a courier server share.
 *
 * @param config the configuration as it was read at the start
 * @param options the size of this courier
 * @param clock the monotonic clock of the process
 * @param latestConfig the configuration as it was read last
 * @param extension the additional subsystem
 * @param shards all shards
 * @param stateFolder the folder that outlasts the process
 * @param lifecycle the state of the process
 * @param progress the progress of the start
 */
record ServerContext(
    CourierConfig config,
    CourierOptions options,
    Clock clock,
    LatestConfig latestConfig,
    CourierExtension extension,
    ShardGroup shards,
    StateFolder stateFolder,
    Lifecycle lifecycle,
    StartupProgress progress) {

  /** Returns the event loop that owns what all shards share. */
  EventLoop eventLoop() {
    return shards.first().eventLoop();
  }

  /**
   * Returns whether an address for operators is configured, so that a newer process may take over
   * as well.
   */
  boolean hasOperators() {
    return config.operatorAddress() != null;
  }
}
