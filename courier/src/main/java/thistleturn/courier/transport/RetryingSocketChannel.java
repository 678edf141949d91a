package thistleturn.courier.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;

/**
 * A connection that survives a transient memory shortage of the operating system (ENOBUFS, ENOMEM)
 * by retrying the read or write. Netty's own channel closes on any error, which would leave a
 * client without a response.
 */
public final class RetryingSocketChannel extends NioSocketChannel {
  private static final long RETRY_DELAY_MS = 1;

  /** The C library's texts for ENOBUFS and ENOMEM. */
  private static final Set<String> MEMORY_SHORTAGE_MESSAGES =
      Set.of("No buffer space available", "Cannot allocate memory");

  /** Creates a channel that is not connected yet. */
  public RetryingSocketChannel() {
    super();
  }

  /** Creates a channel for an accepted socket. */
  public RetryingSocketChannel(final Channel parent, final SocketChannel socket) {
    super(parent, socket);
  }

  private static boolean isMemoryShortage(final IOException cause) {
    return MEMORY_SHORTAGE_MESSAGES.contains(String.valueOf(cause.getMessage()));
  }

  @Override
  protected int doReadBytes(final ByteBuf bytes) throws Exception {
    try {
      return super.doReadBytes(bytes);
    } catch (final IOException e) {
      if (!isMemoryShortage(e)) {
        throw e;
      }
      Log.event(
          Event.TRANSFER_RETRIED, "with", remoteAddress(), "what", "read", "cause", e.getMessage());
      return 0;
    }
  }

  /**
   * Writes the pending data. Data written before a shortage has been removed from the buffer, so
   * the retry continues after it.
   */
  @Override
  protected void doWrite(final ChannelOutboundBuffer pending) throws Exception {
    try {
      super.doWrite(pending);
    } catch (final IOException e) {
      if (!isMemoryShortage(e)) {
        throw e;
      }
      Log.event(
          Event.TRANSFER_RETRIED,
          "with",
          remoteAddress(),
          "what",
          "write",
          "cause",
          e.getMessage());
      eventLoop().schedule(this::flush, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }
  }
}
