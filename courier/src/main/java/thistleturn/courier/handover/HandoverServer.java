package thistleturn.courier.handover;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.runtime.TransientFailures;
import thistleturn.courier.transport.AcceptRetryHandler;

/**
 * The serving process's side of a handover: listens for a newer process, and hands over to the
 * first one that asks. Used on one event loop.
 *
 * <p>It has at most one successor. Once there is one, the socket is closed, since the newer process
 * then listens there itself; connections that were accepted before are rejected.
 */
public final class HandoverServer {
  /** How often listening is attempted while it fails with a transient failure. */
  private static final int MAX_LISTEN_ATTEMPTS = 800;

  private final HandoverSource source;
  private Channel serverChannel;
  private SuccessorConnection successor;

  /** Creates a server that does not listen yet. */
  public HandoverServer(final HandoverSource source) {
    this.source = source;
  }

  /** Listens for a newer process from now on. This process must hold the lock of the folder. */
  public void listen(final EventLoop loop, final Path stateFolder) {
    listen(loop, stateFolder, MAX_LISTEN_ATTEMPTS);
  }

  private void listen(final EventLoop loop, final Path stateFolder, final int attemptsLeft) {
    final UnixDomainSocketAddress address = LineConnection.socketAddress(stateFolder);
    try {
      // An earlier process may have left its socket. No other listens there while this one holds
      // the lock.
      Files.deleteIfExists(address.getPath());
    } catch (final IOException e) {
      retryListen(loop, stateFolder, attemptsLeft, e);
      return;
    }
    final ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerDomainSocketChannel.class)
            .handler(new AcceptRetryHandler())
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(final Channel channel) {
                    new SuccessorConnection(HandoverServer.this, source).addTo(channel);
                  }
                });
    serverChannel =
        bootstrap
            .bind(address)
            .addListener(
                bound -> {
                  if (!bound.isSuccess()) {
                    retryListen(loop, stateFolder, attemptsLeft, bound.cause());
                  }
                })
            .channel();
  }

  private void retryListen(
      final EventLoop loop,
      final Path stateFolder,
      final int attemptsLeft,
      final Throwable failure) {
    if (attemptsLeft > 1 && TransientFailures.isTransient(failure)) {
      Log.event(Event.START_RETRIED, "step", "listen to a newer process", "cause", failure);
      loop.schedule(
          () -> listen(loop, stateFolder, attemptsLeft - 1),
          TransientFailures.RETRY_DELAY_MS,
          TimeUnit.MILLISECONDS);
    } else {
      Log.info("handover: no newer process can take over: " + failure);
    }
  }

  /** Returns true if a process has taken over, even if it has ended since. */
  boolean hasSuccessor() {
    return successor != null;
  }

  /** Returns true for the connection of the process that has taken over. */
  boolean isSuccessor(final SuccessorConnection connection) {
    return successor == connection;
  }

  /** Records that the process at this connection has taken over, and stops listening. */
  void setSuccessor(final SuccessorConnection connection) {
    if (successor != null) {
      throw new IllegalStateException("already handed over on another connection");
    }
    successor = connection;
    serverChannel.close();
  }
}
