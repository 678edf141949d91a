package thistleturn.peers;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import thistleturn.courier.runtime.Clock;
import thistleturn.decisions.peers.Packet;

/**
 * Sealed datagrams of at most {@link #MAX_DATAGRAM_BYTES}. What cannot be read is counted and moves
 * nothing. Lives on the event loop.
 */
final class DatagramTransport extends SimpleChannelInboundHandler<DatagramPacket> {
  /** Bytes of a datagram at most. */
  static final int MAX_DATAGRAM_BYTES = 1200;

  /**
   * What comes beyond so many in a second is not even looked at: strangers cost a bounded share of
   * the loop.
   */
  private static final int MAX_DATAGRAMS_PER_S = 4000;

  private static final long US_PER_S = 1_000_000;

  private final PeerCodec codec;
  private final MessageAuthenticator authenticator;
  private final Clock clock;
  private final Consumer<Packet> packetConsumer;
  private final Consumer<PiggybackMessage> piggybackConsumer;
  private Channel channel;
  private long rateWindowStartUs;
  private int receivedInWindow;
  private long malformedCount;
  private long sentCount;
  private long sentBytes;
  private long readCount;
  private long oversizedCount;

  DatagramTransport(
      final PeerCodec codec,
      final MessageAuthenticator seal,
      final Clock clock,
      final Consumer<Packet> consumer,
      final Consumer<PiggybackMessage> cargoes) {
    this.codec = codec;
    this.authenticator = seal;
    this.clock = clock;
    this.packetConsumer = consumer;
    this.piggybackConsumer = cargoes;
  }

  /** Listens there. */
  ChannelFuture bind(final EventLoop loop, final InetSocketAddress listen) {
    final ChannelFuture bound =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES + 1))
            .handler(this)
            .bind(listen);
    channel = bound.channel();
    return bound;
  }

  /** Sends, or loses, one. */
  void send(final InetSocketAddress to, final Packet packet) {
    send(to, codec.write(packet));
  }

  /** Sends, or loses, what a passenger has. */
  void send(final InetSocketAddress to, final PiggybackMessage cargo) {
    send(to, codec.write(cargo));
  }

  private void send(final InetSocketAddress to, final byte[] text) {
    final byte[] sealed = authenticator.sign(text);
    if (sealed.length > MAX_DATAGRAM_BYTES) {
      oversizedCount++;
      return;
    }
    if (channel != null && channel.isActive()) {
      sentCount++;
      sentBytes += sealed.length;
      channel.writeAndFlush(
          new DatagramPacket(Unpooled.wrappedBuffer(sealed), to), channel.voidPromise());
    }
  }

  @Override
  protected void channelRead0(final ChannelHandlerContext context, final DatagramPacket datagram) {
    final long nowUs = clock.nowUs();
    if (nowUs - rateWindowStartUs >= US_PER_S) {
      rateWindowStartUs = nowUs;
      receivedInWindow = 0;
    }
    final ByteBuf content = datagram.content();
    if (++receivedInWindow > MAX_DATAGRAMS_PER_S || content.readableBytes() > MAX_DATAGRAM_BYTES) {
      malformedCount++;
      return;
    }
    final byte[] sealed = new byte[content.readableBytes()];
    content.readBytes(sealed);
    final byte[] text = authenticator.verify(sealed);
    if (text == null) {
      malformedCount++;
      return;
    }
    final Packet packet;
    final PiggybackMessage cargo;
    try {
      final boolean isCargo = PeerCodec.isPiggyback(text);
      cargo = isCargo ? codec.readPiggyback(text) : null;
      packet = isCargo ? null : codec.readPacket(text);
    } catch (final IOException e) {
      malformedCount++;
      return;
    }
    readCount++;
    if (cargo != null) {
      piggybackConsumer.accept(cargo);
    } else {
      packetConsumer.accept(packet);
    }
  }

  /**
   * An address at which nobody listens says so on the next send: the connections tell that better.
   */
  @Override
  public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
    if (!(cause instanceof IOException)) {
      context.fireExceptionCaught(cause);
    }
  }

  long malformedCount() {
    return malformedCount;
  }

  long sentCount() {
    return sentCount;
  }

  long sentBytes() {
    return sentBytes;
  }

  long readCount() {
    return readCount;
  }

  /**
   * Datagrams that were not sent since they would have been too large: 0 unless an estimate of
   * bytes is wrong.
   */
  long oversizedCount() {
    return oversizedCount;
  }

  void close() {
    if (channel != null) {
      channel.close();
    }
  }
}
