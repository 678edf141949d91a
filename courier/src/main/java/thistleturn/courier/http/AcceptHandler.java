package thistleturn.courier.http;

import io.netty.channel.ChannelHandlerContext;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.PollTracker;
import thistleturn.courier.transport.AcceptRetryHandler;

/**
 * Counts accepted connections, and bounds how long the one accepted last, possibly with a request
 * already sent on it, may have waited in the backlog of the listener.
 */
final class AcceptHandler extends AcceptRetryHandler {
  /** The maximum number of connections accepted in one iteration of the event loop. */
  static final int MAX_ACCEPTS_PER_POLL = 16;

  private final Clock clock;
  private final PollTracker polls;
  private final ReceiveTimeBound acceptTime;
  private int acceptedInPoll;
  private long acceptedCount;

  AcceptHandler(final Clock clock, final PollTracker polls) {
    this.clock = clock;
    this.polls = polls;
    this.acceptTime = new ReceiveTimeBound(clock.nowUs());
  }

  /** The earliest time at which the connection accepted last may have been made, us. */
  long earliestAcceptUs() {
    return acceptTime.earliestUs();
  }

  /** The number of connections that were accepted, whether or not the selector reported them. */
  long acceptedCount() {
    return acceptedCount;
  }

  @Override
  public void channelRead(final ChannelHandlerContext context, final Object connection) {
    acceptedInPoll++;
    acceptedCount++;
    // More connections may be waiting; whether there are is known only once the read completes.
    acceptTime.onRead(clock.nowUs(), polls.previousPollUs(), false);
    super.channelRead(context, connection);
  }

  /** Records that connections which could not be accepted may still be waiting. */
  @Override
  public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
    acceptTime.setDrained(false);
    super.exceptionCaught(context, cause);
  }

  @Override
  public void channelReadComplete(final ChannelHandlerContext context) {
    acceptTime.setDrained(acceptedInPoll < MAX_ACCEPTS_PER_POLL);
    acceptedInPoll = 0;
    context.fireChannelReadComplete();
  }
}
