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
 * Connections between peers. Persistent connections show when a peer's process ends. Both
 * persistent and short-lived connections carry frames that are too large for a datagram or need
 * reliable delivery.
 *
 * <p>The accepting side sends its greeting immediately, so a connection that closes before its
 * greeting shows that no courier of the fleet listens there. A peer without capacity for a
 * connection also sends its greeting before it closes the connection. Confined to the event loop.
 */
final class PeerConnections {
  /** The timeout for connecting, and for the greeting. */
  private static final int GREETING_TIMEOUT_MS = 1000;

  /**
   * The maximum number of accepted connections; few are needed, since few peers monitor each peer.
   */
  private static final int MAX_ACCEPTED = 96;

  /** Receives the outcomes of persistent connections. */
  interface Listener {
    /** The peer at this address sent its greeting. */
    void onGreeted(String address, PeerId peer);

    /** The system at this address refused or closed the connection. */
    void onClosed(String address);

    /** The connection failed or timed out, which shows nothing about the system at this address. */
    void onUnanswered(String address);
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
      final MessageAuthenticator authenticator,
      final Supplier<PeerId> self,
      final Function<String, InetSocketAddress> addressResolver,
      final Listener listener,
      final Consumer<FullStateMessage> fullStateConsumer,
      final Consumer<PiggybackMessage> piggybackConsumer) {
    this.loop = loop;
    this.codec = codec;
    this.authenticator = authenticator;
    this.self = self;
    this.addressResolver = addressResolver;
    this.listener = listener;
    this.fullStateConsumer = fullStateConsumer;
    this.piggybackConsumer = piggybackConsumer;
  }

  /** Starts to accept connections at this address. */
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

  /** A connection opened by a peer. */
  private final class IncomingConnection extends FrameHandler {
    private boolean greeted;

    IncomingConnection() {
      super(authenticator);
    }

    @Override
    public void channelActive(final ChannelHandlerContext context) {
      final ChannelFuture greeting =
          context.writeAndFlush(encodeFrame(authenticator, GREETING, codec.write(self.get())));
      if (accepted.size() >= MAX_ACCEPTED) {
        greeting.addListener(ChannelFutureListener.CLOSE);
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
    void onFrame(final ChannelHandlerContext context, final byte type, final byte[] payload)
        throws IOException {
      if (type == GREETING) {
        codec.readGreeting(payload);
        greeted = true;
      } else if (type == FULL_STATE) {
        fullStateConsumer.accept(codec.readFullState(payload));
      } else if (type == PIGGYBACK) {
        piggybackConsumer.accept(codec.readPiggyback(payload));
      }
    }

    @Override
    void onMalformedFrame() {
      malformedCount++;
    }
  }

  /** A connection to a peer, either persistent or for a single frame. */
  private final class OutgoingConnection extends FrameHandler {
    private final String remoteAddress;
    private final boolean persistent;

    /** The single frame, sent after the greeting; null for a persistent connection. */
    private ByteBuf pendingFrame;

    private Channel channel;
    private boolean greeted;
    private boolean ended;

    OutgoingConnection(
        final String remoteAddress, final boolean persistent, final ByteBuf pendingFrame) {
      super(authenticator);
      this.remoteAddress = remoteAddress;
      this.persistent = persistent;
      this.pendingFrame = pendingFrame;
    }

    private void connect() {
      final Bootstrap template =
          new Bootstrap()
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, GREETING_TIMEOUT_MS)
              .option(ChannelOption.TCP_NODELAY, true)
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel newChannel) {
                      addTo(newChannel.pipeline());
                    }
                  });
      try {
        channel =
            Connector.connect(
                    loop,
                    template,
                    addressResolver.apply(remoteAddress),
                    connecting -> {
                      if (!connecting.isSuccess()) {
                        endAndReport(isRefused(connecting.cause()));
                      }
                    })
                .channel();
      } catch (final SocketUnavailableException e) {
        // A local fault shows nothing about the peer.
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

    /**
     * Returns true if the peer's system refused the connection; the network may cause other
     * failures.
     */
    private static boolean isRefused(final Throwable failure) {
      return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
    }

    private void close() {
      if (channel != null) {
        channel.close();
      }
    }

    /** Closes the connection, and reports whether the peer's side closed or refused it. */
    private void endAndReport(final boolean closedByPeer) {
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
        if (closedByPeer) {
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
    void onFrame(final ChannelHandlerContext context, final byte type, final byte[] payload)
        throws IOException {
      if (type == GREETING && !greeted) {
        greeted = true;
        final PeerId peer = codec.readGreeting(payload);
        if (pendingFrame != null) {
          context.writeAndFlush(pendingFrame);
          pendingFrame = null;
        }
        if (!persistent) {
          ended = true;
          context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        } else if (!ended) {
          listener.onGreeted(remoteAddress, peer);
        }
      }
    }

    @Override
    void onMalformedFrame() {
      malformedCount++;
    }
  }

  /**
   * Opens a persistent connection that replaces an existing one; the outcome of the existing one is
   * not reported.
   */
  void connect(final String to) {
    disconnect(to);
    if (!closing) {
      final OutgoingConnection next = new OutgoingConnection(to, true, null);
      outgoing.put(to, next);
      next.connect();
    }
  }

  /** Closes the persistent connection to an address, if there is one, without a report. */
  void disconnect(final String to) {
    final OutgoingConnection removed = outgoing.remove(to);
    if (removed != null) {
      removed.ended = true;
      removed.close();
    }
  }

  /** Sends this courier's full state of the fleet. */
  void sendFullState(final String to, final FullStateMessage message) {
    sendFrame(to, FrameHandler.FULL_STATE, codec.write(message));
  }

  /** Sends a message of another subsystem. */
  void sendPiggyback(final String to, final PiggybackMessage message) {
    sendFrame(to, FrameHandler.PIGGYBACK, codec.write(message));
  }

  /**
   * Sends a frame over the persistent connection, or over one opened for it. A payload that is too
   * large for a frame is dropped.
   */
  private void sendFrame(final String to, final byte type, final byte[] payload) {
    if (closing || payload.length >= FrameHandler.MAX_FRAME_BYTES / 2) {
      return;
    }
    final OutgoingConnection persistent = outgoing.get(to);
    final ByteBuf frame = FrameHandler.encodeFrame(authenticator, type, payload);
    if (persistent == null || !persistent.greeted) {
      new OutgoingConnection(to, false, frame).connect();
    } else if (persistent.channel.isWritable()) {
      persistent.channel.writeAndFlush(frame);
    } else {
      // The peer reads too slowly; a later message replaces this one.
      frame.release();
    }
  }

  long malformedCount() {
    return malformedCount;
  }

  /** Returns the number of incoming and outgoing connections. */
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
