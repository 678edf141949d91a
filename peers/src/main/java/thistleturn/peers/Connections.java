package thistleturn.peers;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import thistleturn.courier.transport.AcceptRetryHandler;
import thistleturn.courier.transport.Connector;
import thistleturn.courier.transport.SocketUnavailableException;
import thistleturn.decisions.peers.FullStateMessage;
import thistleturn.decisions.peers.PeerId;

/**
 * Connections that are kept to tell of ends, and that carry full states. Whoever accepts greets
 * first and at once, so that a connection which ends before its greeting says that nobody of the
 * fleet listens there; one that is full greets, too, and closes then. Lives on the event loop.
 */
final class Connections {
  /** For so long a greeting is waited for. */
  private static final int PATIENCE_MS = 1000;

  /** Connections of others at most: each is watched by few. */
  private static final int MOST_ACCEPTED = 96;

  /** What becomes of a connection that was asked for. */
  interface Told {
    void greeted(String to, PeerId by);

    void closed(String to);

    void unanswered(String to);
  }

  private final EventLoop loop;
  private final Codec codec;
  private final Seal seal;
  private final Supplier<PeerId> self;
  private final Function<String, InetSocketAddress> way;
  private final Told told;
  private final Consumer<FullStateMessage> fulls;
  private final Consumer<Cargo> cargoes;
  private final Map<String, Outgoing> outgoing = new HashMap<>();
  private final Set<Channel> accepted = new HashSet<>();
  private Channel listener;
  private long malformed;
  private boolean ending;

  Connections(
      final EventLoop loop,
      final Codec codec,
      final Seal seal,
      final Supplier<PeerId> self,
      final Function<String, InetSocketAddress> way,
      final Told told,
      final Consumer<FullStateMessage> fulls,
      final Consumer<Cargo> cargoes) {
    this.loop = loop;
    this.codec = codec;
    this.seal = seal;
    this.self = self;
    this.way = way;
    this.told = told;
    this.fulls = fulls;
    this.cargoes = cargoes;
  }

