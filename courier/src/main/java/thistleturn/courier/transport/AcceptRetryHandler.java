package thistleturn.courier.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;

/**
 * Retries within milliseconds when a listener fails to accept (ECONNABORTED, ENFILE, EMFILE,
 * ENOBUFS, ENOMEM, a network error of the pending connection). Netty's acceptor would pause for a
 * second, while clients whose requests wait in the backlog give up. It has to be the first handler
 * in the pipeline of the listener itself.
 */
public class AcceptRetryHandler extends ChannelInboundHandlerAdapter {
  /**
   * The delays are short, since a client waits only 400 ms for its response; without a delay, the
   * event loop would spin during a lasting failure.
   */
  private static final long MIN_DELAY_MS = 1;

  private static final long MAX_DELAY_MS = 10;

  private long delayMs = MIN_DELAY_MS;
  private boolean failing;

  @Override
  public void channelRead(final ChannelHandlerContext context, final Object connection) {
    delayMs = MIN_DELAY_MS;
    if (failing) {
      failing = false;
      Log.event(Event.ACCEPT_RECOVERED, "at", context.channel().localAddress());
    }
    context.fireChannelRead(connection);
  }

  /** Does not pass the exception on: the next handler would stop the listener. */
  @Override
  public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
    ConnectionFailures.reportError("listener", cause);
    failing = true;
    Log.event(
        Event.ACCEPT_FAILED,
        "at",
        context.channel().localAddress(),
        "cause",
        cause,
        "again_in_ms",
        delayMs);
    context.channel().config().setAutoRead(false);
    context
        .executor()
        .schedule(
            () -> {
              if (context.channel().isOpen()) {
                context.channel().config().setAutoRead(true);
              }
            },
            delayMs,
            TimeUnit.MILLISECONDS);
    delayMs = Math.min(2 * delayMs, MAX_DELAY_MS);
  }
}
