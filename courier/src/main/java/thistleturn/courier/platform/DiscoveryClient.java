package thistleturn.courier.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.Json;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.runtime.PollTracker;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;

/**
 * The list of endpoints: the copy from the configuration at first, then a watch on its changes.
 * When the watch breaks, falls silent or says what cannot be read, the decisions are told that it
 * is lost; they say when to ask again.
 */
public final class DiscoveryClient implements EndpointDirectory {
  /**
   * What a watch misses counts as told 6 s after it fell silent: to find that out, to connect and
   * to be answered may take no longer, all three together. A line comes every 2 s; one that is not
   * whole by then, however many of its bytes have come, has not come.
   */
  private static final long SILENCE_TIMEOUT_US = 2_800_000;

  private static final long CONNECT_TIMEOUT_US = 800_000;

  /** An answer waits its turn for two seconds at most. */
  private static final long RESPONSE_TIMEOUT_US = 2_200_000;

  /**
   * The decisions say when to ask again, and wait longer each time. But a change counts as told 6 s
   * after it could be had, whatever failed before: this wait and two tries, of which the first may
   * be turned away, have to fit into that. Couriers that lost it in one moment do not ask in one.
   */
  private static final long MIN_RETRY_DELAY_US = 1_200_000;

  private static final long MAX_RETRY_DELAY_US = 1_500_000;

  /** No version of the list is known that the one asked would understand. */
  private static final long UNKNOWN_VERSION = -1;

  private static final int OK = 200;

  private final EventLoop loop;
  private final Clock clock;
  private final PollTracker turns;
  private final JsonNode configuredList;
  private Listener listener;
  private InetSocketAddress address;

  /** When a watch last said something whole: the list was up to date then. */
  private long lastUpToDateUs;

  private long listVersion;
  private WatchSession currentWatch;

  /** A watch that does not ask for anything yet. */
  public DiscoveryClient(
      final CourierConfig config,
      final EventLoop loop,
      final Clock clock,
      final PollTracker turns) {
    this.configuredList = config.initialEndpointList();
    this.loop = loop;
    this.clock = clock;
    this.turns = turns;
    this.address = config.discoveryAddress();
  }

  @Override
  public void start(final Listener told) {
    listener = told;
    if (configuredList.path("hosts").isArray()) {
      publish(configuredList, EndpointUpdate.RESTORED_SNAPSHOT);
    }
  }

  /**
   * While the watch lives, what it does not name does not exist. While the list is old nothing is
   * known not to exist: refusing a destination that was added meanwhile would be wrong, and what
   * has no endpoint in time is refused later.
   */
  @Override
  public boolean isCurrent() {
    return clock.nowUs() - lastUpToDateUs <= SILENCE_TIMEOUT_US;
  }

  @Override
  public void requestUpdates() {
    if (currentWatch != null) {
      return;
    }
    openWatch();
  }

  /** From now on the list is at another address, whose versions are numbered in their own way. */
  @Override
  public void reload(final CourierConfig fresh) {
    final InetSocketAddress next = fresh.discoveryAddress();
    if (next.equals(address)) {
      return;
    }
    address = next;
    listVersion = UNKNOWN_VERSION;
    final WatchSession old = currentWatch;
    openWatch();
    if (old != null) {
      old.close();
    }
  }

  private void openWatch() {
    final WatchSession fresh = new WatchSession();
    currentWatch = fresh;
    fresh.connect();
  }

  private void publish(final JsonNode list, final EndpointUpdate update) {
    final List<Entry> listings = new ArrayList<>();
    for (final JsonNode node : list.path("hosts")) {
      listings.add(parseListing(node));
    }
    listVersion = list.path("seq").asLong(listVersion);
    listener.onUpdate(update, listings);
  }

  private static Entry parseListing(final JsonNode node) {
    final String name = node.path("host").asText();
    if (name.isEmpty() || !node.path("block").canConvertToLong()) {
      throw new IllegalArgumentException("an entry without a host or a block: " + node);
    }
    final EndpointState condition =
        switch (node.path("health").asText()) {
          case "Ready" -> EndpointState.LISTED;
          case "Terminating" -> EndpointState.DRAINING;
          case "Gone" -> EndpointState.GONE;
          default -> throw new IllegalArgumentException("unknown health: " + node);
        };
    return new Entry(
        name,
        condition,
        CourierConfig.parseAddress("dial", node.path("dial").asText()),
        node.path("site").asText(),
        node.path("share").asDouble(0),
        node.path("class").asText(),
        node.path("block").asLong());
  }

