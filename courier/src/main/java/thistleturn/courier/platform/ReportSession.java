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
 * Reports one batch of outcomes over one connection to the platform. Nothing in a confirmation says
 * which batch it confirms, so no second batch follows: it could be confirmed by a copy.
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

  /** True once the batch is sent; a connection that is established later is closed. */
  private boolean sent;

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
    runAfterPollAt(nowUs() + CONNECT_TIMEOUT_US, this::closeUnlessSent);
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

  private void closeUnlessSent() {
    if (!sent) {
      closeIfCurrent();
    }
  }

  /** A session whose batch is confirmed is not the current one any more. */
  private void closeIfCurrent() {
    if (isCurrent()) {
      close("timeout");
    }
  }

  private void sendBatch() {
    final ByteBuf body = encode(notifier.batchInFlight());
    final var request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/v1/outcomes", body);
    request.headers().set(HttpHeaderNames.HOST, address.getHostString());
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    sent = true;
    write(request);
    runAfterPollAt(nowUs() + RESPONSE_TIMEOUT_US, this::closeIfCurrent);
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
      notifier.onBatchConfirmed(this);
    } else {
      close(ctx, "status " + responseHead.status().code());
    }
  }
}
