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
 * A connection that outlives a shortage of the system's memory (ENOBUFS, ENOMEM): what could not be
 * read or written then is in a moment. Netty's own closes at any error, and a client whose request
 * was read would have no answer.
 */
public final class RetryingSocketChannel extends NioSocketChannel {
  private static final long RETRY_DELAY_MS = 1;

  /** As the C library words them. */
  private static final Set<String> MEMORY_SHORTAGE_MESSAGES =
      Set.of("No buffer space available", "Cannot allocate memory");

  /** One that is to be connected. */
  public RetryingSocketChannel() {
    super();
  }

  /** One that was accepted. */
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
   * What was written before the shortage is out of the buffer already: the rest goes on from there.
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
