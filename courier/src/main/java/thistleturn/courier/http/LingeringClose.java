package thistleturn.courier.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection behind its last response: shuts down the output after that write, and
 * discards further input for a while. Closing with unread input would reset the connection and
 * destroy responses in flight. A client repeats discarded requests on another connection.
 */
final class LingeringClose {
  /** How long input is discarded after the last response, until the connection is closed. */
  private static final long LINGER_MS = 500;

  /** How much input is discarded after the last response, until the connection is closed. */
  private static final int MAX_DISCARDED_BYTES = 1 << 18;

  private final ChannelHandlerContext context;
  private int discardedBytes;

  LingeringClose(final ChannelHandlerContext context) {
    this.context = context;
  }

  /** Begins once the last response is written, or has failed to be. */
  void beginAfter(final ChannelFuture written) {
    context.channel().config().setAutoRead(true);
    written.addListener(
        done -> {
          if (context.channel() instanceof SocketChannel socket && done.isSuccess()) {
            socket.shutdownOutput();
          }
          context.executor().schedule(() -> context.close(), LINGER_MS, TimeUnit.MILLISECONDS);
        });
  }

  /** Discards input, up to a limit, since a reset could destroy the last response. */
  void discard(final ByteBuf bytes) {
    discardedBytes += bytes.readableBytes();
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      context.close();
    }
  }
}
