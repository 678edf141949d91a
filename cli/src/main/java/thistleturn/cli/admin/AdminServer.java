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
 * Answers operators' questions of a running courier, as JSON, on a loopback address: one question a
 * connection, a few connections at a time. It reads and changes nothing. Runs on the courier's
 * event loop, so that what it tells is of one moment.
 */
public final class AdminServer {
  private static final int MOST_CONNECTIONS = 8;
  private static final int MOST_REQUEST_BYTES = 1 << 10;
  private static final int REQUEST_SECONDS = 2;

  private final Map<String, Supplier<JsonNode>> pages;
  private int connections;

  /** Pages by their path. */
  public AdminServer(final Map<String, Supplier<JsonNode>> pages) {
    this.pages = Map.copyOf(pages);
  }

  /** Listens; a failure is one line in the log, and the courier serves on. */
  public void listen(final EventLoop loop, final InetSocketAddress address) {
    new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .handler(new AcceptRetryHandler())
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(final Channel channel) {
                if (connections >= MOST_CONNECTIONS) {
                  channel.close();
                  return;
                }
                connections++;
                channel.closeFuture().addListener(closed -> connections--);
                channel
                    .pipeline()
                    .addLast(
                        new ReadTimeoutHandler(REQUEST_SECONDS),
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MOST_REQUEST_BYTES),
                        new Answer());
              }
            })
        .bind(address)
        .addListener(
            bound ->
                Log.info(
                    bound.isSuccess()
                        ? "operators ask at " + address
                        : "operators cannot ask at "
                            + address
                            + ": "
                            + bound.cause().getMessage()));
  }

  private final class Answer extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(
        final ChannelHandlerContext context, final FullHttpRequest request) {
      final Supplier<JsonNode> page = pages.get(request.uri());
      final boolean good =
          request.decoderResult().isSuccess() && request.method().equals(HttpMethod.GET);
      final HttpResponseStatus status =
          !good
              ? HttpResponseStatus.BAD_REQUEST
              : page == null ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.OK;
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

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      context.close();
    }
  }
}
