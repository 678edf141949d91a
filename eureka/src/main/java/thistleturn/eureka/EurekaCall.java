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
import io.netty.handler.codec.http.FullHttpRequest;
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
 * One HTTP request to a registry on a connection of its own. It ends exactly once, within its
 * timeout, and reads no more than its limit. The response's body goes to the listener piece by
 * piece, at most one piece in each turn of the event loop.
 */
final class EurekaCall {
  private static final int CONNECT_TIMEOUT_MS = 2000;

  /** The most bytes read per turn of the event loop: a long response must not delay other tasks. */
  private static final int READ_BYTES = 1 << 14;

  private static final long US_PER_MS = 1000;

  /** Receives the response. */
  interface Listener {
    /** A piece of the body; an exception fails the call. */
    void onBody(int status, ByteBuf piece) throws IOException;

    /** The response is complete; an exception turns it into a failure. */
    void onCompleted(int status) throws IOException;

    /** The call failed; the reason is one line. */
    void onFailed(String reason);
  }

  /**
   * What to request.
   *
   * @param address of the registry
   * @param path below the registry's path
   * @param json the body, or null for none
   * @param timeoutUs until the response has to be complete
   * @param maxResponseBytes the longest body that is accepted
   */
  record Request(
      HttpMethod method,
      RegistrySettings.Address address,
      String path,
      String json,
      long timeoutUs,
      long maxResponseBytes) {

    private FullHttpRequest toHttp() {
      final ByteBuf body =
          json == null
              ? Unpooled.EMPTY_BUFFER
              : Unpooled.copiedBuffer(json, StandardCharsets.UTF_8);
      final FullHttpRequest http =
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, address.path() + path, body);
      http.headers()
          .set(
              "Host",
              address.socketAddress().getHostString() + ":" + address.socketAddress().getPort())
          .set("Accept", "application/json")
          .set("Connection", "close")
          .set("User-Agent", "thistleturn")
          .set("Content-Length", body.readableBytes());
      if (json != null) {
        http.headers().set("Content-Type", "application/json");
      }
      return http;
    }
  }

  private final Request request;
  private final Listener listener;
  private Channel channel;
  private Future<?> timeout;
  private boolean ended;

  private EurekaCall(final Request request, final Listener listener) {
    this.request = request;
    this.listener = listener;
  }

  /** Sends a request. Has to run on the event loop. */
  static EurekaCall start(final EventLoop loop, final Request request, final Listener listener) {
    final EurekaCall call = new EurekaCall(request, listener);
    call.connect(loop);
    call.timeout =
        loop.schedule(
            () ->
                call.fail("no complete response within " + request.timeoutUs() / US_PER_MS + " ms"),
            request.timeoutUs(),
            TimeUnit.MICROSECONDS);
    return call;
  }

  private void connect(final EventLoop loop) {
    final FullHttpRequest http = request.toHttp();
    try {
      channel =
          Connector.connect(
                  loop,
                  bootstrap(),
                  request.address().socketAddress(),
                  connected -> {
                    if (connected.isSuccess() && !ended) {
                      channel.writeAndFlush(http);
                    } else {
                      http.release();
                      fail(
                          "no connection to "
                              + request.address().socketAddress()
                              + ": "
                              + connected.cause());
                    }
                  })
              .channel();
    } catch (final SocketUnavailableException e) {
      http.release();
      loop.execute(() -> fail(e.getMessage()));
    }
  }

  private Bootstrap bootstrap() {
    return new Bootstrap()
        .option(
            ChannelOption.CONNECT_TIMEOUT_MILLIS,
            (int) Math.min(CONNECT_TIMEOUT_MS, request.timeoutUs() / US_PER_MS + 1))
        .option(
            ChannelOption.RECVBUF_ALLOCATOR,
            new AdaptiveRecvByteBufAllocator(READ_BYTES, READ_BYTES, READ_BYTES)
                .maxMessagesPerRead(1))
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(final Channel opened) {
                opened.pipeline().addLast(new HttpClientCodec(), new ResponseHandler());
              }
            });
  }

  /** Cancels the call without notifying the listener. */
  void cancel() {
    end();
  }

  /** Releases the timer and the connection; returns false if the call had already ended. */
  private boolean end() {
    if (ended) {
      return false;
    }
    ended = true;
    if (timeout != null) {
      timeout.cancel(false);
    }
    if (channel != null) {
      channel.close();
    }
    return true;
  }

  private void fail(final String reason) {
    if (end()) {
      listener.onFailed(reason);
    }
  }

  private void complete(final int status) {
    // The call has ended, even if the listener fails to process the response.
    end();
    try {
      listener.onCompleted(status);
    } catch (final IOException e) {
      listener.onFailed(firstLine(e));
    } catch (final RuntimeException e) {
      // The listener has to be notified of any failure: otherwise it never makes its next call.
      Log.failure("response of a registry", e);
      listener.onFailed(firstLine(e));
    }
  }

  private final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
    private int status;
    private long receivedBytes;

    @Override
    protected void channelRead0(final ChannelHandlerContext context, final HttpObject part)
        throws IOException {
      if (ended) {
        return;
      }
      if (part.decoderResult().isFailure()) {
        fail("the response is not valid HTTP");
        return;
      }
      if (part instanceof HttpResponse response) {
        status = response.status().code();
      }
      if (part instanceof HttpContent content) {
        onContent(content);
      }
    }

    private void onContent(final HttpContent content) throws IOException {
      receivedBytes += content.content().readableBytes();
      if (receivedBytes > request.maxResponseBytes()) {
        fail("the response is longer than " + request.maxResponseBytes() + " bytes");
        return;
      }
      listener.onBody(status, content.content());
      if (content instanceof LastHttpContent) {
        complete(status);
      }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
      fail("the connection was closed before the response was complete");
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      if (!(cause instanceof IOException)) {
        Log.failure("call to a registry", cause);
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
