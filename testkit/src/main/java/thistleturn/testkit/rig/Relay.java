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
 * The way from one process to another, for datagrams and for connections that the first one begins.
 * An end passes as an end, a refusal as an end before any byte; over a cut nothing passes, and
 * nothing is refused.
 */
final class Relay implements AutoCloseable {
  private static final long LOOK_MS = 20;
  private static final int TRIES = 50;
  private static final int MOST_HELD = 4096;

  private final int from;
  private final int to;
  private final InetSocketAddress target;
  private final Links links;
  private final EventLoop loop;
  private final Set<Crossing> crossings = new HashSet<>();
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
    // One number for both kinds: that of the first may be taken for the second.
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
                      new Crossing(channel).begin();
                    }
                  })
              .bind(InetAddress.getLoopbackAddress(), port())
              .awaitUninterruptibly();
      if (bound.isSuccess()) {
        listener = bound.channel();
      } else {
        datagrams.close().syncUninterruptibly();
        if (tries >= TRIES) {
          throw new IOException("no port for a relay", bound.cause());
        }
      }
    }
  }

  /** Where the first one reaches the second. */
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
      // Nobody listens there just now; the next datagram may find somebody.
    }
  }

  /**
   * One direction of a connection: pieces in order, each when the way lets it pass; the empty one
   * is the end.
   */
  private final class Pipe extends ChannelInboundHandlerAdapter {
    private final int source;
    private final int sink;
    private final Deque<ByteBuf> waiting = new ArrayDeque<>();
    private Channel into;
    private boolean ended;
    private boolean going;

    Pipe(final int source, final int sink) {
      this.source = source;
      this.sink = sink;
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
      if (waiting.size() < MOST_HELD) {
        waiting.add((ByteBuf) message);
        go();
      } else {
        ((ByteBuf) message).release();
        context.close();
      }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
      ended = true;
      go();
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      context.close();
    }

    private void go() {
      if (!going && into != null) {
        going = true;
        loop.schedule(this::pass, links.retransmissionDelayMs(), TimeUnit.MILLISECONDS);
      }
    }

    private void pass() {
      if (!links.isOpen(source, sink)) {
        loop.schedule(this::pass, LOOK_MS, TimeUnit.MILLISECONDS);
        return;
      }
      going = false;
      while (!waiting.isEmpty()) {
        into.write(waiting.poll());
      }
      into.flush();
      if (ended) {
        into.close();
      }
    }
  }

  /** A connection over this way, with its two ends. */
  private final class Crossing {
    private final Channel near;
    private final Pipe out = new Pipe(from, to);
    private final Pipe back = new Pipe(to, from);

    Crossing(final Channel near) {
      this.near = near;
    }

    private void begin() {
      crossings.add(this);
      near.pipeline().addLast(out);
      near.closeFuture().addListener(closed -> crossings.remove(this));
      loop.schedule(this::connect, links.retransmissionDelayMs(), TimeUnit.MILLISECONDS);
    }

    private void connect() {
      if (!near.isActive()) {
        return;
      }
      if (!links.isOpen(from, to)) {
        loop.schedule(this::connect, LOOK_MS, TimeUnit.MILLISECONDS);
        return;
      }
      new Bootstrap()
          .group(loop)
          .channel(NioSocketChannel.class)
          .handler(back)
          .connect(target)
          .addListener(
              done -> {
                back.into = near;
                if (done.isSuccess()) {
                  out.into = ((ChannelFuture) done).channel();
                  near.config().setAutoRead(true);
                  near.read();
                  back.go();
                  if (!near.isActive()) {
                    out.ended = true;
                    out.go();
                  }
                } else {
                  back.ended = true;
                  back.go();
                }
              });
    }

    private void reset() {
      near.close();
      if (out.into != null) {
        out.into.close();
      }
    }
  }

  /** Ends all connections over it, both ways. */
  void reset() {
    loop.execute(() -> Set.copyOf(crossings).forEach(Crossing::reset));
  }

  @Override
  public void close() {
    datagrams.close();
    listener.close();
    reset();
  }
}