  /** Listens there. */
  ChannelFuture bind(final InetSocketAddress listen) {
    final ChannelFuture bound =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .handler(new AcceptRetryHandler())
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(final Channel channel) {
                    new Incoming().join(channel.pipeline());
                  }
                })
            .bind(listen);
    listener = bound.channel();
    return bound;
  }

  /** Somebody else's connection. */
  private final class Incoming extends Frames {
    private boolean greeted;

    Incoming() {
      super(seal);
    }

    @Override
    public void channelActive(final ChannelHandlerContext context) {
      final ChannelFuture said =
          context.writeAndFlush(frame(seal, GREETING, codec.write(self.get())));
      if (accepted.size() >= MOST_ACCEPTED) {
        said.addListener(ChannelFutureListener.CLOSE);
        return;
      }
      accepted.add(context.channel());
      loop.schedule(
          () -> {
            if (!greeted) {
              context.close();
            }
          },
          PATIENCE_MS,
          TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
      accepted.remove(context.channel());
    }

    @Override
    void read(final ChannelHandlerContext context, final byte kind, final byte[] text)
        throws IOException {
      if (kind == GREETING) {
        codec.greeting(text);
        greeted = true;
      } else if (kind == FULL) {
        fulls.accept(codec.full(text));
      } else if (kind == CARGO) {
        cargoes.accept(codec.cargo(text));
      }
    }

    @Override
    void malformed() {
      malformed++;
    }
  }

  /** A connection of our own: kept, or for one full state. */
  private final class Outgoing extends Frames {
    private final String to;
    private final boolean kept;

    /** What goes out as soon as it is greeted, and ends it; null for one that is kept. */
    private ByteBuf burden;

    private Channel channel;
    private boolean greeted;
    private boolean over;

    Outgoing(final String to, final boolean kept, final ByteBuf burden) {
      super(seal);
      this.to = to;
      this.kept = kept;
      this.burden = burden;
    }

    private void begin() {
      final Bootstrap template =
          new Bootstrap()
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, PATIENCE_MS)
              .option(ChannelOption.TCP_NODELAY, true)
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel made) {
                      join(made.pipeline());
                    }
                  });
      try {
        channel =
            Connector.connect(
                    loop,
                    template,
                    way.apply(to),
                    done -> {
                      if (!done.isSuccess()) {
                        // Only a refusal is the word of the system there; all else may be the way's
                        // doing, or our own.
                        end(
                            done.cause() instanceof ConnectException
                                && !(done.cause() instanceof ConnectTimeoutException));
                      }
                    })
                .channel();
      } catch (final SocketUnavailableException e) {
        // Our own doing: nothing is said of the other side.
        loop.execute(() -> end(false));
      }
      loop.schedule(
          () -> {
            if (!greeted) {
              end(false);
            }
          },
          PATIENCE_MS,
          TimeUnit.MILLISECONDS);
    }

    private void close() {
      if (channel != null) {
        channel.close();
      }
    }

    /** It is over, by the word of the other side or by nobody's. */
    private void end(final boolean byWord) {
      if (over) {
        return;
      }
      over = true;
      if (burden != null) {
        burden.release();
        burden = null;
      }
      close();
      if (kept && outgoing.remove(to, this) && !ending) {
        if (byWord) {
          told.closed(to);
        } else {
          told.unanswered(to);
        }
      }
    }

    @Override
    public void channelActive(final ChannelHandlerContext context) {
      context.writeAndFlush(frame(seal, GREETING, codec.write(self.get())));
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
      end(true);
    }

    @Override
    void read(final ChannelHandlerContext context, final byte kind, final byte[] text)
        throws IOException {
      if (kind == GREETING && !greeted) {
        greeted = true;
        final PeerId by = codec.greeting(text);
        if (burden != null) {
          context.writeAndFlush(burden);
          burden = null;
        }
        if (!kept) {
          over = true;
          context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        } else if (!over) {
          told.greeted(to, by);
        }
      }
    }

    @Override
    void malformed() {
      malformed++;
    }
  }

  /** Begins a connection that is kept; one that is there ends, and nothing more is told of it. */
  void connect(final String to) {
    disconnect(to);
    if (!ending) {
      final Outgoing next = new Outgoing(to, true, null);
      outgoing.put(to, next);
      next.begin();
    }
  }

  /** Ends the kept connection there, if there is one. */
  void disconnect(final String to) {
    final Outgoing before = outgoing.remove(to);
    if (before != null) {
      before.over = true;
      before.close();
    }
  }

  /** Sends a full state. */
  void full(final String to, final FullStateMessage full) {
    carry(to, Frames.FULL, codec.write(full));
  }

  /** Sends what a passenger has. */
  void cargo(final String to, final Cargo cargo) {
    carry(to, Frames.CARGO, codec.write(cargo));
  }

  /**
   * Over the kept connection, or over one that is made for it; what is too long for a frame is
   * lost.
   */
  private void carry(final String to, final byte kind, final byte[] text) {
    if (ending || text.length >= Frames.MOST_BYTES / 2) {
      return;
    }
    final Outgoing kept = outgoing.get(to);
    final ByteBuf frame = Frames.frame(seal, kind, text);
    if (kept == null || !kept.greeted) {
      new Outgoing(to, false, frame).begin();
    } else if (kept.channel.isWritable()) {
      kept.channel.writeAndFlush(frame);
    } else {
      // Whoever reads so slowly is told again later.
      frame.release();
    }
  }

  long malformed() {
    return malformed;
  }

  /** Connections that are open, of others and our own. */
  int open() {
    return accepted.size() + outgoing.size();
  }

  void close() {
    ending = true;
    if (listener != null) {
      listener.close();
    }
    Set.copyOf(outgoing.keySet()).forEach(this::disconnect);
    Set.copyOf(accepted).forEach(Channel::close);
  }
}
