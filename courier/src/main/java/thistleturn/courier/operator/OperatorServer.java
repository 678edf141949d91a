package thistleturn.courier.operator;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.ScheduledFuture;
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
import thistleturn.courier.runtime.Metrics;
import thistleturn.courier.transport.AcceptRetryHandler;
import thistleturn.courier.transport.ConnectionFailures;
import thistleturn.courier.transport.RetryingServerSocketChannel;

/**
 * The HTTP server for operators, with one request per connection. Clients that send nothing, or an
 * incomplete request, cannot delay others: their connections are closed after a time-out, and
 * beyond a limit the connection that has waited longest is closed.
 */
public final class OperatorServer {
  private static final int MAX_CONNECTIONS = 24;
  private static final int MAX_REQUEST_BYTES = 1 << 12;

  /** Time after which a connection without a complete request is closed. */
  private static final long REQUEST_TIMEOUT_MS = 5000;

  private static final int BACKLOG = 128;
  private static final String READY_PATH = "/-/ready";
  private static final String METRICS_PATH = "/-/metrics";
  private static final String DISABLE_COMMAND = "disable";
  private static final Pattern ENDPOINT_COMMAND =
      Pattern.compile("/-/endpoints/([^/]+)/(disable|enable)");

  private final AdminOperations operations;

  /** Connections without a complete request, the oldest first. */
  private final Set<Channel> connectionsAwaitingRequest = new LinkedHashSet<>();

  /** Creates a server that is not listening yet. */
  public OperatorServer(final AdminOperations operations) {
    this.operations = operations;
  }

  /** Starts to listen; completes with the address in use, or exceptionally. */
  public CompletableFuture<String> listen(final EventLoop loop, final InetSocketAddress address) {
    final CompletableFuture<String> listening = new CompletableFuture<>();
    new ServerBootstrap()
        .group(loop)
        .channel(RetryingServerSocketChannel.class)
        .handler(new AcceptRetryHandler())
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .childHandler(new ConnectionInitializer())
        .bind(address)
        .addListener((ChannelFuture bound) -> complete(listening, bound, address));
    return listening;
  }

  private static void complete(
      final CompletableFuture<String> listening,
      final ChannelFuture bound,
      final InetSocketAddress address) {
    if (bound.isSuccess()) {
      // A socket address is written as "host/address:port".
      listening.complete(bound.channel().localAddress().toString().replaceFirst(".*/", ""));
    } else {
      listening.completeExceptionally(
          new IOException(
              "cannot listen on operator " + address + ": " + bound.cause().getMessage(),
              bound.cause()));
    }
  }

  private final class ConnectionInitializer extends ChannelInitializer<Channel> {
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
  }

  private void onConnectionOpened(final Channel channel) {
    connectionsAwaitingRequest.add(channel);
    if (connectionsAwaitingRequest.size() > MAX_CONNECTIONS) {
      final Channel oldest = connectionsAwaitingRequest.iterator().next();
      connectionsAwaitingRequest.remove(oldest);
      oldest.close();
    }
    final ScheduledFuture<?> timeout =
        channel
            .eventLoop()
            .schedule(() -> channel.close(), REQUEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    channel
        .closeFuture()
        .addListener(
            closed -> {
              connectionsAwaitingRequest.remove(channel);
              timeout.cancel(false);
            });
  }

  /** The response to a request. */
  private record OperatorResponse(HttpResponseStatus status, String text) {}

  private CompletionStage<OperatorResponse> handle(final FullHttpRequest request) {
    if (request.decoderResult().isFailure()) {
      return completed(HttpResponseStatus.BAD_REQUEST, "this cannot be read");
    }
    final String path = new QueryStringDecoder(request.uri()).path();
    final Matcher endpointCommand = ENDPOINT_COMMAND.matcher(path);
    final boolean isQuery = path.equals(READY_PATH) || path.equals(METRICS_PATH);
    if (!isQuery && !endpointCommand.matches()) {
      return completed(HttpResponseStatus.NOT_FOUND, "no such call");
    }
    if (!request.method().equals(isQuery ? HttpMethod.GET : HttpMethod.POST)) {
      return completed(
          HttpResponseStatus.METHOD_NOT_ALLOWED, isQuery ? "asked by GET" : "asked by POST");
    }
    if (path.equals(READY_PATH)) {
      return readiness();
    }
    if (!operations.isStarted()) {
      return completed(HttpResponseStatus.SERVICE_UNAVAILABLE, "starting");
    }
    if (isQuery) {
      return metrics();
    }
    return setEndpointDisabled(
        endpointCommand.group(1), endpointCommand.group(2).equals(DISABLE_COMMAND));
  }

  private CompletionStage<OperatorResponse> readiness() {
    return operations.isServing()
        ? completed(HttpResponseStatus.OK, "ready")
        : completed(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready");
  }

  private CompletionStage<OperatorResponse> metrics() {
    return operations
        .collectMetrics()
        .thenApply(
            metrics ->
                new OperatorResponse(
                    HttpResponseStatus.OK,
                    metrics.toPrometheusText()
                        + Log.prometheusCounters()
                        + Metrics.prometheusText()));
  }

  private CompletionStage<OperatorResponse> setEndpointDisabled(
      final String endpoint, final boolean disabled) {
    return operations
        .setEndpointDisabled(endpoint, disabled)
        .thenApply(
            known ->
                known
                    ? new OperatorResponse(
                        HttpResponseStatus.OK, disabled ? "left out" : "may serve")
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
        // One request per connection: what follows it is ignored.
        return;
      }
      requestReceived = true;
      connectionsAwaitingRequest.remove(context.channel());
      handle(request)
          .whenCompleteAsync(
              (operatorResponse, failure) -> {
                if (failure != null) {
                  Log.info("operator: " + failure.getMessage());
                }
                respond(
                    context,
                    failure == null
                        ? operatorResponse
                        : new OperatorResponse(
                            HttpResponseStatus.SERVICE_UNAVAILABLE,
                            "it could not be written down"));
              },
              context.executor());
    }

    private void respond(
        final ChannelHandlerContext context, final OperatorResponse operatorResponse) {
      final FullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              operatorResponse.status(),
              Unpooled.copiedBuffer(
                  operatorResponse.text().endsWith("\n")
                      ? operatorResponse.text()
                      : operatorResponse.text() + "\n",
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
      ConnectionFailures.reportError("operator connection", cause);
      context.close();
    }
  }
}
