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
 * Sends and receives authenticated datagrams. Malformed datagrams are counted and otherwise
 * ignored. Confined to the event loop.
 */
final class DatagramTransport extends SimpleChannelInboundHandler<DatagramPacket> {
  /** Small enough to pass any network path without fragmentation. */
  static final int MAX_DATAGRAM_BYTES = 1200;

  /**
   * Further datagrams within a second are dropped unread, so that datagrams from outside the fleet
   * take a bounded share of the event loop.
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
      final MessageAuthenticator authenticator,
      final Clock clock,
      final Consumer<Packet> packetConsumer,
      final Consumer<PiggybackMessage> piggybackConsumer) {
    this.codec = codec;
    this.authenticator = authenticator;
    this.clock = clock;
    this.packetConsumer = packetConsumer;
    this.piggybackConsumer = piggybackConsumer;
  }

  /** Starts to receive datagrams at this address. */
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

  /** Sends a datagram, which may be lost. */
  void send(final InetSocketAddress to, final Packet packet) {
    send(to, codec.write(packet));
  }

  /** Sends a message of another subsystem, which may be lost. */
  void send(final InetSocketAddress to, final PiggybackMessage message) {
    send(to, codec.write(message));
  }

  private void send(final InetSocketAddress to, final byte[] payload) {
    final byte[] signed = authenticator.sign(payload);
    if (signed.length > MAX_DATAGRAM_BYTES) {
      oversizedCount++;
      return;
    }
    if (channel != null && channel.isActive()) {
      sentCount++;
      sentBytes += signed.length;
      channel.writeAndFlush(
          new DatagramPacket(Unpooled.wrappedBuffer(signed), to), channel.voidPromise());
    }
  }

  @Override
  protected void channelRead0(final ChannelHandlerContext context, final DatagramPacket datagram) {
    final ByteBuf content = datagram.content();
    if (!tryAcquire() || content.readableBytes() > MAX_DATAGRAM_BYTES) {
      malformedCount++;
      return;
    }
    final byte[] signed = new byte[content.readableBytes()];
    content.readBytes(signed);
    final byte[] payload = authenticator.verify(signed);
    if (payload == null) {
      malformedCount++;
    } else if (PeerCodec.isPiggyback(payload)) {
      readPiggyback(payload);
    } else {
      readPacket(payload);
    }
  }

  /** Counts a datagram against the rate limit; returns false if it must be dropped. */
  private boolean tryAcquire() {
    final long nowUs = clock.nowUs();
    if (nowUs - rateWindowStartUs >= US_PER_S) {
      rateWindowStartUs = nowUs;
      receivedInWindow = 0;
    }
    receivedInWindow++;
    return receivedInWindow <= MAX_DATAGRAMS_PER_S;
  }

  private void readPiggyback(final byte[] payload) {
    final PiggybackMessage message;
    try {
      message = codec.readPiggyback(payload);
    } catch (final IOException e) {
      malformedCount++;
      return;
    }
    readCount++;
    piggybackConsumer.accept(message);
  }

  private void readPacket(final byte[] payload) {
    final Packet packet;
    try {
      packet = codec.readPacket(payload);
    } catch (final IOException e) {
      malformedCount++;
      return;
    }
    readCount++;
    packetConsumer.accept(packet);
  }

  /**
   * Ignores the error by which the operating system reports, on the next send, an address without a
   * listener: the connections are better evidence of that.
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

  /** Returns how many datagrams were too large to send; 0 unless a size estimate is wrong. */
  long oversizedCount() {
    return oversizedCount;
  }

  void close() {
    if (channel != null) {
      channel.close();
    }
  }
}
