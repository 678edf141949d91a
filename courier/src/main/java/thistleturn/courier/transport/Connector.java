package thistleturn.courier.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketAddress;
import java.net.SocketException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;

/**
 * Makes connections whose outcome is told on the loop that owns them, and nowhere else. Netty's own
 * bootstrap, where the system has no socket to give, completes its future on a thread of its own,
 * with a channel that is never closed: state of the loop would be changed beside it, and what was
 * reckoned for the channel never given back.
 */
public final class Connector {
  private Connector() {}

  /**
   * True for what this machine's system said of itself (EADDRNOTAVAIL, ENOBUFS, ENETUNREACH and the
   * like): no word of the other side, and mostly gone in a moment. A connection that was refused,
   * reset, found no host or ran out of time is none.
   */
  public static boolean isLocalFailure(final Throwable cause) {
    return cause instanceof SocketException
        && !(cause instanceof ConnectException)
        && !(cause instanceof NoRouteToHostException)
        && !String.valueOf(cause.getMessage()).contains("reset");
  }

  /**
   * Begins to connect over TCP. Called on the loop.
   *
   * @param template options and handler of the connection
   * @param told hears on the loop, after this call has returned, whether it came up
   * @throws SocketUnavailableException if the system has no socket now; then nothing is told
   */
  public static ChannelFuture connect(
      final EventLoop loop,
      final Bootstrap template,
      final SocketAddress address,
      final Consumer<ChannelFuture> told)
      throws SocketUnavailableException {
    return connect(loop, RetryingSocketChannel::new, template, address, told);
  }

  /**
   * The same by another kind of channel; {@code maker} throws {@link ChannelException} where there
   * is none to have.
   */
  public static ChannelFuture connect(
      final EventLoop loop,
      final Supplier<? extends Channel> maker,
      final Bootstrap template,
      final SocketAddress address,
      final Consumer<ChannelFuture> told)
      throws SocketUnavailableException {
    final Channel channel;
    try {
      channel = maker.get();
    } catch (final ChannelException e) {
      Log.event(
          Event.SOCKET_FAILED, "to", address, "cause", e.getCause() == null ? e : e.getCause());
      throw new SocketUnavailableException(e);
    }
    final ChannelFuture connecting =
        template.clone(loop).channelFactory(() -> channel).connect(address);
    connecting.addListener(
        done -> {
          if (!done.isSuccess()) {
            Log.event(Event.CONNECT_FAILED, "to", address, "cause", done.cause());
          }
          if (loop.inEventLoop()) {
            told.accept(connecting);
          } else {
            loop.execute(() -> told.accept(connecting));
          }
        });
    return connecting;
  }
}
