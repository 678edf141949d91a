package thistleturn.courier.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.PollTracker;
import thistleturn.decisions.model.EndpointUpdate;

/**
 * The endpoint list of the platform's discovery service: at first the copy in the configuration,
 * then a watch on its changes. When the watch is lost, unresponsive or invalid, the listener is
 * notified, and another watch is opened after a while.
 */
public final class DiscoveryClient implements EndpointDirectory {
  /**
   * The delay until another watch is opened. The listener requests updates as well, but with a
   * growing backoff; a change must be known 6 s after it can be received, whatever failed before,
   * so this delay and two attempts, the first of which may be rejected, have to fit into that. The
   * range spreads the couriers that lost their watches at the same time.
   */
  private static final long MIN_RETRY_DELAY_US = 1_200_000;

  private static final long MAX_RETRY_DELAY_US = 1_500_000;

  /** The discovery service would not understand any version that is known here. */
  private static final long UNKNOWN_VERSION = -1;

  private final EventLoop loop;
  private final Clock clock;
  private final PollTracker polls;
  private final JsonNode configuredList;
  private Listener listener;
  private InetSocketAddress address;

  /** When a watch last reported something complete: the list was up to date then. */
  private long lastUpToDateUs;

  private long listVersion;
  private WatchSession currentWatch;

  /** Creates a client that requests nothing yet. */
  public DiscoveryClient(
      final CourierConfig config,
      final EventLoop loop,
      final Clock clock,
      final PollTracker polls) {
    this.configuredList = config.initialEndpointList();
    this.loop = loop;
    this.clock = clock;
    this.polls = polls;
    this.address = config.discoveryAddress();
  }

  @Override
  public void start(final Listener updateListener) {
    listener = updateListener;
    if (configuredList.path("hosts").isArray()) {
      publish(configuredList, EndpointUpdate.RESTORED_SNAPSHOT);
    }
  }

  /**
   * {@inheritDoc}
   *
   * <p>While the list is outdated a destination that it does not contain may have been added: it
   * would be wrong to reject its messages. If it has no endpoint in time they are rejected later.
   */
  @Override
  public boolean isCurrent() {
    return clock.nowUs() - lastUpToDateUs <= WatchSession.SILENCE_TIMEOUT_US;
  }

  @Override
  public void requestUpdates() {
    if (currentWatch == null) {
      openWatch();
    }
  }

  /** Uses the address of another configuration, whose list has versions of its own. */
  @Override
  public void reload(final CourierConfig config) {
    final InetSocketAddress latest = config.discoveryAddress();
    if (latest.equals(address)) {
      return;
    }
    address = latest;
    listVersion = UNKNOWN_VERSION;
    final WatchSession replaced = currentWatch;
    openWatch();
    if (replaced != null) {
      replaced.close();
    }
  }

  // ---------------------------------------------------------------- for the watch

  /** Opens a watch, which takes the place of the current one. */
  void openWatch() {
    final WatchSession watch = new WatchSession(this, address, loop, clock, polls);
    currentWatch = watch;
    watch.connect();
  }

  boolean isCurrentWatch(final WatchSession watch) {
    return currentWatch == watch;
  }

  /** True if the changes since {@link #listVersion} can be requested. */
  boolean hasListVersion() {
    return listVersion != UNKNOWN_VERSION;
  }

  long listVersion() {
    return listVersion;
  }

  /** Notifies the listener of an update. */
  void publish(final JsonNode list, final EndpointUpdate update) {
    final List<Entry> entries = EndpointListParser.parseEntries(list);
    listVersion = list.path("seq").asLong(listVersion);
    listener.onUpdate(update, entries);
  }

  /** The current watch reported that the list is up to date. */
  void onHeartbeat() {
    lastUpToDateUs = clock.nowUs();
  }

  /** A watch has ended; if it was the current one another is opened after a while. */
  void onWatchEnded(final WatchSession watch) {
    if (isCurrentWatch(watch)) {
      currentWatch = null;
      listener.onUpdate(EndpointUpdate.UNAVAILABLE, List.of());
      loop.schedule(
          this::requestUpdates,
          ThreadLocalRandom.current().nextLong(MIN_RETRY_DELAY_US, MAX_RETRY_DELAY_US),
          TimeUnit.MICROSECONDS);
    }
  }
}
