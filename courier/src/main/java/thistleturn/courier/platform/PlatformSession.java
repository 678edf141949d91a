package thistleturn.courier.platform;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpObject;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.runtime.PollTracker;
import thistleturn.courier.transport.ConnectionFailures;

/**
 * The requests and responses on one connection to the platform, from connecting until it is closed.
 * The client that owns the sessions has at most one current session; any other is only waiting to
 * be closed. Used on the event loop.
 */
abstract class PlatformSession extends SimpleChannelInboundHandler<HttpObject> {
  private final EventLoop loop;
  private final Clock clock;
  private final PollTracker polls;
  private final String logName;
  private PlatformConnection connection;

  /**
   * Creates a session that is not connected.
   *
   * @param logName names the session where a failure is logged
   */
  PlatformSession(
      final EventLoop loop, final Clock clock, final PollTracker polls, final String logName) {
    this.loop = loop;
    this.clock = clock;
    this.polls = polls;
    this.logName = logName;
  }

  /** Returns true if this is the owner's current session. */
  abstract boolean isCurrent();

  /** Called when the connection of the current session is established. */
  abstract void onConnected();

  /** Called when the connection has closed, or could not be established. */
  abstract void onEnded();

  /** Begins to connect. */
  final void open(final InetSocketAddress address) {
    connection = PlatformConnection.open(loop, address, this, this::onEnded);
  }

  /** Writes a request. The connection must be established. */
  final void write(final Object request) {
    connection.write(request);
  }

  final void close(final String reason) {
    logClose(reason);
    connection.close();
  }

  /** Closes the connection since all that it was opened for is done. */
  final void closeCompleted() {
    Log.count(Event.PLATFORM_CONNECTION_CLOSED);
    connection.close();
  }

  /** Closes the connection of a response that cannot be used. */
  final void close(final ChannelHandlerContext ctx, final String reason) {
    logClose(reason);
    ctx.close();
  }

  private void logClose(final String reason) {
    Log.event(Event.PLATFORM_CONNECTION_CLOSED, "session", logName, "why", reason);
  }

  final long nowUs() {
    return clock.nowUs();
  }

  /**
   * Runs an action once input that arrived before the given time has been read, even if the process
   * was paused then.
   */
  final void runAfterPollAt(final long dueUs, final Runnable action) {
    loop.schedule(
        () -> polls.runAfterPoll(loop, dueUs, action),
        Math.max(0, dueUs - nowUs()),
        TimeUnit.MICROSECONDS);
  }

  @Override
  public void channelActive(final ChannelHandlerContext ctx) {
    if (isCurrent()) {
      onConnected();
    } else {
      close(ctx, "replaced");
    }
  }

  @Override
  public void channelInactive(final ChannelHandlerContext ctx) {
    onEnded();
  }

  @Override
  public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
    ConnectionFailures.report(logName, cause);
    close(ctx, cause.toString());
  }
}
