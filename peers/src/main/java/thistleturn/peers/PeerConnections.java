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
 * Connections between peers. Persistent ones show when a peer ends; they, and short-lived ones,
 * carry frames that are too large for a datagram, or must not be lost.
 *
 * <p>The accepting side greets first and at once, so a connection that ends before its greeting
 * shows that no courier of the fleet listens there. A peer that has no capacity for a connection
 * greets as well, and closes it then. Lives on the event loop.
 */
final class PeerConnections {
  /** How long a connection may take to come up, and how long the greeting then may take. */
  private static final int GREETING_TIMEOUT_MS = 1000;

  /** Enough, since each peer is monitored by few others. */
  private static final int MAX_ACCEPTED = 96;

  /** Receives what becomes of persistent connections. */
  interface Listener {
    /** The peer at this address has greeted. */
    void onGreeted(String address, PeerId peer);

    /** The system at this address has refused or closed the connection. */
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

  /** Accepts connections at this address from now on. */
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

  /** A connection that a peer has made. */
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

  /** A connection to a peer: persistent, or for one frame. */
  private final class OutgoingConnection extends FrameHandler {
    private final String remoteAddress;
    private final boolean persistent;

    /** The one frame, which is sent after the greeting; null for a persistent connection. */
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
        // A fault of this system shows nothing about the peer.
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

    /** True if the peer's system refused the connection; other failures may be the network's. */
    private static boolean isRefused(final Throwable failure) {
      return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
    }

    private void close() {
      if (channel != null) {
        channel.close();
      }
    }

    /** Ends the connection, and reports whether the peer's side has closed or refused it. */
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
   * Makes a persistent connection, in place of the one there is; nothing more is reported of that.
   */
  void connect(final String to) {
    disconnect(to);
    if (!closing) {
      final OutgoingConnection next = new OutgoingConnection(to, true, null);
      outgoing.put(to, next);
      next.connect();
    }
  }

  /** Ends the persistent connection to an address, if there is one, without a report. */
  void disconnect(final String to) {
    final OutgoingConnection before = outgoing.remove(to);
    if (before != null) {
      before.ended = true;
      before.close();
    }
  }

  /** Sends all that this courier knows of its fleet. */
  void sendFullState(final String to, final FullStateMessage message) {
    sendFrame(to, FrameHandler.FULL_STATE, codec.write(message));
  }

  /** Sends a message of another subsystem. */
  void sendPiggyback(final String to, final PiggybackMessage message) {
    sendFrame(to, FrameHandler.PIGGYBACK, codec.write(message));
  }

  /**
   * Sends a frame over the persistent connection, or over one that is made for it. What is too
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
      // The peer reads too slowly: it will get a later message.
      frame.release();
    }
  }

  long malformedCount() {
    return malformedCount;
  }

  /** Returns how many connections there are, in both directions. */
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
