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
 * Sealed datagrams of at most {@link #MOST_BYTES}. What cannot be read is counted and moves
 * nothing. Lives on the event loop.
 */
final class Datagrams extends SimpleChannelInboundHandler<DatagramPacket> {
  /** Bytes of a datagram at most. */
  static final int MOST_BYTES = 1200;

  /**
   * What comes beyond so many in a second is not even looked at: strangers cost a bounded share of
   * the loop.
   */
  private static final int MOST_PER_S = 4000;

  private static final long US_PER_S = 1_000_000;

  private final Codec codec;
  private final Seal seal;
  private final Clock clock;
  private final Consumer<Packet> consumer;
  private final Consumer<Cargo> cargoes;
  private Channel channel;
  private long secondUs;
  private int inSecond;
  private long malformed;
  private long sent;
  private long sentBytes;
  private long read;
  private long tooLarge;

  Datagrams(
      final Codec codec,
      final Seal seal,
      final Clock clock,
      final Consumer<Packet> consumer,
      final Consumer<Cargo> cargoes) {
    this.codec = codec;
    this.seal = seal;
    this.clock = clock;
    this.consumer = consumer;
    this.cargoes = cargoes;
  }

  /** Listens there. */
  ChannelFuture bind(final EventLoop loop, final InetSocketAddress listen) {
    final ChannelFuture bound =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MOST_BYTES + 1))
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
  void send(final InetSocketAddress to, final Cargo cargo) {
    send(to, codec.write(cargo));
  }

  private void send(final InetSocketAddress to, final byte[] text) {
    final byte[] sealed = seal.close(text);
    if (sealed.length > MOST_BYTES) {
      tooLarge++;
      return;
    }
    if (channel != null && channel.isActive()) {
      sent++;
      sentBytes += sealed.length;
      channel.writeAndFlush(
          new DatagramPacket(Unpooled.wrappedBuffer(sealed), to), channel.voidPromise());
    }
  }

  @Override
  protected void channelRead0(final ChannelHandlerContext context, final DatagramPacket datagram) {
    final long nowUs = clock.nowUs();
    if (nowUs - secondUs >= US_PER_S) {
      secondUs = nowUs;
      inSecond = 0;
    }
    final ByteBuf content = datagram.content();
    if (++inSecond > MOST_PER_S || content.readableBytes() > MOST_BYTES) {
      malformed++;
      return;
    }
    final byte[] sealed = new byte[content.readableBytes()];
    content.readBytes(sealed);
    final byte[] text = seal.open(sealed);
    if (text == null) {
      malformed++;
      return;
    }
    final Packet packet;
    final Cargo cargo;
    try {
      final boolean isCargo = Codec.isCargo(text);
      cargo = isCargo ? codec.cargo(text) : null;
      packet = isCargo ? null : codec.packet(text);
    } catch (final IOException e) {
      malformed++;
      return;
    }
    read++;
    if (cargo != null) {
      cargoes.accept(cargo);
    } else {
      consumer.accept(packet);
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

  long malformed() {
    return malformed;
  }

  long sent() {
    return sent;
  }

  long sentBytes() {
    return sentBytes;
  }

  long read() {
    return read;
  }

  /**
   * Datagrams that were not sent since they would have been too large: 0 unless an estimate of
   * bytes is wrong.
   */
  long tooLarge() {
    return tooLarge;
  }

  void close() {
    if (channel != null) {
      channel.close();
    }
  }
}
