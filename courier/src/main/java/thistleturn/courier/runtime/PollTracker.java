package thistleturn.courier.runtime;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.SelectStrategy;
import io.netty.channel.SelectStrategyFactory;
import java.util.concurrent.TimeUnit;

/**
 * Records when an event loop began to poll its sockets, in this iteration and in the one before.
 *
 * <p>What one poll finds and the previous one did not find arrived after that previous poll began.
 * This bounds how long it can have lain in a socket's buffer, however long the loop, or the whole
 * process, stood still. Used by one event loop, on its thread.
 */
public final class PollTracker implements SelectStrategyFactory {
  private final Clock clock;
  private final SelectStrategy defaultStrategy =
      DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
  private long currentPollUs;
  private long previousPollUs;

  /** Makes a tracker of a loop that has not polled yet. */
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

  /** Returns when the poll of this iteration began, us. */
  public long currentPollUs() {
    return currentPollUs;
  }

  /** Returns when the poll before that began, us: what is found only now was not there then. */
  public long previousPollUs() {
    return previousPollUs;
  }

  /**
   * Runs an action on the loop after a poll that began at or after a time, at once if there was
   * one: then all that had arrived by that time has been read.
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
   * True if a poll began at or after a time. A process that is stopped within a poll that waits
   * does not see what arrives meanwhile, so the end of a poll proves nothing.
   */
  private boolean hasPolledSince(final long us) {
    return currentPollUs >= us;
  }
}
