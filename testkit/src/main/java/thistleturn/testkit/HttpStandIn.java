package thistleturn.testkit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * An HTTP/1.1 server on a loopback address, with a handler that the test provides. It records when
 * the first byte of each request came, can stop and start again on its port, reset connections
 * before a request is complete, and read slowly.
 */
public final class HttpStandIn implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 1 << 22;

  private final EventLoopGroup group;
  private final Handler handler;
  private final Set<Channel> connections = ConcurrentHashMap.newKeySet();
  private volatile Channel listener;
  private volatile InetSocketAddress address;
  private volatile boolean resetsAtFirstByte;
  private volatile boolean resetsReused;
  private volatile long readDelayMs;
  private volatile long idleTimeoutMs;
  private final AtomicLong acceptedConnections = new AtomicLong();
  private volatile ResponseCopier copier;
  private volatile Runnable copyListener = () -> {};

  /** Handles a complete request. Called on the connection's event loop. */
  @FunctionalInterface
  public interface Handler {
    /** Answers now, later or never. */
    void handle(HttpExchange exchange);
  }

  /** Starts listening; port 0 lets the system choose. */
  public HttpStandIn(
      final EventLoopGroup group, final InetSocketAddress at, final Handler handler) {
    this.group = group;
    this.handler = handler;
    this.address = at;
    up();
  }

  /** The address at which it listens, or listened before it stopped. */
  public String address() {
    return address.getHostString() + ":" + address.getPort();
  }

  /** The port at which it listens. */
  public int port() {
    return address.getPort();
  }

  /** While true, a connection is reset when the first byte of a request comes. */
  public void resetAtFirstByte(final boolean on) {
    resetsAtFirstByte = on;
  }

  /**
   * While true, a connection that has carried a request is reset when the first byte of the next
   * one comes.
   */
  public void resetReusedConnections(final boolean on) {
    resetsReused = on;
  }

  /**
   * Sends responses on new connections twice, as the copier says; null ends that.
   *
   * @param onCopy called before each copy, on the connection's event loop
   */
  public void copyResponses(final ResponseCopier responseCopier, final Runnable onCopy) {
    copyListener = onCopy;
    copier = responseCopier;
  }

  /** Starts reading new connections only after this delay. */
  public void readDelayMs(final long ms) {
    readDelayMs = ms;
  }

  /** Closes new connections that have been idle for this long since a response; 0 ends that. */
  public void closeIdleAfterMs(final long ms) {
    idleTimeoutMs = ms;
  }

  /** The number of connections that were accepted so far. */
  public long acceptedConnections() {
    return acceptedConnections.get();
  }

  /** Starts listening, again at the address it had. */
  public void up() {
    final Channel bound =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(final Channel channel) {
                    accept(channel);
                  }
                })
            .bind(address)
            .syncUninterruptibly()
            .channel();
    listener = bound;
    address = (InetSocketAddress) bound.localAddress();
  }

  /** Refuses connections from now on, and resets the open ones. */
  public void down() {
    listener.close().syncUninterruptibly();
    resetAll();
  }

  /**
   * The number of open connections. A connection that the other side has ended counts until all its
   * data have been read.
   */
  public int connections() {
    return connections.size();
  }

  /** Returns whether an event loop serves the connection from a remote port. */
  boolean serves(final int remotePort, final EventExecutor loop) {
    return connections.stream()
        .anyMatch(
            channel ->
                channel.eventLoop() == loop
                    && channel.remoteAddress() instanceof InetSocketAddress remote
                    && remote.getPort() == remotePort);
  }

  /** Resets all open connections. */
  public void resetAll() {
    connections.forEach(HttpStandIn::reset);
  }

  static void reset(final Channel channel) {
    // Runs on its own loop, so that it cannot be closed between the two steps.
    channel
        .eventLoop()
        .execute(
            () -> {
              if (channel.isActive()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
              }
            });
  }

  @Override
  public void close() {
    down();
  }

  private void accept(final Channel channel) {
    connections.add(channel);
    acceptedConnections.incrementAndGet();
    channel.closeFuture().addListener(closed -> connections.remove(channel));
    final FirstByte firstByte = new FirstByte();
    channel
        .pipeline()
        .addLast(
            firstByte,
            new HttpServerCodec(),
            new HttpObjectAggregator(MAX_BODY_BYTES),
            new IdleTimeoutHandler(idleTimeoutMs),
            new RequestReader(firstByte));
    final ResponseCopier current = copier;
    if (current != null) {
      channel.pipeline().addFirst(current.handler(copyListener));
    }
    if (readDelayMs > 0) {
      channel.config().setAutoRead(false);
      channel
          .eventLoop()
          .schedule(() -> channel.config().setAutoRead(true), readDelayMs, TimeUnit.MILLISECONDS);
    }
  }

  /** Records when the first byte of a request came. */
  private final class FirstByte extends ChannelInboundHandlerAdapter {
    private long atNs;
    private boolean inRequest;
    private boolean reused;

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object part) {
      final boolean nextRequest = !inRequest && reused;
      if (!inRequest) {
        inRequest = true;
        reused = true;
        atNs = System.nanoTime();
      }
      if (resetsAtFirstByte || (resetsReused && nextRequest)) {
        ((ByteBuf) part).release();
        reset(context.channel());
        return;
      }
      context.fireChannelRead(part);
    }
  }

  private final class RequestReader extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final FirstByte firstByte;

    RequestReader(final FirstByte firstByte) {
      this.firstByte = firstByte;
    }

    @Override
    protected void channelRead0(
        final ChannelHandlerContext context, final FullHttpRequest request) {
      if (request.decoderResult().isFailure()) {
        context.close();
        return;
      }
      final byte[] body = new byte[request.content().readableBytes()];
      request.content().readBytes(body);
      firstByte.inRequest = false;
      handler.handle(
          new HttpExchange(
              context.channel(),
              request.method().name(),
              request.uri(),
              request.headers().copy(),
              body,
              firstByte.atNs,
              System.nanoTime()));
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      context.close();
    }
  }
}
