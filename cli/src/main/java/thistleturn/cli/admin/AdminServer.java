package thistleturn.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Supplier;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.transport.AcceptRetryHandler;

/**
 * Serves a running courier's state to operators as JSON pages on a loopback address: one request
 * for each connection, with a limited number of connections, and read-only. It runs on the
 * courier's event loop, so that each page is a consistent snapshot.
 */
public final class AdminServer {
  private static final int MAX_CONNECTIONS = 8;
  private static final int MAX_REQUEST_BYTES = 1 << 10;
  private static final int REQUEST_TIMEOUT_S = 2;

  private final Map<String, Supplier<JsonNode>> pages;
  private int openConnections;

  /** Creates a server; {@code pages} maps a path to the supplier of its content. */
  public AdminServer(final Map<String, Supplier<JsonNode>> pages) {
    this.pages = Map.copyOf(pages);
  }

  /** Starts to listen; a failure is logged and does not affect the courier. */
  public void listen(final EventLoop loop, final InetSocketAddress address) {
    new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .handler(new AcceptRetryHandler())
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(final Channel channel) {
                accept(channel);
              }
            })
        .bind(address)
        .addListener(
            bound ->
                Log.info(
                    bound.isSuccess()
                        ? "admin pages are served at " + address
                        : "admin pages cannot be served at "
                            + address
                            + ": "
                            + bound.cause().getMessage()));
  }

  private void accept(final Channel channel) {
    if (openConnections >= MAX_CONNECTIONS) {
      channel.close();
      return;
    }
    openConnections++;
    channel.closeFuture().addListener(closed -> openConnections--);
    channel
        .pipeline()
        .addLast(
            new ReadTimeoutHandler(REQUEST_TIMEOUT_S),
            new HttpServerCodec(),
            new HttpObjectAggregator(MAX_REQUEST_BYTES),
            new PageHandler());
  }

  /** Responds to one request and closes the connection. */
  private final class PageHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(
        final ChannelHandlerContext context, final FullHttpRequest request) {
      final Supplier<JsonNode> page = pages.get(request.uri());
      final HttpResponseStatus status = status(request, page);
      final byte[] body =
          status.equals(HttpResponseStatus.OK)
              ? page.get().toString().getBytes(StandardCharsets.UTF_8)
              : new byte[0];
      final var response =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
      response
          .headers()
          .set("Content-Type", "application/json")
          .set("Content-Length", body.length)
          .set("Connection", "close");
      context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private static HttpResponseStatus status(
        final FullHttpRequest request, final Supplier<JsonNode> page) {
      if (request.decoderResult().isFailure() || !request.method().equals(HttpMethod.GET)) {
        return HttpResponseStatus.BAD_REQUEST;
      }
      return page == null ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.OK;
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      Log.failureIfError("connection to the admin server", cause);
      context.close();
    }
  }
}
