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

/**
 * An HTTP/1.1 server that does what its script says, on a loopback address. It notes when the first
 * byte of each request came, can go down and come back on its port, reset connections before a
 * request is whole, and read slowly.
 */
public final class HttpStandIn implements AutoCloseable {
  private static final int MOST_BODY_BYTES = 1 << 22;

  private final EventLoopGroup group;
  private final Handler script;
  private final Set<Channel> connections = ConcurrentHashMap.newKeySet();
  private volatile Channel listener;
  private volatile InetSocketAddress address;
  private volatile boolean resetsAtFirstByte;
  private volatile boolean resetsKept;
  private volatile long readDelayMs;

  /** What it does with a request that has come in whole. Called on the connection's event loop. */
  @FunctionalInterface
  public interface Handler {
    /** Answers, now or later, or does not. */
    void handle(HttpExchange exchange);
  }

  /** Listens at once; port 0 lets the system choose. */
  public HttpStandIn(final EventLoopGroup group, final InetSocketAddress at, final Handler script) {
    this.group = group;
    this.script = script;
    this.address = at;
    up();
  }

  /** Where it listens, or did before it went down. */
  public String address() {
    return address.getHostString() + ":" + address.getPort();
  }

  /** Its port. */
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
    resetsKept = on;
  }

  /** A new connection is read only after so many milliseconds. */
  public void readDelayMs(final long ms) {
    readDelayMs = ms;
  }

  /** Listens (again), at the address it had. */
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

  /** Refuses connections from now on, and resets those that stand. */
  public void down() {
    listener.close().syncUninterruptibly();
    resetAll();
  }

  /**
   * How many connections stand: one that its other side has ended does until all it said has been
   * read.
   */
  public int connections() {
    return connections.size();
  }

  /** Returns whether a loop serves the connection that comes from a port. */
  boolean serves(final int remotePort, final EventExecutor loop) {
    return connections.stream()
        .anyMatch(
            channel ->
                channel.eventLoop() == loop
                    && channel.remoteAddress() instanceof InetSocketAddress remote
                    && remote.getPort() == remotePort);
  }

  /** Resets all connections that stand. */
  public void resetAll() {
    connections.forEach(HttpStandIn::reset);
  }

  static void reset(final Channel channel) {
    // On its own loop, so that it cannot be closed between the two steps.
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
    channel.closeFuture().addListener(closed -> connections.remove(channel));
    final FirstByte firstByte = new FirstByte();
    channel
        .pipeline()
        .addLast(
            firstByte,
            new HttpServerCodec(),
            new HttpObjectAggregator(MOST_BODY_BYTES),
            new Server(firstByte));
    if (readDelayMs > 0) {
      channel.config().setAutoRead(false);
      channel
          .eventLoop()
          .schedule(() -> channel.config().setAutoRead(true), readDelayMs, TimeUnit.MILLISECONDS);
    }
  }

  /** Notes when a request began to come. */
  private final class FirstByte extends ChannelInboundHandlerAdapter {
    private long atNs;
    private boolean inRequest;
    private boolean kept;

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object part) {
      final boolean next = !inRequest && kept;
      if (!inRequest) {
        inRequest = true;
        kept = true;
        atNs = System.nanoTime();
      }
      if (resetsAtFirstByte || (resetsKept && next)) {
        ((ByteBuf) part).release();
        reset(context.channel());
        return;
      }
      context.fireChannelRead(part);
    }
  }

  private final class Server extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final FirstByte firstByte;

    Server(final FirstByte firstByte) {
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
      script.handle(
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
