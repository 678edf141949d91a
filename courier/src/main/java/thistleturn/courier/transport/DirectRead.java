package thistleturn.courier.transport;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Reads what a channel has, whether or not the selector says so. Java ignores that the system
 * refuses to watch a descriptor (epoll_ctl: ENOMEM, ENOSPC): a channel of which nothing is heard
 * may be one that nobody watches.
 */
public final class DirectRead {
  private DirectRead() {}

  /** Reads once, on the channel's loop; what is found goes through its handlers as ever. */
  public static void readOnce(final Channel channel) {
    if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
      unsafe.read();
    }
  }
}
