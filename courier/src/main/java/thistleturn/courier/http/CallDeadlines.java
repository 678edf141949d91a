package thistleturn.courier.http;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.PollTracker;
import thistleturn.decisions.index.TimeHeap;

/**
 * The deadlines of all calls, with one timer for the earliest. A call expires only after a poll of
 * the sockets that began after its deadline: a process that was paused runs its timers first, while
 * responses that arrived in time may still be unread.
 */
final class CallDeadlines {
  private static final long NOT_ARMED = Long.MAX_VALUE;

  private final EventLoop loop;
  private final Clock clock;
  private final PollTracker polls;
  private final Consumer<HttpCall> expiryHandler;
  private final TimeHeap<HttpCall> deadlines = new TimeHeap<>();
  private long timerDueUs = NOT_ARMED;

  CallDeadlines(
      final EventLoop loop,
      final Clock clock,
      final PollTracker polls,
      final Consumer<HttpCall> expiryHandler) {
    this.loop = loop;
    this.clock = clock;
    this.polls = polls;
    this.expiryHandler = expiryHandler;
  }

  void add(final HttpCall call) {
    deadlines.schedule(call, call.deadlineUs());
    armTimer();
  }

  void remove(final HttpCall call) {
    deadlines.remove(call);
  }

  private void armTimer() {
    final long earliestUs = deadlines.earliestDueUs();
    if (earliestUs < timerDueUs) {
      timerDueUs = earliestUs;
      loop.schedule(
          this::expireOverdue, Math.max(0, earliestUs - clock.nowUs()), TimeUnit.MICROSECONDS);
    }
  }

  private void expireOverdue() {
    timerDueUs = NOT_ARMED;
    final long polledUs = polls.currentPollUs();
    for (HttpCall overdue = deadlines.poll(polledUs);
        overdue != null;
        overdue = deadlines.poll(polledUs)) {
      expiryHandler.accept(overdue);
    }
    // Calls whose deadlines fall after the start of that poll are checked after the next poll.
    armTimer();
  }
}
