package thistleturn.courier;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.util.concurrent.ThreadPerTaskExecutor;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;

/**
 * An event loop that tracks its connections of the handover protocol, so that a test can close one
 * of them while the rest of the process keeps running.
 */
final class ConnectionTrackingEventLoop extends SingleThreadIoEventLoop {
  private final List<NioDomainSocketChannel> connections = new CopyOnWriteArrayList<>();

  ConnectionTrackingEventLoop() {
    super(
        null,
        new ThreadPerTaskExecutor(Executors.defaultThreadFactory()),
        NioIoHandler.newFactory());
  }

  @Override
  public ChannelFuture register(final ChannelPromise promise) {
    if (promise.channel() instanceof NioDomainSocketChannel connection) {
      connections.add(connection);
    }
    return super.register(promise);
  }

  /** Returns the open connections, the oldest first. */
  List<NioDomainSocketChannel> openConnections() {
    return connections.stream().filter(NioDomainSocketChannel::isOpen).toList();
  }
}
