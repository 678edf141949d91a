package thistleturn.courier.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.GuardedTasks;
import thistleturn.courier.runtime.Log;

/**
 * Counts what is decoded in each read of one client's connection, and pauses the connection as its
 * {@link DecodingBudget} requires. The owner reads while {@link #isPaused()} is false.
 */
final class ReadThrottle {
  /** The header lines of a usual head; further ones count as parts. */
  private static final int FREE_HEADER_LINES = 16;

  private final DecodingBudget budget;
  private final Clock clock;
  private final Runnable onChange;
  private int parts;
  private boolean paused;

  /**
   * Creates the throttle of a connection that is read.
   *
   * @param onChange called when a pause begins or is over
   */
  ReadThrottle(final IngressContext ingress, final Runnable onChange) {
    this.budget = ingress.decodingBudget();
    this.clock = ingress.clock();
    this.onChange = onChange;
  }

  /** Whether the connection must not be read now. */
  boolean isPaused() {
    return paused;
  }

  /** Counts a part that was decoded. */
  void onPart(final HttpObject part) {
    parts++;
    if (part instanceof HttpMessage head) {
      parts += Math.max(0, head.headers().size() - FREE_HEADER_LINES);
    }
  }

  /** Ends the current read, behind which the connection may be paused. */
  void onReadComplete(final ChannelHandlerContext context) {
    final int read = parts;
    parts = 0;
    final long pauseUs = budget.take(read, clock.nowUs());
    if (pauseUs > 0 && !paused) {
      pause(context, read, pauseUs);
    }
  }

  private void pause(final ChannelHandlerContext context, final int read, final long pauseUs) {
    paused = true;
    onChange.run();
    Log.event(
        Event.READ_PAUSED,
        "from",
        context.channel().remoteAddress(),
        "parts",
        read,
        "pause_us",
        pauseUs);
    context
        .executor()
        .schedule(
            GuardedTasks.guard("end of a pause in reading", this::resume),
            pauseUs,
            TimeUnit.MICROSECONDS);
  }

  private void resume() {
    paused = false;
    onChange.run();
  }
}
