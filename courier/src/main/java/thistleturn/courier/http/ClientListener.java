package thistleturn.courier.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioChannelOption;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import thistleturn.courier.transport.RetryingServerSocketChannel;

/** The listening socket of an ingress. {@link ListenerClose} closes it without losing requests. */
final class ClientListener {
  /** Limits one read from a connection, so that a flooding client does not delay the others. */
  private static final int MAX_READ_BYTES = 1 << 14;

  private static final int BACKLOG = 256;

  /** How much of its responses a client may leave unread, beyond what the system buffers. */
  private static final WriteBufferWaterMark UNSENT_RESPONSES =
      new WriteBufferWaterMark(1 << 11, 1 << 12);

  private static final ChannelOption<Boolean> REUSE_PORT =
      NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);

  private final IngressContext ingress;
  private final EventLoopGroup group;
  private final EventLoop loop;
  private Channel channel;
  private ServerSocketChannel serverSocket;

  /** Null before the first bind. */
  private ListenerWatch watch;

  /** How the listener was last closed; null before. */
  private ListenerClose closing;

  /** Creates a listener that accepts on the group; the loop owns all connections. */
  ClientListener(final IngressContext ingress, final EventLoopGroup group, final EventLoop loop) {
    this.ingress = ingress;
    this.group = group;
    this.loop = loop;
  }

  /**
   * Begins to listen.
   *
   * @param reusePort true if other listeners share the address; the system then distributes the
   *     connections
   * @return the address in use
   */
  CompletionStage<String> bind(final InetSocketAddress address, final boolean reusePort) {
    try {
      serverSocket = ServerSocketChannel.open();
    } catch (final IOException e) {
      return CompletableFuture.failedFuture(e);
    }
    final AcceptHandler acceptHandler = new AcceptHandler(ingress.clock(), ingress.polls());
    final ChannelFuture bound = bootstrap(acceptHandler, reusePort).bind(address);
    channel = bound.channel();
    watch = new ListenerWatch(ingress, loop, channel, acceptHandler);
    final CompletableFuture<String> listening = new CompletableFuture<>();
    bound.addListener(
        done -> {
          if (done.isSuccess()) {
            listening.complete(channel.localAddress().toString().replaceFirst(".*/", ""));
          } else {
            listening.completeExceptionally(done.cause());
          }
        });
    return listening;
  }

  private ServerBootstrap bootstrap(final AcceptHandler acceptHandler, final boolean reusePort) {
    return new ServerBootstrap()
        .group(group)
        .channelFactory(() -> new RetryingServerSocketChannel(serverSocket))
        .option(REUSE_PORT, reusePort)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(
            ChannelOption.RECVBUF_ALLOCATOR,
            new ServerChannelRecvByteBufAllocator()
                .maxMessagesPerRead(AcceptHandler.MAX_ACCEPTS_PER_POLL))
        .handler(acceptHandler)
        .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .childOption(
            ChannelOption.RECVBUF_ALLOCATOR,
            new AdaptiveRecvByteBufAllocator(
                    MAX_READ_BYTES / 16, MAX_READ_BYTES / 8, MAX_READ_BYTES)
                .maxMessagesPerRead(1))
        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UNSENT_RESPONSES)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(final Channel accepted) {
                accepted
                    .pipeline()
                    .addLast(new ClientConnection(ingress, acceptHandler.earliestAcceptUs()));
              }
            });
  }

  /** Accepts connections that the selector did not report. Called at regular intervals. */
  void sweep() {
    if (watch != null) {
      watch.sweep();
    }
  }

  /** True while the listener is being closed, and connections may still be accepted. */
  boolean isClosing() {
    return closing != null && !closing.isDone();
  }

  /** Accepts the connections in the backlog, and closes the listener. */
  void close() {
    if (channel.isOpen() && !isClosing()) {
      beginClosing().close();
    }
  }

  /** Closes a listener at whose address another process listens as well. */
  void closeForSuccessor() {
    if (channel.isOpen() && !isClosing()) {
      beginClosing().steerAndClose();
    }
  }

  private ListenerClose beginClosing() {
    closing = new ListenerClose(ingress, loop, channel, serverSocket);
    return closing;
  }
}
