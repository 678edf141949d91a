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
final class PeerConnections {
  /** For so long a greeting is waited for. */
  private static final int GREETING_TIMEOUT_MS = 1000;

  /** Connections of others at most: each is watched by few. */
  private static final int MAX_ACCEPTED = 96;

  /** What becomes of a connection that was asked for. */
  interface Listener {
    void onGreeted(String to, PeerId by);

    void onClosed(String to);

    void onUnanswered(String to);
  }

  private final EventLoop loop;
  private final PeerCodec codec;
  private final MessageAuthenticator authenticator;
  private final Supplier<PeerId> self;
  private final Function<String, InetSocketAddress> addressResolver;
  private final Listener listener;
  private final Consumer<FullStateMessage> fullStateConsumer;
  private final Consumer<PiggybackMessage> piggybackConsumer;
  private final Map<String, OutgoingConnection> outgoing = new HashMap<>();
  private final Set<Channel> accepted = new HashSet<>();
  private Channel serverChannel;
  private long malformedCount;
  private boolean closing;

  PeerConnections(
      final EventLoop loop,
      final PeerCodec codec,
      final MessageAuthenticator seal,
      final Supplier<PeerId> self,
      final Function<String, InetSocketAddress> way,
      final Listener told,
      final Consumer<FullStateMessage> fulls,
      final Consumer<PiggybackMessage> cargoes) {
    this.loop = loop;
    this.codec = codec;
    this.authenticator = seal;
    this.self = self;
    this.addressResolver = way;
    this.listener = told;
    this.fullStateConsumer = fulls;
    this.piggybackConsumer = cargoes;
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
                    new IncomingConnection().addTo(channel.pipeline());
                  }
                })
            .bind(listen);
    serverChannel = bound.channel();
    return bound;
  }

  /** Somebody else's connection. */
  private final class IncomingConnection extends FrameHandler {
    private boolean greeted;

    IncomingConnection() {
      super(authenticator);
    }

    @Override
    public void channelActive(final ChannelHandlerContext context) {
      final ChannelFuture said =
          context.writeAndFlush(encodeFrame(authenticator, GREETING, codec.write(self.get())));
      if (accepted.size() >= MAX_ACCEPTED) {
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
          GREETING_TIMEOUT_MS,
          TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
      accepted.remove(context.channel());
    }

    @Override
    void onFrame(final ChannelHandlerContext context, final byte kind, final byte[] text)
        throws IOException {
      if (kind == GREETING) {
        codec.readGreeting(text);
        greeted = true;
      } else if (kind == FULL_STATE) {
        fullStateConsumer.accept(codec.readFullState(text));
      } else if (kind == PIGGYBACK) {
        piggybackConsumer.accept(codec.readPiggyback(text));
      }
    }

    @Override
    void onMalformedFrame() {
      malformedCount++;
    }
  }

  /** A connection of our own: kept, or for one full state. */
  private final class OutgoingConnection extends FrameHandler {
    private final String remoteAddress;
    private final boolean persistent;

    /** What goes out as soon as it is greeted, and ends it; null for one that is kept. */
    private ByteBuf pendingFrame;

    private Channel channel;
    private boolean greeted;
    private boolean ended;

    OutgoingConnection(final String to, final boolean kept, final ByteBuf burden) {
      super(authenticator);
      this.remoteAddress = to;
      this.persistent = kept;
      this.pendingFrame = burden;
    }

    private void connect() {
      final Bootstrap template =
          new Bootstrap()
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, GREETING_TIMEOUT_MS)
              .option(ChannelOption.TCP_NODELAY, true)
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel made) {
                      addTo(made.pipeline());
                    }
                  });
      try {
        channel =
            Connector.connect(
                    loop,
                    template,
                    addressResolver.apply(remoteAddress),
                    done -> {
                      if (!done.isSuccess()) {
                        // Only a refusal is the word of the system there; all else may be the way's
                        // doing, or our own.
                        endAndReport(
                            done.cause() instanceof ConnectException
                                && !(done.cause() instanceof ConnectTimeoutException));
                      }
                    })
                .channel();
      } catch (final SocketUnavailableException e) {
        // Our own doing: nothing is said of the other side.
        loop.execute(() -> endAndReport(false));
      }
      loop.schedule(
          () -> {
            if (!greeted) {
              endAndReport(false);
            }
          },
          GREETING_TIMEOUT_MS,
          TimeUnit.MILLISECONDS);
    }

    private void close() {
      if (channel != null) {
        channel.close();
      }
    }

    /** It is over, by the word of the other side or by nobody's. */
    private void endAndReport(final boolean byWord) {
      if (ended) {
        return;
      }
      ended = true;
      if (pendingFrame != null) {
        pendingFrame.release();
        pendingFrame = null;
      }
      close();
      if (persistent && outgoing.remove(remoteAddress, this) && !closing) {
        if (byWord) {
          listener.onClosed(remoteAddress);
        } else {
          listener.onUnanswered(remoteAddress);
        }
      }
    }

    @Override
    public void channelActive(final ChannelHandlerContext context) {
      context.writeAndFlush(encodeFrame(authenticator, GREETING, codec.write(self.get())));
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
      endAndReport(true);
    }

    @Override
    void onFrame(final ChannelHandlerContext context, final byte kind, final byte[] text)
        throws IOException {
      if (kind == GREETING && !greeted) {
        greeted = true;
        final PeerId by = codec.readGreeting(text);
        if (pendingFrame != null) {
          context.writeAndFlush(pendingFrame);
          pendingFrame = null;
        }
        if (!persistent) {
          ended = true;
          context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        } else if (!ended) {
          listener.onGreeted(remoteAddress, by);
        }
      }
    }

    @Override
    void onMalformedFrame() {
      malformedCount++;
    }
  }

  /** Begins a connection that is kept; one that is there ends, and nothing more is told of it. */
  void connect(final String to) {
    disconnect(to);
    if (!closing) {
      final OutgoingConnection next = new OutgoingConnection(to, true, null);
      outgoing.put(to, next);
      next.connect();
    }
  }

  /** Ends the kept connection there, if there is one. */
  void disconnect(final String to) {
    final OutgoingConnection before = outgoing.remove(to);
    if (before != null) {
      before.ended = true;
      before.close();
    }
  }

  /** Sends a full state. */
  void sendFullState(final String to, final FullStateMessage full) {
    sendFrame(to, FrameHandler.FULL_STATE, codec.write(full));
  }

  /** Sends what a passenger has. */
  void sendPiggyback(final String to, final PiggybackMessage cargo) {
    sendFrame(to, FrameHandler.PIGGYBACK, codec.write(cargo));
  }

  /**
   * Over the kept connection, or over one that is made for it; what is too long for a frame is
   * lost.
   */
  private void sendFrame(final String to, final byte kind, final byte[] text) {
    if (closing || text.length >= FrameHandler.MAX_FRAME_BYTES / 2) {
      return;
    }
    final OutgoingConnection kept = outgoing.get(to);
    final ByteBuf frame = FrameHandler.encodeFrame(authenticator, kind, text);
    if (kept == null || !kept.greeted) {
      new OutgoingConnection(to, false, frame).connect();
    } else if (kept.channel.isWritable()) {
      kept.channel.writeAndFlush(frame);
    } else {
      // Whoever reads so slowly is told again later.
      frame.release();
    }
  }

  long malformedCount() {
    return malformedCount;
  }

  /** Connections that are open, of others and our own. */
  int openCount() {
    return accepted.size() + outgoing.size();
  }

  void close() {
    closing = true;
    if (serverChannel != null) {
      serverChannel.close();
    }
    Set.copyOf(outgoing.keySet()).forEach(this::disconnect);
    Set.copyOf(accepted).forEach(Channel::close);
  }
}
