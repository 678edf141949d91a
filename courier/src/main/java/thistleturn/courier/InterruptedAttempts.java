package thistleturn.courier;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.handover.EarlierProcesses;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.GuardedTasks;
import thistleturn.courier.runtime.Log;

/**
 * Attempts of earlier processes whose outcomes nobody reports any more. A repeat could be a second
 * copy for as long as the first one's connection is open. So each attempt counts as ended once
 * those processes have ended, or once the deadline of its message has come, beyond which no call is
 * awaited: then the message is not sent again. On the event loop only.
 */
final class InterruptedAttempts {
  private static final String TASK_NAME = "interrupted attempts";
  private static final long FIRST_POLL_DELAY_US = 1000;
  private static final long MAX_POLL_DELAY_US = 20_000;

  private final Clock clock;
  private final EventLoop loop;
  private final EarlierProcesses processes;
  private final long interruptedUs;
  private final List<Attempt> attempts = new ArrayList<>();

  /** How many attempts ended with their messages' deadlines. */
  private int expired;

  private record Attempt(long deadlineUs, Runnable onEnded) {}

  /** Collects attempts of these processes, which were interrupted just now. */
  InterruptedAttempts(final Clock clock, final EventLoop loop, final EarlierProcesses processes) {
    this.clock = clock;
    this.loop = loop;
    this.processes = processes;
    this.interruptedUs = clock.nowUs();
  }

  /**
   * Adds an attempt.
   *
   * @param deadlineUs when its message expires
   * @param onEnded called once, when the attempt counts as ended
   */
  void add(final long deadlineUs, final Runnable onEnded) {
    attempts.add(new Attempt(deadlineUs, onEnded));
  }

  /** Waits for the end of all attempts that were added; it may have come. */
  void awaitEnd() {
    if (attempts.isEmpty()) {
      return;
    }
    if (processes.haveEnded(0)) {
      endAll();
      return;
    }
    Log.event(Event.CALLS_INTERRUPTED, "attempts", attempts.size(), "processes", processes);
    pollAfter(FIRST_POLL_DELAY_US);
  }

  private void pollAfter(final long delayUs) {
    loop.schedule(
        GuardedTasks.guard(TASK_NAME, () -> poll(delayUs)), delayUs, TimeUnit.MICROSECONDS);
  }

  private void poll(final long delayUs) {
    final long nowUs = clock.nowUs();
    final int before = attempts.size();
    if (processes.haveEnded(nowUs - interruptedUs)) {
      endAll();
    } else {
      endExpired(nowUs);
    }
    if (attempts.isEmpty()) {
      Log.event(
          Event.INTERRUPTED_CALLS_ENDED,
          "attempts",
          before,
          "after_us",
          nowUs - interruptedUs,
          "expired",
          expired);
    } else {
      pollAfter(Math.min(2 * delayUs, MAX_POLL_DELAY_US));
    }
  }

  private void endAll() {
    final List<Attempt> ended = List.copyOf(attempts);
    attempts.clear();
    ended.forEach(InterruptedAttempts::end);
  }

  private void endExpired(final long nowUs) {
    final List<Attempt> due =
        attempts.stream().filter(attempt -> attempt.deadlineUs() <= nowUs).toList();
    attempts.removeAll(due);
    expired += due.size();
    due.forEach(InterruptedAttempts::end);
  }

  /** One that fails does not keep the others. */
  private static void end(final Attempt attempt) {
    GuardedTasks.guard(TASK_NAME, attempt.onEnded()).run();
  }
}
