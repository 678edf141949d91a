package thistleturn.courier.platform;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Json;
import thistleturn.courier.runtime.PollTracker;

/**
 * Reports outcomes over one connection to the platform, one batch at a time.
 *
 * <p>A message ends 200 ms before its deadline, and its report is due 300 ms after the deadline.
 * The platform responds at once; if a connection is not established or is unresponsive, another
 * attempt on a new connection has to fit into that time.
 */
final class ReportSession extends PlatformSession {
  private static final long CONNECT_TIMEOUT_US = 200_000;
  private static final long RESPONSE_TIMEOUT_US = 200_000;
  private static final int STATUS_CONFIRMED = 204;

  private final HttpOutcomeNotifier notifier;
  private final InetSocketAddress address;
  private HttpResponse responseHead;

  /** Counts requests and confirmations, so that the timeout of an earlier one has no effect. */
  private long step;

  ReportSession(
      final HttpOutcomeNotifier notifier,
      final InetSocketAddress address,
      final EventLoop loop,
      final Clock clock,
      final PollTracker polls) {
    super(loop, clock, polls, "outcome report connection");
    this.notifier = notifier;
    this.address = address;
  }

  /** Begins to connect, in order to send the batch in flight. */
  void connect() {
    open(address);
    closeUnlessContinuedWithin(CONNECT_TIMEOUT_US);
  }

  @Override
  boolean isCurrent() {
    return notifier.isCurrentSession(this);
  }

  @Override
  void onConnected() {
    sendBatch();
  }

  @Override
  void onEnded() {
    notifier.onSessionEnded(this);
  }

  private void closeUnlessContinuedWithin(final long timeoutUs) {
    final long expectedStep = step;
    runAfterPollAt(
        nowUs() + timeoutUs,
        () -> {
          if (step == expectedStep && isCurrent()) {
            close("timeout");
          }
        });
  }

  /** Sends the batch in flight. The connection must be established. */
  void sendBatch() {
    final ByteBuf body = encode(notifier.batchInFlight());
    final var request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/v1/outcomes", body);
    request.headers().set(HttpHeaderNames.HOST, address.getHostString());
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    responseHead = null;
    step++;
    write(request);
    closeUnlessContinuedWithin(RESPONSE_TIMEOUT_US);
  }

  private static ByteBuf encode(final List<StoredMessage> batch) {
    final StringBuilder lines = new StringBuilder();
    batch.forEach(message -> lines.append(encodeLine(message)));
    return Unpooled.copiedBuffer(lines, StandardCharsets.UTF_8);
  }

  private static String encodeLine(final StoredMessage message) {
    final ObjectNode line = JsonNodeFactory.instance.objectNode().put("id", message.id());
    final StoredMessage.FinalOutcome outcome = message.finalOutcome();
    line.put("status", outcome.failed() ? "undeliverable" : "deferred");
    if (!outcome.failed() && outcome.retryAfterMs() > 0) {
      line.put("again_ms", outcome.retryAfterMs());
    }
    return Json.toText(line) + "\n";
  }

  @Override
  protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject part) {
    final boolean expected = isCurrent() && !notifier.batchInFlight().isEmpty();
    if (!expected || part.decoderResult().isFailure()) {
      // A response of a replaced session, or without a request, does not confirm the batch.
      close(ctx, expected ? "invalid_response" : "unexpected_bytes");
      return;
    }
    if (part instanceof HttpResponse head) {
      responseHead = head;
    }
    if (part instanceof LastHttpContent && responseHead != null) {
      onResponseComplete(ctx);
    }
  }

  private void onResponseComplete(final ChannelHandlerContext ctx) {
    if (responseHead.status().code() == STATUS_CONFIRMED) {
      step++;
      notifier.onBatchConfirmed(this, HttpUtil.isKeepAlive(responseHead));
    } else {
      close(ctx, "status " + responseHead.status().code());
    }
  }
}
