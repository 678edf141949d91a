package thistleturn.courier.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.transport.ListenerSteering;
import thistleturn.courier.transport.RetryingSocketChannel;

/**
 * Closes a listening socket without resetting the connections in its backlog: they are accepted
 * first. Used on the event loop of the ingress only.
 *
 * <p>Java keeps a closed socket open until the next poll of the selector with which it is
 * registered, and connections that arrive until then are reset. So the socket is deregistered
 * first, and closed immediately after the last accept. If another process listens at the same
 * address, the operating system is first made to give it all new connections ({@link
 * ListenerSteering}).
 */
final class ListenerClose {
  private static final long FINAL_ACCEPT_TIMEOUT_US = 1_000_000;
  private static final long FINAL_ACCEPT_RETRY_DELAY_US = 1000;

  /** Handshakes begun before the steering complete at this listener, within a round trip. */
  private static final long STEERING_SETTLE_MS = 100;

  private final IngressContext ingress;
  private final EventLoop loop;
  private final Channel channel;
  private final ServerSocketChannel serverSocket;
  private boolean done;

  ListenerClose(
      final IngressContext ingress,
      final EventLoop loop,
      final Channel channel,
      final ServerSocketChannel serverSocket) {
    this.ingress = ingress;
    this.loop = loop;
    this.channel = channel;
    this.serverSocket = serverSocket;
  }

  /** True once the socket is closed. */
  boolean isDone() {
    return done;
  }

  /** Steers new connections to another process that listens at the same address, then closes. */
  void steerAndClose() {
    ListenerSteering.steerToNewer(((InetSocketAddress) channel.localAddress()).getPort())
        .whenCompleteAsync(
            (none, failure) -> {
              if (failure != null) {
                Log.event(Event.STEERING_FAILED, "at", channel.localAddress(), "cause", failure);
              }
              loop.schedule(this::close, STEERING_SETTLE_MS, TimeUnit.MILLISECONDS);
            },
            loop);
  }

  /** Accepts the connections in the backlog, and closes. */
  void close() {
    channel
        .deregister()
        .addListener(
            deregistered ->
                ingress
                    .polls()
                    .runAfterPoll(
                        loop,
                        ingress.clock().nowUs(),
                        () ->
                            acceptBacklogAndClose(
                                ingress.clock().nowUs() + FINAL_ACCEPT_TIMEOUT_US)));
  }

  private void acceptBacklogAndClose(final long untilUs) {
    try {
      for (SocketChannel next = serverSocket.accept(); next != null; next = serverSocket.accept()) {
        channel.pipeline().fireChannelRead(new RetryingSocketChannel(channel, next));
      }
    } catch (final IOException | ChannelException e) {
      if (ingress.clock().nowUs() < untilUs) {
        Log.event(Event.ACCEPT_FAILED, "at", channel.localAddress(), "cause", e, "closing", true);
        loop.schedule(
            () -> acceptBacklogAndClose(untilUs),
            FINAL_ACCEPT_RETRY_DELAY_US,
            TimeUnit.MICROSECONDS);
        return;
      }
      Log.event(Event.ACCEPT_GIVEN_UP, "at", channel.localAddress(), "cause", e);
    }
    closeSocket();
    done = true;
  }

  /** Closes the socket at once, and then Netty's channel, which does its own clean-up. */
  private void closeSocket() {
    try {
      serverSocket.close();
    } catch (final IOException e) {
      Log.event(Event.FILE_CLOSE_FAILED, "cause", e);
    }
    channel.close();
  }
}
