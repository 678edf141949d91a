package thistleturn.courier.operator;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.transport.AcceptRetryHandler;
import thistleturn.courier.transport.RetryingServerSocketChannel;

/**
 * Answers operators, one call a connection. Callers who say nothing, or half of it, hold a
 * connection for a while and nobody up: where there are many, the one that has been silent longest
 * makes room.
 */
public final class OperatorServer {
  private static final int MAX_CONNECTIONS = 24;
  private static final int MAX_REQUEST_BYTES = 1 << 12;

  /** A connection without a whole call is closed after this. */
  private static final long REQUEST_TIMEOUT_MS = 5000;

  private static final int BACKLOG = 128;
  private static final Pattern ENDPOINT_COMMAND =
      Pattern.compile("/-/endpoints/([^/]+)/(disable|enable)");

  private final AdminOperations operations;

  /** Connections without a whole call, the oldest first. */
  private final Set<Channel> connectionsAwaitingRequest = new LinkedHashSet<>();

  /** Not listening yet. */
  public OperatorServer(final AdminOperations desk) {
    this.operations = desk;
  }

  /** Listens; completes with the address in fact, or exceptionally. */
  public CompletableFuture<String> listen(final EventLoop loop, final InetSocketAddress address) {
    final CompletableFuture<String> listening = new CompletableFuture<>();
    new ServerBootstrap()
        .group(loop)
        .channel(RetryingServerSocketChannel.class)
        .handler(new AcceptRetryHandler())
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(final Channel channel) {
                onConnectionOpened(channel);
                channel
                    .pipeline()
                    .addLast(
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                        new RequestHandler());
              }
            })
        .bind(address)
        .addListener(
            (io.netty.channel.ChannelFuture bound) -> {
              if (bound.isSuccess()) {
                listening.complete(
                    bound.channel().localAddress().toString().replaceFirst(".*/", ""));
              } else {
                listening.completeExceptionally(
                    new IOException(
                        "cannot listen on operator " + address + ": " + bound.cause().getMessage(),
                        bound.cause()));
              }
            });
    return listening;
  }

  private void onConnectionOpened(final Channel channel) {
    connectionsAwaitingRequest.add(channel);
    if (connectionsAwaitingRequest.size() > MAX_CONNECTIONS) {
      final Channel oldest = connectionsAwaitingRequest.iterator().next();
      connectionsAwaitingRequest.remove(oldest);
      oldest.close();
    }
    final var patience =
        channel
            .eventLoop()
            .schedule(() -> channel.close(), REQUEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    channel
        .closeFuture()
        .addListener(
            closed -> {
              connectionsAwaitingRequest.remove(channel);
              patience.cancel(false);
            });
  }

  /** What a call is answered: a status and a text. */
  private record OperatorResponse(HttpResponseStatus status, String text) {}

  private CompletionStage<OperatorResponse> handle(final FullHttpRequest request) {
    if (request.decoderResult().isFailure()) {
      return completed(HttpResponseStatus.BAD_REQUEST, "this cannot be read");
    }
    final String path = new QueryStringDecoder(request.uri()).path();
    final Matcher endpoint = ENDPOINT_COMMAND.matcher(path);
    final boolean asks = path.equals("/-/ready") || path.equals("/-/metrics");
    if (!asks && !endpoint.matches()) {
      return completed(HttpResponseStatus.NOT_FOUND, "no such call");
    }
    if (!request.method().equals(asks ? HttpMethod.GET : HttpMethod.POST)) {
      return completed(
          HttpResponseStatus.METHOD_NOT_ALLOWED, asks ? "asked by GET" : "asked by POST");
    }
    if (path.equals("/-/ready")) {
      return operations.isServing()
          ? completed(HttpResponseStatus.OK, "ready")
          : completed(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready");
    }
    if (!operations.isStarted()) {
      return completed(HttpResponseStatus.SERVICE_UNAVAILABLE, "starting");
    }
    if (asks) {
      return operations
          .collectMetrics()
          .thenApply(
              figures ->
                  new OperatorResponse(
                      HttpResponseStatus.OK,
                      figures.toPrometheusText() + Log.prometheusCounters()));
    }
    final boolean leaveOut = endpoint.group(2).equals("disable");
    return operations
        .setEndpointDisabled(endpoint.group(1), leaveOut)
        .thenApply(
            known ->
                known
                    ? new OperatorResponse(
                        HttpResponseStatus.OK, leaveOut ? "left out" : "may serve")
                    : new OperatorResponse(
                        HttpResponseStatus.NOT_FOUND, "no endpoint of that name was ever listed"));
  }

  private static CompletionStage<OperatorResponse> completed(
      final HttpResponseStatus status, final String text) {
    return CompletableFuture.completedStage(new OperatorResponse(status, text));
  }

  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private boolean requestReceived;

    @Override
    protected void channelRead0(
        final ChannelHandlerContext context, final FullHttpRequest request) {
      if (requestReceived) {
        // One call a connection: what comes behind it is not looked at.
        return;
      }
      requestReceived = true;
      connectionsAwaitingRequest.remove(context.channel());
      handle(request)
          .whenCompleteAsync(
              (said, failure) -> {
                if (failure != null) {
                  Log.info("operator: " + failure.getMessage());
                }
                respond(
                    context,
                    failure == null
                        ? said
                        : new OperatorResponse(
                            HttpResponseStatus.SERVICE_UNAVAILABLE,
                            "it could not be written down"));
              },
              context.executor());
    }

    private void respond(final ChannelHandlerContext context, final OperatorResponse said) {
      final var response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              said.status(),
              Unpooled.copiedBuffer(
                  said.text().endsWith("\n") ? said.text() : said.text() + "\n",
                  StandardCharsets.UTF_8));
      response
          .headers()
          .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8")
          .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
          .set(HttpHeaderNames.CONNECTION, "close");
      context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      context.close();
    }
  }
}
