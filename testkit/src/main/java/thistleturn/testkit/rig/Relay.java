package thistleturn.testkit.rig;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Relays datagrams and connections from one process to another; the first one opens the
 * connections. The end of a connection is passed on; a refused connection appears as one that ends
 * before any byte. During a cut nothing passes, and nothing is refused.
 */
final class Relay implements AutoCloseable {
  private static final long POLL_MS = 20;
  private static final int MAX_TRIES = 50;
  private static final int MAX_HELD = 4096;

  private final int from;
  private final int to;
  private final InetSocketAddress target;
  private final Links links;
  private final EventLoop loop;
  private final Set<RelayedConnection> connections = new HashSet<>();
  private Channel datagrams;
  private Channel listener;

  Relay(
      final int from,
      final int to,
      final InetSocketAddress target,
      final Links links,
      final EventLoop loop)
      throws IOException {
    this.from = from;
    this.to = to;
    this.target = target;
    this.links = links;
    this.loop = loop;
    // Both need the same port number: the number of the first may be taken for the second.
    for (int tries = 0; listener == null; tries++) {
      datagrams =
          new Bootstrap()
              .group(loop)
              .channel(NioDatagramChannel.class)
              .handler(new Forward())
              .bind(InetAddress.getLoopbackAddress(), 0)
              .syncUninterruptibly()
              .channel();
      final var bound =
          new ServerBootstrap()
              .group(loop)
              .channel(NioServerSocketChannel.class)
              .childOption(ChannelOption.AUTO_READ, false)
              .childHandler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                      new RelayedConnection(channel).begin();
                    }
                  })
              .bind(InetAddress.getLoopbackAddress(), port())
              .awaitUninterruptibly();
      if (bound.isSuccess()) {
        listener = bound.channel();
      } else {
        datagrams.close().syncUninterruptibly();
        if (tries >= MAX_TRIES) {
          throw new IOException("no port for a relay", bound.cause());
        }
      }
    }
  }

  /** The port at which the first process reaches the second. */
  int port() {
    return ((InetSocketAddress) datagrams.localAddress()).getPort();
  }

  private final class Forward extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(final ChannelHandlerContext context, final DatagramPacket packet) {
      for (int copy = links.copies(from, to); copy > 0; copy--) {
        final DatagramPacket next =
            new DatagramPacket(packet.content().retainedDuplicate(), target);
        final long lateMs = links.delayMs();
        if (lateMs == 0) {
          context.writeAndFlush(next, context.voidPromise());
        } else {
          loop.schedule(
              () -> context.writeAndFlush(next, context.voidPromise()),
              lateMs,
              TimeUnit.MILLISECONDS);
        }
      }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      // No process listens there at the moment; a later datagram may arrive.
    }
  }

  /**
   * One direction of a connection: passes its data in order, each piece when the link is open, and
   * then its end.
   */
  private final class Pipe extends ChannelInboundHandlerAdapter {
    private final int source;
    private final int sink;
    private final Deque<ByteBuf> waiting = new ArrayDeque<>();
    private Channel target;
    private boolean ended;
    private boolean passScheduled;

    Pipe(final int source, final int sink) {
      this.source = source;
      this.sink = sink;
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
      if (waiting.size() < MAX_HELD) {
        waiting.add((ByteBuf) message);
        schedulePass();
      } else {
        ((ByteBuf) message).release();
        context.close();
      }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
      ended = true;
      schedulePass();
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      context.close();
    }

    private void schedulePass() {
      if (!passScheduled && target != null) {
        passScheduled = true;
        loop.schedule(this::pass, links.retransmissionDelayMs(), TimeUnit.MILLISECONDS);
      }
    }

    private void pass() {
      if (!links.isOpen(source, sink)) {
        loop.schedule(this::pass, POLL_MS, TimeUnit.MILLISECONDS);
        return;
      }
      passScheduled = false;
      while (!waiting.isEmpty()) {
        target.write(waiting.poll());
      }
      target.flush();
      if (ended) {
        target.close();
      }
    }
  }

  /** A relayed connection with its two sides. */
  private final class RelayedConnection {
    private final Channel clientSide;
    private final Pipe out = new Pipe(from, to);
    private final Pipe back = new Pipe(to, from);

    RelayedConnection(final Channel clientSide) {
      this.clientSide = clientSide;
    }

    private void begin() {
      connections.add(this);
      clientSide.pipeline().addLast(out);
      clientSide.closeFuture().addListener(closed -> connections.remove(this));
      loop.schedule(this::connect, links.retransmissionDelayMs(), TimeUnit.MILLISECONDS);
    }

    private void connect() {
      if (!clientSide.isActive()) {
        return;
      }
      if (!links.isOpen(from, to)) {
        loop.schedule(this::connect, POLL_MS, TimeUnit.MILLISECONDS);
        return;
      }
      new Bootstrap()
          .group(loop)
          .channel(NioSocketChannel.class)
          .handler(back)
          .connect(target)
          .addListener(
              done -> {
                back.target = clientSide;
                if (done.isSuccess()) {
                  out.target = ((ChannelFuture) done).channel();
                  clientSide.config().setAutoRead(true);
                  clientSide.read();
                  back.schedulePass();
                  if (!clientSide.isActive()) {
                    out.ended = true;
                    out.schedulePass();
                  }
                } else {
                  back.ended = true;
                  back.schedulePass();
                }
              });
    }

    private void reset() {
      clientSide.close();
      if (out.target != null) {
        out.target.close();
      }
    }
  }

  /** Closes all connections over it, both ways. */
  void reset() {
    loop.execute(() -> Set.copyOf(connections).forEach(RelayedConnection::reset));
  }

  @Override
  public void close() {
    datagrams.close();
    listener.close();
    reset();
  }
}
