package thistleturn.courier.platform;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.transport.Connector;
import thistleturn.courier.transport.SocketUnavailableException;

/**
 * One connection to the platform, from the first try to its end. While the system refuses to begin
 * one it is asked again; when to give up is the caller's to say, not the channel's own timer: that
 * would judge before the look that tells that it has come up. Used on the event loop.
 */
final class PlatformConnection {
  private static final long RETRY_DELAY_MS = 10;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final ChannelHandler responseHandler;
  private final Runnable failureCallback;
  private Channel channel;
  private boolean closed;

  private PlatformConnection(
      final EventLoop loop,
      final InetSocketAddress address,
      final ChannelHandler reader,
      final Runnable failed) {
    this.loop = loop;
    this.address = address;
    this.responseHandler = reader;
    this.failureCallback = failed;
  }

  /**
   * Begins to connect, for a handler of HTTP's parts; {@code failed} is run on the loop if it does
   * not come up.
   */
  static PlatformConnection open(
      final EventLoop loop,
      final InetSocketAddress address,
      final ChannelHandler reader,
      final Runnable failed) {
    final PlatformConnection dial = new PlatformConnection(loop, address, reader, failed);
    dial.connect();
    return dial;
  }

  private void connect() {
    if (closed) {
      return;
    }
    final Bootstrap template =
        new Bootstrap()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(final Channel made) {
                    made.pipeline().addLast(new HttpClientCodec(), responseHandler);
                  }
                });
    try {
      channel = Connector.connect(loop, template, address, this::onConnectCompleted).channel();
    } catch (final SocketUnavailableException e) {
      loop.schedule(this::connect, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void onConnectCompleted(final ChannelFuture connecting) {
    if (connecting.isSuccess()) {
      return;
    }
    if (!closed && Connector.isLocalFailure(connecting.cause())) {
      channel = null;
      loop.schedule(this::connect, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    } else {
      failureCallback.run();
    }
  }

  /** Writes at once; it has come up. */
  void write(final Object request) {
    channel.writeAndFlush(request);
  }

  /** Gives it up; one that has not come up is told as failed. */
  void close() {
    if (channel != null) {
      channel.close();
    } else if (!closed) {
      loop.execute(failureCallback);
    }
    closed = true;
  }
}