  /**
   * One watch, until its connection ends or it falls silent; before it the whole list, where no
   * version is known.
   */
  private final class WatchSession extends SimpleChannelInboundHandler<HttpObject>
      implements JsonObjectFramer.Listener {
    private final JsonObjectFramer framer = new JsonObjectFramer(this);
    private PlatformConnection connection;
    private boolean snapshotRequested;

    /** The whole list that was asked for has come. */
    private boolean snapshotReceived;

    /** It has said something: its answer is not waited for any more, but its next line. */
    private boolean established;

    /** When it is given up unless something whole comes before. */
    private long deadlineUs;

    private void connect() {
      extendDeadline(CONNECT_TIMEOUT_US);
      connection = PlatformConnection.open(loop, address, this, this::onLost);
      scheduleDeadlineCheck();
    }

    @Override
    public void channelActive(final ChannelHandlerContext ctx) {
      if (currentWatch == this) {
        sendListRequest();
      } else {
        ctx.close();
      }
    }

    private void sendListRequest() {
      extendDeadline(RESPONSE_TIMEOUT_US);
      snapshotRequested = listVersion == UNKNOWN_VERSION;
      final var request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.GET,
              snapshotRequested
                  ? "/discovery/hosts"
                  : "/discovery/hosts?watch=1&after=" + listVersion);
      request.headers().set(HttpHeaderNames.HOST, address.getHostString());
      connection.write(request);
    }

    private void extendDeadline(final long withinUs) {
      deadlineUs = clock.nowUs() + withinUs;
    }

    /** What has come by the time that is over counts: it is read before the watch is given up. */
    private void scheduleDeadlineCheck() {
      final long checkedUs = deadlineUs;
      loop.schedule(
          () ->
              turns.runAfterPoll(
                  loop,
                  checkedUs,
                  () -> {
                    if (currentWatch != this) {
                      return;
                    }
                    if (deadlineUs > checkedUs) {
                      scheduleDeadlineCheck();
                    } else if (established) {
                      // It is opened anew at once: for how long nothing was told is known, and
                      // counts.
                      openWatch();
                      close();
                    } else {
                      close();
                    }
                  }),
          Math.max(0, checkedUs - clock.nowUs()),
          TimeUnit.MICROSECONDS);
    }

    private void close() {
      connection.close();
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject part) {
      if (currentWatch != this
          || part.decoderResult().isFailure()
          || (part instanceof HttpResponse response && response.status().code() != OK)) {
        ctx.close();
        return;
      }
      if (part instanceof HttpContent content) {
        final byte[] bytes = new byte[content.content().readableBytes()];
        content.content().readBytes(bytes);
        framer.read(bytes);
      }
      if (part instanceof LastHttpContent && snapshotReceived) {
        snapshotReceived = false;
        sendListRequest();
      } else if (part instanceof LastHttpContent) {
        ctx.close();
      }
    }

    @Override
    public void onObject(final String text) {
      try {
        final JsonNode list = Json.read(text);
        publish(
            list,
            list.path("whole").asBoolean()
                ? EndpointUpdate.COMPLETE_SNAPSHOT
                : EndpointUpdate.CHANGES);
      } catch (final IOException e) {
        throw new IllegalArgumentException("the list cannot be read: " + e.getMessage(), e);
      }
      if (snapshotRequested) {
        snapshotReceived = true;
      } else {
        onHeartbeat();
      }
    }

    @Override
    public void onLineEnd() {
      if (!snapshotRequested) {
        onHeartbeat();
      }
    }

    private void onHeartbeat() {
      established = true;
      lastUpToDateUs = clock.nowUs();
      extendDeadline(SILENCE_TIMEOUT_US);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext ctx) {
      onLost();
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
      if (!(cause instanceof IOException)) {
        Log.failure("watch on the list", cause);
      }
      ctx.close();
    }

    private void onLost() {
      if (currentWatch == this) {
        currentWatch = null;
        listener.onUpdate(EndpointUpdate.UNAVAILABLE, List.of());
        loop.schedule(
            DiscoveryClient.this::requestUpdates,
            ThreadLocalRandom.current().nextLong(MIN_RETRY_DELAY_US, MAX_RETRY_DELAY_US),
            TimeUnit.MICROSECONDS);
      }
    }
  }
}
