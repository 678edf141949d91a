package thistleturn.benchmarks.scale;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A server that answers every call with 200, at once or after a delay, and counts the calls. */
final class Endpoints implements AutoCloseable {
  private static final ByteBuf OK =
      Unpooled.unreleasableBuffer(
              Unpooled.directBuffer()
                  .writeBytes(
                      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                          .getBytes(StandardCharsets.US_ASCII)))
          .asReadOnly();
  private static final byte[] ID = "x-request-id:".getBytes(StandardCharsets.US_ASCII);

  /** Calls answered so far. */
  final AtomicLong calls = new AtomicLong();

  /** Calls beyond the first for the same message. */
  final AtomicLong duplicates = new AtomicLong();

  private final ConcurrentIdSet seenIds = new ConcurrentIdSet();
  private final Channel channel;

  /** Binds a free port; {@code delayMs} is the duration of a call. */
  Endpoints(final EventLoopGroup group, final int delayMs) {
    this.channel =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 4096)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(final Channel child) {
                    child.pipeline().addLast(new CallHandler(delayMs));
                  }
                })
            .bind(new InetSocketAddress("127.0.0.1", 0))
            .syncUninterruptibly()
            .channel();
  }

  String address() {
    return "127.0.0.1:" + ((InetSocketAddress) channel.localAddress()).getPort();
  }

  @Override
  public void close() {
    channel.close().awaitUninterruptibly();
  }

  private final class CallHandler extends Framing {
    private final int delayMs;

    private CallHandler(final int delayMs) {
      this.delayMs = delayMs;
    }

    @Override
    void onMessage(
        final ChannelHandlerContext context,
        final ByteBuf bytes,
        final int from,
        final int headEnd) {
      final int at = indexOf(bytes, ID, from, headEnd);
      if (at >= 0 && !seenIds.add(number(bytes, at + ID.length))) {
        duplicates.incrementAndGet();
      }
      if (delayMs == 0) {
        answer(context);
      } else {
        context.executor().schedule(() -> answer(context), delayMs, TimeUnit.MILLISECONDS);
      }
    }

    private void answer(final ChannelHandlerContext context) {
      calls.incrementAndGet();
      context.writeAndFlush(OK.duplicate());
    }
  }
}
