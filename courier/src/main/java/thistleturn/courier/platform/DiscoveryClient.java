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
 * Provides the endpoint list of the platform's discovery service: first the copy in the
 * configuration, then the updates that a watch receives. When the watch is lost, unresponsive or
 * invalid, the listener is notified, and another watch is opened after a delay.
 */
public final class DiscoveryClient implements EndpointDirectory {
  /**
   * The shortest delay before another watch is opened. A change must be known 6 s after it can be
   * received, whatever failed before: the delay and two attempts, the first of which may be
   * rejected, have to fit into that time. The listener's own requests for updates do not suffice,
   * since their backoff grows. The delay is random up to {@link #MAX_RETRY_DELAY_US}, so that
   * couriers that lost their watches at the same time do not all connect again at once.
   */
  private static final long MIN_RETRY_DELAY_US = 1_200_000;

  private static final long MAX_RETRY_DELAY_US = 1_500_000;

  /** No known version of the list is valid at the service's address, because that has changed. */
  private static final long UNKNOWN_VERSION = -1;

  private final EventLoop loop;
  private final Clock clock;
  private final PollTracker polls;
  private final JsonNode configuredList;
  private Listener listener;
  private InetSocketAddress address;

  /** When a watch last sent a complete object or a heartbeat: the list was up to date then. */
  private long lastUpToDateUs;

  private long listVersion;
  private WatchSession currentWatch;

  /** Creates a client that is not connected. */
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
   * <p>A list that is not current may lack a destination that has been added since, so it is no
   * reason to reject the messages of an unknown destination. They are rejected later if the
   * destination has no endpoint in time.
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

  /** Switches to the configuration's address if it differs; the list there has other versions. */
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
      replaced.close("address_changed");
    }
  }

  // ---------------------------------------------------------------- called by WatchSession

  /** Opens a watch, which replaces the current one. */
  void openWatch() {
    final WatchSession watch = new WatchSession(this, address, loop, clock, polls);
    currentWatch = watch;
    watch.connect();
  }

  boolean isCurrentWatch(final WatchSession watch) {
    return currentWatch == watch;
  }

  /** Returns true if the changes since {@link #listVersion} can be requested. */
  boolean hasListVersion() {
    return listVersion != UNKNOWN_VERSION;
  }

  long listVersion() {
    return listVersion;
  }

  /** Requests the complete list with the next watch. */
  void forgetListVersion() {
    listVersion = UNKNOWN_VERSION;
  }

  /** Notifies the listener of an update. */
  void publish(final JsonNode list, final EndpointUpdate update) {
    final List<Entry> entries = EndpointListParser.parseEntries(list);
    listVersion = list.path("seq").asLong(listVersion);
    listener.onUpdate(update, entries);
  }

  /** Called when the current watch reports that the list is up to date. */
  void onHeartbeat() {
    lastUpToDateUs = clock.nowUs();
  }

  /** Called when a watch has ended; if it was the current one, another is opened after a delay. */
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
