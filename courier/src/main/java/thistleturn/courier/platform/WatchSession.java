package thistleturn.courier.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
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
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Json;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.runtime.PollTracker;
import thistleturn.decisions.discovery.WatchSequence;
import thistleturn.decisions.model.EndpointUpdate;

/**
 * One watch on the endpoint list, until its connection closes or it becomes unresponsive. If no
 * version of the list is known, it first requests a complete snapshot over the same connection.
 *
 * <p>Changes that a watch misses must be known 6 s after it became unresponsive. Detecting that,
 * connecting again and receiving the response have to fit into this time together.
 */
final class WatchSession extends PlatformSession implements JsonObjectFramer.Listener {
  /** The service sends a heartbeat every 2 s; only a complete line counts. */
  static final long SILENCE_TIMEOUT_US = 2_800_000;

  private static final long CONNECT_TIMEOUT_US = 800_000;

  /** The service may delay a response by 2 s. */
  private static final long RESPONSE_TIMEOUT_US = 2_200_000;

  private static final int OK = 200;

  private final DiscoveryClient client;
  private final InetSocketAddress address;
  private final JsonObjectFramer framer = new JsonObjectFramer(this);
  private final WatchSequence sequence;
  private Progress progress = Progress.WATCH_REQUESTED;

  /** True once the watch has sent a complete object or a heartbeat. */
  private boolean established;

  /** When the session is closed unless an object or a heartbeat is received before. */
  private long deadlineUs;

  /** What has been requested and received. */
  private enum Progress {
    SNAPSHOT_REQUESTED,
    /** The snapshot is published; its response has not ended. */
    SNAPSHOT_RECEIVED,
    WATCH_REQUESTED
  }

  WatchSession(
      final DiscoveryClient client,
      final InetSocketAddress address,
      final EventLoop loop,
      final Clock clock,
      final PollTracker polls) {
    super(loop, clock, polls, "endpoint list watch");
    this.client = client;
    this.address = address;
    this.sequence =
        new WatchSequence(client.hasListVersion() ? client.listVersion() : WatchSequence.UNKNOWN);
  }

  /** Begins to connect. */
  void connect() {
    extendDeadline(CONNECT_TIMEOUT_US);
    open(address);
    scheduleDeadlineCheck();
  }

  @Override
  boolean isCurrent() {
    return client.isCurrentWatch(this);
  }

  @Override
  void onConnected() {
    sendListRequest();
  }

  @Override
  void onEnded() {
    client.onWatchEnded(this);
  }

  private void sendListRequest() {
    extendDeadline(RESPONSE_TIMEOUT_US);
    final boolean snapshot = !client.hasListVersion();
    progress = snapshot ? Progress.SNAPSHOT_REQUESTED : Progress.WATCH_REQUESTED;
    final var request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.GET,
            snapshot
                ? "/discovery/hosts"
                : "/discovery/hosts?watch=1&after=" + client.listVersion());
    request.headers().set(HttpHeaderNames.HOST, address.getHostString());
    write(request);
  }

  private void extendDeadline(final long timeoutUs) {
    deadlineUs = nowUs() + timeoutUs;
  }

  private void scheduleDeadlineCheck() {
    final long checkedUs = deadlineUs;
    runAfterPollAt(checkedUs, () -> checkDeadline(checkedUs));
  }

  private void checkDeadline(final long checkedUs) {
    if (!isCurrent()) {
      return;
    }
    if (deadlineUs > checkedUs) {
      scheduleDeadlineCheck();
      return;
    }
    if (established) {
      // The time without updates counts towards the 6 s, so the next watch is opened at once.
      client.openWatch();
    }
    close("timeout");
  }

  @Override
  protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject part) {
    final boolean failed =
        part.decoderResult().isFailure()
            || (part instanceof HttpResponse response && response.status().code() != OK);
    if (failed || !isCurrent()) {
      close(ctx, failed ? "invalid_response" : "replaced");
      return;
    }
    if (part instanceof HttpContent content) {
      final byte[] bytes = new byte[content.content().readableBytes()];
      content.content().readBytes(bytes);
      framer.read(bytes);
    }
    if (part instanceof LastHttpContent) {
      onResponseEnd(ctx);
    }
  }

  private void onResponseEnd(final ChannelHandlerContext ctx) {
    if (progress == Progress.SNAPSHOT_RECEIVED) {
      sendListRequest();
    } else {
      close(ctx, "response_ended");
    }
  }

  @Override
  public void onObject(final String text) {
    try {
      applyLine(text, Json.read(text));
    } catch (final IOException e) {
      throw new IllegalArgumentException("cannot read the endpoint list: " + e.getMessage(), e);
    }
    if (progress == Progress.WATCH_REQUESTED) {
      onHeartbeat();
    } else {
      progress = Progress.SNAPSHOT_RECEIVED;
    }
  }

  private void applyLine(final String text, final JsonNode list) {
    final boolean complete = list.path("whole").asBoolean();
    final long version = list.path("seq").asLong(WatchSequence.UNKNOWN);
    switch (sequence.onLine(text, version, complete)) {
      case APPLY ->
          client.publish(
              list, complete ? EndpointUpdate.COMPLETE_SNAPSHOT : EndpointUpdate.CHANGES);
      case IGNORE -> Log.event(Event.LIST_LINE_IGNORED, "seq", version, "complete", complete);
      case REQUEST_COMPLETE_LIST -> {
        client.forgetListVersion();
        close("version_" + version + "_out_of_sequence");
      }
    }
  }

  @Override
  public void onLineEnd() {
    if (progress == Progress.WATCH_REQUESTED) {
      onHeartbeat();
    }
  }

  private void onHeartbeat() {
    established = true;
    client.onHeartbeat();
    extendDeadline(SILENCE_TIMEOUT_US);
  }
}
