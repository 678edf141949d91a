package thistleturn.courier.runtime;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.SelectStrategy;
import io.netty.channel.SelectStrategyFactory;
import java.util.concurrent.TimeUnit;

/**
 * Records when an event loop started to poll its sockets, in this iteration and in the previous
 * one.
 *
 * <p>Input that one poll finds and the previous poll did not find arrived after the previous poll
 * started. This bounds how long the input can have waited in a socket's buffer, however long the
 * loop or the whole process was paused. Used by one event loop, on its thread.
 */
public final class PollTracker implements SelectStrategyFactory {
  private final Clock clock;
  private final SelectStrategy defaultStrategy =
      DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
  private long currentPollUs;
  private long previousPollUs;

  /** Creates a tracker for a loop that has not polled yet. */
  public PollTracker(final Clock clock) {
    this.clock = clock;
    this.currentPollUs = clock.nowUs();
    this.previousPollUs = currentPollUs;
  }

  @Override
  public SelectStrategy newSelectStrategy() {
    return (supplier, hasTasks) -> {
      previousPollUs = currentPollUs;
      currentPollUs = clock.nowUs();
      return defaultStrategy.calculateStrategy(supplier, hasTasks);
    };
  }

  /** Returns when the poll of this iteration started, us. */
  public long currentPollUs() {
    return currentPollUs;
  }

  /** Returns when the previous poll started, us; input found only now had not arrived by then. */
  public long previousPollUs() {
    return previousPollUs;
  }

  /**
   * Runs an action on the loop after a poll that started at or after a time, immediately if there
   * has been one: by then all input that had arrived by that time has been read.
   *
   * @param us the time
   */
  public void runAfterPoll(final EventLoop loop, final long us, final Runnable action) {
    if (hasPolledSince(us)) {
      action.run();
    } else {
      loop.schedule(() -> runAfterPoll(loop, us, action), 0, TimeUnit.MICROSECONDS);
    }
  }

  /**
   * Returns true if a poll started at or after a time. A process that is stopped during a blocking
   * poll does not see input that arrives meanwhile, so the end of a poll proves nothing.
   */
  private boolean hasPolledSince(final long us) {
    return currentPollUs >= us;
  }
}
