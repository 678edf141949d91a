package thistleturn.eureka;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.transport.Connector;
import thistleturn.courier.transport.SocketUnavailableException;

/**
 * One call to a registry, on a connection of its own: it ends once, within its time, and reads no
 * more than its bound. The answer's body goes to the listener as it comes, at the pace of the event
 * loop.
 */
final class EurekaCall {
  private static final int CONNECT_MS = 2000;

  /** Read in one turn of the event loop, so that a long answer stalls nobody. */
  private static final int READ_BYTES = 1 << 14;

  private static final long US_PER_MS = 1000;

  /** Who is told. */
  interface Listener {
    /** Bytes of the answer's body, with the answer's status; an error ends the call as failed. */
    void body(int status, ByteBuf bytes) throws IOException;

    /** The answer has come whole; an error makes it a failed one. */
    void answered(int status) throws IOException;

    /** It failed, for this reason. */
    void failed(String reason);
  }

  private final Listener listener;
  private final long mostBytes;
  private Channel channel;
  private Future<?> limit;
  private boolean over;

  private EurekaCall(final long mostBytes, final Listener listener) {
    this.mostBytes = mostBytes;
    this.listener = listener;
  }

  /** Begins a call; {@code json} is the request's body, or null. Runs on the event loop. */
  static EurekaCall begin(
      final EventLoop loop,
      final HttpMethod method,
      final RegistrySettings.Address address,
      final String path,
      final String json,
      final long timeUs,
      final long mostBytes,
      final Listener listener) {
    final EurekaCall call = new EurekaCall(mostBytes, listener);
    final var request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            method,
            address.path() + path,
            json == null
                ? Unpooled.EMPTY_BUFFER
                : Unpooled.copiedBuffer(json, StandardCharsets.UTF_8));
    request
        .headers()
        .set("Host", address.at().getHostString() + ":" + address.at().getPort())
        .set("Accept", "application/json")
        .set("Connection", "close")
        .set("User-Agent", "thistleturn")
        .set("Content-Length", request.content().readableBytes());
    if (json != null) {
      request.headers().set("Content-Type", "application/json");
    }
    final Bootstrap template =
        new Bootstrap()
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) Math.min(CONNECT_MS, timeUs / US_PER_MS + 1))
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(READ_BYTES, READ_BYTES, READ_BYTES)
                    .maxMessagesPerRead(1))
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(final Channel opened) {
                    opened.pipeline().addLast(new HttpClientCodec(), call.new Answer());
                  }
                });
    try {
      call.channel =
          Connector.connect(
                  loop,
                  template,
                  address.at(),
                  done -> {
                    if (done.isSuccess() && !call.over) {
                      call.channel.writeAndFlush(request);
                    } else {
                      request.release();
                      call.fail("no connection to " + address.at() + ": " + done.cause());
                    }
                  })
              .channel();
    } catch (final SocketUnavailableException e) {
      request.release();
      loop.execute(() -> call.fail(e.getMessage()));
    }
    call.limit =
        loop.schedule(
            () -> call.fail("no whole answer in " + timeUs / US_PER_MS + " ms"),
            timeUs,
            TimeUnit.MICROSECONDS);
    return call;
  }

  /** Gives it up; nothing is told any more. */
  void abandon() {
    finish();
  }

  private boolean finish() {
    if (over) {
      return false;
    }
    over = true;
    if (limit != null) {
      limit.cancel(false);
    }
    if (channel != null) {
      channel.close();
    }
    return true;
  }

  private void fail(final String reason) {
    if (finish()) {
      listener.failed(reason);
    }
  }

  private final class Answer extends SimpleChannelInboundHandler<HttpObject> {
    private int status;
    private long bytes;

    @Override
    protected void channelRead0(final ChannelHandlerContext context, final HttpObject part)
        throws IOException {
      if (over) {
        return;
      }
      if (part.decoderResult().isFailure()) {
        fail("what came is no HTTP");
        return;
      }
      if (part instanceof HttpResponse response) {
        status = response.status().code();
      }
      if (part instanceof HttpContent content) {
        bytes += content.content().readableBytes();
        if (bytes > mostBytes) {
          fail("the answer is longer than " + mostBytes + " bytes");
          return;
        }
        listener.body(status, content.content());
        if (part instanceof LastHttpContent) {
          // Whatever the listener says of it, the call itself has ended.
          final int answered = status;
          finish();
          try {
            listener.answered(answered);
          } catch (final IOException e) {
            listener.failed(firstLine(e));
          } catch (final RuntimeException e) {
            // Whatever it was: the next call must come all the same.
            Log.failure("an answer of a registry", e);
            listener.failed(firstLine(e));
          }
        }
      }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
      fail("the connection ended before the answer did");
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      if (!(cause instanceof IOException)) {
        Log.failure("a call to a registry", cause);
      }
      fail(firstLine(cause));
    }
  }

  private static String firstLine(final Throwable cause) {
    return cause.getMessage() == null
        ? cause.toString()
        : cause.getMessage().lines().findFirst().orElse("");
  }
}
