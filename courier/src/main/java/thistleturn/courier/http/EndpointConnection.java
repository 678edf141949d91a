package thistleturn.courier.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Json;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.pools.ConnectionLoss;

/** Reads the answers of one connection. */
final class EndpointConnection extends SimpleChannelInboundHandler<HttpObject>
    implements ResponseDecoder.Listener {
  private static final int MAX_BODY_BYTES = 1 << 16;
  private static final int MIN_FINAL_STATUS = 200;
  private static final int MAX_STATUS = 599;

  /** An answer that has begun comes whole within this, ms: its sender has it all. */
  private static final long RESPONSE_COMPLETION_TIMEOUT_MS = 500;

  /** For how long the answer to a call that was given up is still looked at. */
  private static final long LINGER_MS = 500;

  private final HttpDispatcher dispatcher;
  private final EventLoop loop;
  private final Clock clock;
  private ChannelHandlerContext context;
  private HttpCall call;

  /** Whose call was given up here; null: none. Nothing goes over it any more. */
  private EndpointConnectionPool abandonedPool;

  /** Where it was last kept while it carried no call; null while it carries its first one. */
  private EndpointConnectionPool pool;

  private long idleSinceUs;

  /** When its present call was written. */
  private long writtenUs;

  /** The answer's first line, as soon as it has come; its head, once that has. */
  private HttpResponse statusLine;

  private HttpResponse responseHead;
  private boolean keepAlive;

  /** An answer has begun and is not whole. */
  private boolean responseStarted;

  private ByteArrayOutputStream responseBody;

  /** When an answer that has begun is given up. */
  private Future<?> completionTimer;

  EndpointConnection(final HttpDispatcher carrier, final EventLoop loop, final Clock clock) {
    this.dispatcher = carrier;
    this.loop = loop;
    this.clock = clock;
  }

  boolean isActive() {
    return context.channel().isActive();
  }

  /** Since when it carries no call, us. */
  long idleSinceUs() {
    return idleSinceUs;
  }

  @Override
  public void handlerAdded(final ChannelHandlerContext added) {
    context = added;
  }

  void send(final HttpCall next) {
    call = next;
    writtenUs = clock.nowUs();
    call.channel = context.channel();
    call.connection = this;
    statusLine = null;
    responseHead = null;
    responseBody = null;
    context
        .writeAndFlush(CallRequestEncoder.encode(call, clock.nowUs()))
        .addListener(
            done -> {
              if (done.isSuccess()) {
                dispatcher.onCallWritten(next);
              }
            });
  }

  void close() {
    if (call == null) {
      removeFromPool();
      context.close();
    }
  }

  /**
   * Gives its call up by ending its sending. An answer may be written in that very moment, or lie
   * there unread: the wait that it tells binds, so that it is read for a while, and counts for
   * nothing else.
   */
  void abandonCall() {
    abandonedPool = call.pool;
    call = null;
    cancelCompletionTimer();
    if (responseHead != null) {
      reportLateRetryAfter(responseHead);
    }
    if (context.channel() instanceof SocketChannel socket) {
      socket.shutdownOutput();
    }
    loop.schedule(() -> context.close(), LINGER_MS, TimeUnit.MILLISECONDS);
  }

  private void reportLateRetryAfter(final HttpResponse late) {
    final long waitUs = EndpointResponseParser.retryAfterUs(late);
    if (waitUs > 0) {
      dispatcher.toldToWait(abandonedPool, waitUs);
    }
  }

  private void removeFromPool() {
    if (pool != null) {
      dispatcher.removeIdle(this, pool);
    }
  }

  @Override
  protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject part) {
    if (abandonedPool != null) {
      if (part instanceof HttpResponse late && part.decoderResult().isSuccess()) {
        reportLateRetryAfter(late);
      }
      return;
    }
    if (call == null || part.decoderResult().isFailure()) {
      // Bytes that answer nothing, or nothing that can be read: this connection cannot be trusted.
      onConnectionBroken(AttemptResult.ERROR);
      return;
    }
    if (part instanceof HttpResponse response) {
      final int code = response.status().code();
      if (code > MAX_STATUS || !RequestDecoder.hasUnambiguousFraming(response)) {
        onConnectionBroken(AttemptResult.ERROR);
        return;
      }
      responseHead = response;
      keepAlive = HttpUtil.isKeepAlive(response);
    }
    if (part instanceof HttpContent content) {
      final int more = content.content().readableBytes();
      if (more > 0) {
        responseBody = responseBody == null ? new ByteArrayOutputStream(more) : responseBody;
        if (responseBody.size() + more > MAX_BODY_BYTES) {
          onConnectionBroken(AttemptResult.ERROR);
          return;
        }
        appendBody(content.content());
      }
    }
    if (part instanceof LastHttpContent && responseHead != null) {
      cancelCompletionTimer();
      if (responseHead.status().code() >= MIN_FINAL_STATUS) {
        onResponseComplete();
      } else {
        statusLine = null;
        responseHead = null;
      }
    }
  }

  @Override
  public void onResponseStarted() {
    if (abandonedPool != null) {
      return;
    }
    if (call == null || !call.written) {
      // It answers no call, or comes before its call: it belongs to an earlier one.
      onConnectionBroken(AttemptResult.RESET);
    } else {
      responseStarted = true;
    }
  }

  /**
   * What has come does not make an answer whole: the rest is waited for. Most come in one piece.
   */
  @Override
  public void channelReadComplete(final ChannelHandlerContext ctx) {
    if (responseStarted && completionTimer == null && call != null) {
      completionTimer =
          loop.schedule(
              () -> onConnectionBroken(AttemptResult.ERROR),
              RESPONSE_COMPLETION_TIMEOUT_MS,
              TimeUnit.MILLISECONDS);
    }
    ctx.fireChannelReadComplete();
  }

  @Override
  public void onStatusLine(final HttpResponse answer) {
    statusLine = answer;
  }

  private void cancelCompletionTimer() {
    responseStarted = false;
    if (completionTimer != null) {
      completionTimer.cancel(false);
      completionTimer = null;
    }
  }

  /**
   * True if the answer to this call says so in its first line; to a call with several messages only
   * all of it tells.
   */
  boolean isDelivered(final HttpCall of) {
    return of == call
        && statusLine != null
        && statusLine.status().code() == EndpointResponseParser.OK
        && of.written
        && !of.isBulk()
        && statusLine.protocolVersion().majorVersion() == 1;
  }

  /**
   * What a delivery tells whose answer was cut off: waits and reports only if its head came whole.
   */
  Dispatcher.DispatchOutcome partialDelivery() {
    return responseHead == null
        ? new Dispatcher.DispatchOutcome(AttemptResult.DELIVERED, true, 0, null)
        : EndpointResponseParser.parse(
            responseHead, EndpointResponseParser.retryAfterUs(responseHead));
  }

  private void appendBody(final ByteBuf content) {
    try {
      content.readBytes(responseBody, content.readableBytes());
    } catch (final IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
  }

  private void onResponseComplete() {
    final HttpCall done = call;
    call = null;
    if (!dispatcher.removeCall(done)) {
      context.close();
      return;
    }
    if (keepAlive && done.written && !done.pool.removed) {
      idleSinceUs = clock.nowUs();
      pool = done.pool;
      dispatcher.addIdle(this, pool);
    } else {
      context.close();
    }
    final long waitUs = EndpointResponseParser.retryAfterUs(responseHead);
    if (waitUs > 0) {
      dispatcher.holdBack(done.pool);
    }
    final Dispatcher.DispatchOutcome all = EndpointResponseParser.parse(responseHead, waitUs);
    if (done.isBulk() && responseHead.status().code() == EndpointResponseParser.OK) {
      reportBulkOutcomes(done, all);
    } else {
      dispatcher.report(done, all);
    }
  }

  /**
   * The connection has ended, or is of no more use. An answer that cannot be read is an answer all
   * the same: the destination is there and its work is done, so that counts as an error and not as
   * a reset.
   */
  private void onConnectionBroken(final AttemptResult spoilt) {
    final boolean answered = responseStarted || statusLine != null;
    cancelCompletionTimer();
    removeFromPool();
    context.close();
    final HttpCall cut = call;
    final boolean delivered = cut != null && isDelivered(cut);
    call = null;
    if (cut == null || !dispatcher.removeCall(cut)) {
      return;
    }
    if (delivered) {
      final Dispatcher.DispatchOutcome answer = partialDelivery();
      if (answer.retryAfterUs() > 0) {
        dispatcher.holdBack(cut.pool);
      }
      dispatcher.report(cut, answer);
    } else {
      final ConnectionLoss how =
          new ConnectionLoss(
              cut.written,
              pool != null,
              answered,
              clock.nowUs() - writtenUs,
              cut.pool.handshakeUs());
      final AttemptResult read =
          cut.written && spoilt != AttemptResult.RESET ? spoilt : how.result();
      // What stopped short may have told a wait before that.
      final long waitUs =
          responseHead == null ? 0 : EndpointResponseParser.retryAfterUs(responseHead);
      if (waitUs > 0) {
        dispatcher.holdBack(cut.pool);
      }
      dispatcher.report(cut, new Dispatcher.DispatchOutcome(read, false, waitUs, null));
    }
  }

  /** Several messages' ends, each with its state; one that is not named may have run. */
  private void reportBulkOutcomes(final HttpCall done, final Dispatcher.DispatchOutcome all) {
    final Map<String, String> states = new HashMap<>();
    try {
      for (final JsonNode item :
          Json.read(responseBody == null ? new byte[0] : responseBody.toByteArray())) {
        states.put(item.path("id").asText(), item.path("state").asText());
      }
    } catch (final IOException e) {
      // Spoilt: each of them may have run.
      states.clear();
    }
    for (final Dispatcher.Attempt parcel : done.parcels) {
      final Dispatcher.DispatchOutcome one =
          switch (states.getOrDefault(parcel.message().id(), "")) {
            case "accepted" ->
                new Dispatcher.DispatchOutcome(
                    AttemptResult.DELIVERED, true, all.retryAfterUs(), all.loadReport());
            case "deferred" ->
                new Dispatcher.DispatchOutcome(
                    AttemptResult.REFUSED, false, all.retryAfterUs(), all.loadReport());
            case "expired" ->
                new Dispatcher.DispatchOutcome(
                    AttemptResult.NOT_SENT, true, all.retryAfterUs(), all.loadReport());
            case "no_more" ->
                new Dispatcher.DispatchOutcome(
                    AttemptResult.NOT_SENT, false, all.retryAfterUs(), all.loadReport());
            default ->
                new Dispatcher.DispatchOutcome(
                    AttemptResult.ERROR, false, all.retryAfterUs(), all.loadReport());
          };
      dispatcher.report(parcel, done, one);
    }
  }

  @Override
  public void channelInactive(final ChannelHandlerContext ctx) {
    onConnectionBroken(AttemptResult.RESET);
  }

  @Override
  public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
    if (!(cause instanceof IOException)) {
      Log.failure("connection to an endpoint", cause);
    }
    onConnectionBroken(AttemptResult.RESET);
  }
}
