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
 * An event loop that knows the lines of the handover protocol on it, so that a test can end one of
 * them while everything else of its process goes on.
 */
final class ConnectionTrackingEventLoop extends SingleThreadIoEventLoop {
  private final List<NioDomainSocketChannel> lines = new CopyOnWriteArrayList<>();

  ConnectionTrackingEventLoop() {
    super(
        null,
        new ThreadPerTaskExecutor(Executors.defaultThreadFactory()),
        NioIoHandler.newFactory());
  }

  @Override
  public ChannelFuture register(final ChannelPromise promise) {
    if (promise.channel() instanceof NioDomainSocketChannel line) {
      lines.add(line);
    }
    return super.register(promise);
  }

  /** Returns the lines that are open, the oldest first. */
  List<NioDomainSocketChannel> openConnections() {
    return lines.stream().filter(NioDomainSocketChannel::isOpen).toList();
  }
}
