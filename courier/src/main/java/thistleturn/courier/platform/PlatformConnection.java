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
 * One connection to the platform, from the first attempt to connect until it is closed. An attempt
 * that fails because of the local system is repeated. The owner decides when to give up: the
 * channel's own connect timeout could expire before the poll that reports that the connection is
 * established. Used on the event loop.
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
      final ChannelHandler responseHandler,
      final Runnable failureCallback) {
    this.loop = loop;
    this.address = address;
    this.responseHandler = responseHandler;
    this.failureCallback = failureCallback;
  }

  /**
   * Begins to connect.
   *
   * @param responseHandler handles the HTTP objects that are received
   * @param failureCallback run on the loop if the connection cannot be established
   */
  static PlatformConnection open(
      final EventLoop loop,
      final InetSocketAddress address,
      final ChannelHandler responseHandler,
      final Runnable failureCallback) {
    final PlatformConnection connection =
        new PlatformConnection(loop, address, responseHandler, failureCallback);
    connection.connect();
    return connection;
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
                  protected void initChannel(final Channel created) {
                    created.pipeline().addLast(new HttpClientCodec(), responseHandler);
                  }
                });
    try {
      channel = Connector.connect(loop, template, address, this::onConnectCompleted).channel();
    } catch (final SocketUnavailableException e) {
      scheduleRetry();
    }
  }

  private void scheduleRetry() {
    loop.schedule(this::connect, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
  }

  private void onConnectCompleted(final ChannelFuture connecting) {
    if (connecting.isSuccess()) {
      return;
    }
    if (!closed && Connector.isLocalFailure(connecting.cause())) {
      channel = null;
      scheduleRetry();
    } else {
      failureCallback.run();
    }
  }

  /** Writes a request. The connection must be established. */
  void write(final Object request) {
    channel.writeAndFlush(request);
  }

  /** Closes the connection. If it is not established, the failure callback is run. */
  void close() {
    if (channel != null) {
      channel.close();
    } else if (!closed) {
      loop.execute(failureCallback);
    }
    closed = true;
  }
}
