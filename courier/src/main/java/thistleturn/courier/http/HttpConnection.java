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
final class HttpConnection extends SimpleChannelInboundHandler<HttpObject>
    implements AnswerDecoder.Listener {
  private static final int MOST_BODY_BYTES = 1 << 16;
  private static final int INFORMATIONAL = 200;
  private static final int MOST_STATUS = 599;

  /** An answer that has begun comes whole within this, ms: its sender has it all. */
  private static final long ANSWER_MS = 500;

  /** For how long the answer to a call that was given up is still looked at. */
  private static final long LINGER_MS = 500;

  private final HttpCarrier carrier;
  private final EventLoop loop;
  private final Clock clock;
  private ChannelHandlerContext context;
  private HttpCall call;

  /** Whose call was given up here; null: none. Nothing goes over it any more. */
  private HttpPool givenUp;

  /** Where it was last kept while it carried no call; null while it carries its first one. */
  private HttpPool pool;

  private long idleSinceUs;

  /** When its present call was written. */
  private long wroteUs;

  /** The answer's first line, as soon as it has come; its head, once that has. */
  private HttpResponse line;

  private HttpResponse head;
  private boolean keep;

  /** An answer has begun and is not whole. */
  private boolean answering;

  private ByteArrayOutputStream body;

  /** When an answer that has begun is given up. */
  private Future<?> wholeBy;

  HttpConnection(final HttpCarrier carrier, final EventLoop loop, final Clock clock) {
    this.carrier = carrier;
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

  void write(final HttpCall next) {
    call = next;
    wroteUs = clock.nowUs();
    call.channel = context.channel();
    call.reader = this;
    line = null;
    head = null;
    body = null;
    context
        .writeAndFlush(HttpRequests.request(call, clock.nowUs()))
        .addListener(
            done -> {
              if (done.isSuccess()) {
                carrier.written(next);
              }
            });
  }

  void close() {
    if (call == null) {
      unpool();
      context.close();
    }
  }

  /**
   * Gives its call up by ending its sending. An answer may be written in that very moment, or lie
   * there unread: the wait that it tells binds, so that it is read for a while, and counts for
   * nothing else.
   */
  void giveUp() {
    givenUp = call.pool;
    call = null;
    stopWaiting();
    if (head != null) {
      heed(head);
    }
    if (context.channel() instanceof SocketChannel socket) {
      socket.shutdownOutput();
    }
    loop.schedule(() -> context.close(), LINGER_MS, TimeUnit.MILLISECONDS);
  }

  private void heed(final HttpResponse late) {
    final long waitUs = HttpAnswers.waitUs(late);
    if (waitUs > 0) {
      carrier.toldToWait(givenUp, waitUs);
    }
  }

  private void unpool() {
    if (pool != null) {
      carrier.unpool(this, pool);
    }
  }

  @Override
  protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject part) {
    if (givenUp != null) {
      if (part instanceof HttpResponse late && part.decoderResult().isSuccess()) {
        heed(late);
      }
      return;
    }
    if (call == null || part.decoderResult().isFailure()) {
      // Bytes that answer nothing, or nothing that can be read: this connection cannot be trusted.
      broken(AttemptResult.ERROR);
      return;
    }
    if (part instanceof HttpResponse response) {
      final int code = response.status().code();
      if (code > MOST_STATUS || !RequestDecoder.isFramedPlainly(response)) {
        broken(AttemptResult.ERROR);
        return;
      }
      head = response;
      keep = HttpUtil.isKeepAlive(response);
    }
    if (part instanceof HttpContent content) {
      final int more = content.content().readableBytes();
      if (more > 0) {
        body = body == null ? new ByteArrayOutputStream(more) : body;
        if (body.size() + more > MOST_BODY_BYTES) {
          broken(AttemptResult.ERROR);
          return;
        }
        read(content.content());
      }
    }
    if (part instanceof LastHttpContent && head != null) {
      stopWaiting();
      if (head.status().code() >= INFORMATIONAL) {
        finish();
      } else {
        line = null;
        head = null;
      }
    }
  }

  @Override
  public void begun() {
    if (givenUp != null) {
      return;
    }
    if (call == null || !call.written) {
      // It answers no call, or comes before its call: it belongs to an earlier one.
      broken(AttemptResult.RESET);
    } else {
      answering = true;
    }
  }

  /**
   * What has come does not make an answer whole: the rest is waited for. Most come in one piece.
   */
  @Override
  public void channelReadComplete(final ChannelHandlerContext ctx) {
    if (answering && wholeBy == null && call != null) {
      wholeBy = loop.schedule(() -> broken(AttemptResult.ERROR), ANSWER_MS, TimeUnit.MILLISECONDS);
    }
    ctx.fireChannelReadComplete();
  }

  @Override
  public void firstLine(final HttpResponse answer) {
    line = answer;
  }

  private void stopWaiting() {
    answering = false;
    if (wholeBy != null) {
      wholeBy.cancel(false);
      wholeBy = null;
    }
  }

  /**
   * True if the answer to this call says so in its first line; to a call with several messages only
   * all of it tells.
   */
  boolean isDelivered(final HttpCall of) {
    return of == call
        && line != null
        && line.status().code() == HttpAnswers.OK
        && of.written
        && !of.isBulk()
        && line.protocolVersion().majorVersion() == 1;
  }

  /**
   * What a delivery tells whose answer was cut off: waits and reports only if its head came whole.
   */
  Dispatcher.DispatchOutcome delivered() {
    return head == null
        ? new Dispatcher.DispatchOutcome(AttemptResult.DELIVERED, true, 0, null)
        : HttpAnswers.answer(head, HttpAnswers.waitUs(head));
  }

  private void read(final ByteBuf content) {
    try {
      content.readBytes(body, content.readableBytes());
    } catch (final IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
  }

  private void finish() {
    final HttpCall done = call;
    call = null;
    if (!carrier.remove(done)) {
      context.close();
      return;
    }
    if (keep && done.written && !done.pool.removed) {
      idleSinceUs = clock.nowUs();
      pool = done.pool;
      carrier.pool(this, pool);
    } else {
      context.close();
    }
    final long waitUs = HttpAnswers.waitUs(head);
    if (waitUs > 0) {
      carrier.holdBack(done.pool);
    }
    final Dispatcher.DispatchOutcome all = HttpAnswers.answer(head, waitUs);
    if (done.isBulk() && head.status().code() == HttpAnswers.OK) {
      tellEach(done, all);
    } else {
      carrier.tell(done, all);
    }
  }

  /**
   * The connection has ended, or is of no more use. An answer that cannot be read is an answer all
   * the same: the destination is there and its work is done, so that counts as an error and not as
   * a reset.
   */
  private void broken(final AttemptResult spoilt) {
    final boolean answered = answering || line != null;
    stopWaiting();
    unpool();
    context.close();
    final HttpCall cut = call;
    final boolean delivered = cut != null && isDelivered(cut);
    call = null;
    if (cut == null || !carrier.remove(cut)) {
      return;
    }
    if (delivered) {
      final Dispatcher.DispatchOutcome answer = delivered();
      if (answer.retryAfterUs() > 0) {
        carrier.holdBack(cut.pool);
      }
      carrier.tell(cut, answer);
    } else {
      final ConnectionLoss how =
          new ConnectionLoss(
              cut.written, pool != null, answered, clock.nowUs() - wroteUs, cut.pool.handshakeUs());
      final AttemptResult read =
          cut.written && spoilt != AttemptResult.RESET ? spoilt : how.result();
      // What stopped short may have told a wait before that.
      final long waitUs = head == null ? 0 : HttpAnswers.waitUs(head);
      if (waitUs > 0) {
        carrier.holdBack(cut.pool);
      }
      carrier.tell(cut, new Dispatcher.DispatchOutcome(read, false, waitUs, null));
    }
  }

  /** Several messages' ends, each with its state; one that is not named may have run. */
  private void tellEach(final HttpCall done, final Dispatcher.DispatchOutcome all) {
    final Map<String, String> states = new HashMap<>();
    try {
      for (final JsonNode item : Json.read(body == null ? new byte[0] : body.toByteArray())) {
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
      carrier.tell(parcel, done, one);
    }
  }

  @Override
  public void channelInactive(final ChannelHandlerContext ctx) {
    broken(AttemptResult.RESET);
  }

  @Override
  public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
    if (!(cause instanceof IOException)) {
      Log.failure("connection to an endpoint", cause);
    }
    broken(AttemptResult.RESET);
  }
}
