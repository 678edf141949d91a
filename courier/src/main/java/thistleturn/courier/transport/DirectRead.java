package thistleturn.courier.transport;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Reads from a channel whether or not the selector reports it as ready. Java ignores a failure to
 * register a descriptor with the operating system (epoll_ctl: ENOMEM, ENOSPC), so a channel that is
 * never reported may be unwatched.
 */
public final class DirectRead {
  private DirectRead() {}

  /** Reads once, on the loop of the channel; its handlers receive the input as usual. */
  public static void readOnce(final Channel channel) {
    if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
      unsafe.read();
    }
  }
}
