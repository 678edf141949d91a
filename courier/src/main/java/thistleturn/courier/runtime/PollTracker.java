package thistleturn.courier.runtime;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.SelectStrategy;
import io.netty.channel.SelectStrategyFactory;
import java.util.concurrent.TimeUnit;

/**
 * Notes when each turn of an event loop began to look for what its sockets have. What a turn finds
 * and the turn before did not find came after that earlier look began: that bounds how long it can
 * have lain in a socket's buffer, however long the loop, or the whole process, stood still. Used by
 * one event loop, on its thread.
 */
public final class PollTracker implements SelectStrategyFactory {
  private final Clock clock;
  private final SelectStrategy defaultStrategy =
      DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
  private long currentPollUs;
  private long previousPollUs;

  /** No turn has begun yet. */
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

  /** When the look before this turn's began, us: what is found only now was not there then. */
  public long previousPollUs() {
    return previousPollUs;
  }

  /**
   * True if the sockets were looked at since that moment, so that all which had come by then has
   * been read. It is not where a process was stopped within a look that waited: that look ends
   * without having seen what came meanwhile.
   */
  private boolean hasPolledSince(final long us) {
    return currentPollUs >= us;
  }

  /**
   * Does something on that loop after a look that began after that moment, at once if there was
   * one.
   */
  public void runAfterPoll(final EventLoop loop, final long us, final Runnable action) {
    if (hasPolledSince(us)) {
      action.run();
    } else {
      loop.schedule(() -> runAfterPoll(loop, us, action), 0, TimeUnit.MICROSECONDS);
    }
  }

  /** When the look of this turn began, us. */
  public long currentPollUs() {
    return currentPollUs;
  }
}
