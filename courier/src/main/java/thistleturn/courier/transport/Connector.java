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
import thistleturn.courier.runtime.GuardedTasks;
import thistleturn.courier.runtime.Log;

/**
 * Establishes connections, and reports each outcome only on the event loop that owns the
 * connection. If the operating system cannot create a socket, Netty's bootstrap completes its
 * future on another thread, with a channel that is never closed: the state of the loop would then
 * be changed from another thread, and the descriptor counted for the channel would never be
 * released.
 */
public final class Connector {
  private Connector() {}

  /**
   * True if the local system failed (EADDRNOTAVAIL, ENOBUFS, ENETUNREACH and the like). Such a
   * failure shows nothing about the remote host, and is mostly transient. A connection that was
   * refused or reset, timed out or had no route to its host is not a local failure.
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
   * @param callback receives the outcome on the loop, after this call has returned
   * @throws SocketUnavailableException if the system cannot create a socket now; the callback is
   *     not called then
   */
  public static ChannelFuture connect(
      final EventLoop loop,
      final Bootstrap template,
      final SocketAddress address,
      final Consumer<ChannelFuture> callback)
      throws SocketUnavailableException {
    return connect(loop, RetryingSocketChannel::new, template, address, callback);
  }

  /**
   * Begins to connect over another kind of channel.
   *
   * @param channelFactory throws {@link ChannelException} if no channel can be created
   */
  public static ChannelFuture connect(
      final EventLoop loop,
      final Supplier<? extends Channel> channelFactory,
      final Bootstrap template,
      final SocketAddress address,
      final Consumer<ChannelFuture> callback)
      throws SocketUnavailableException {
    final Channel channel;
    try {
      channel = channelFactory.get();
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
          final Runnable report =
              GuardedTasks.guard("connect outcome", () -> callback.accept(connecting));
          if (loop.inEventLoop()) {
            report.run();
          } else {
            loop.execute(report);
          }
        });
    return connecting;
  }
}
