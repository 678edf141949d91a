package thistleturn.courier;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import thistleturn.courier.handover.EarlierProcesses;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.GuardedTasks;
import thistleturn.courier.runtime.Log;

/**
 * Attempts of earlier processes whose outcomes will not be reported any more. While the connection
 * of such an attempt is open, a retry could deliver a second copy. So an attempt counts as ended
 * only once the process that made it has ended, or once the deadline of its message has passed: no
 * call is awaited after that, and the message is not sent again. Used on the event loop only.
 */
final class InterruptedAttempts {
  private static final String TASK_NAME = "interrupted attempts";
  private static final long FIRST_POLL_DELAY_US = 1000;
  private static final long MAX_POLL_DELAY_US = 20_000;

  private final Clock clock;
  private final EventLoop loop;
  private final EarlierProcesses processes;
  private final long interruptedUs;

  /** Tests by an attempt's start time whether it had ended when the attempts were interrupted. */
  private final LongPredicate endedAtInterruption;

  private final List<Attempt> attempts = new ArrayList<>();

  /** How many attempts were awaited, and how many of them ended at their messages' deadlines. */
  private int awaited;

  private int expired;

  private record Attempt(long startedUs, long deadlineUs, Runnable onEnded) {}

  /** Creates a collection of attempts of these processes that were interrupted just now. */
  InterruptedAttempts(final Clock clock, final EventLoop loop, final EarlierProcesses processes) {
    this.clock = clock;
    this.loop = loop;
    this.processes = processes;
    this.interruptedUs = clock.nowUs();
    this.endedAtInterruption = processes.endedAttempts(0);
  }

  /** Returns whether the attempt that a message had in flight has ended already. */
  boolean hasEnded(final StoredMessage message) {
    return endedAtInterruption.test(message.attemptStartedUs());
  }

  /**
   * Adds the attempt that a message has in flight.
   *
   * @param onEnded called once, when the attempt counts as ended
   */
  void add(final StoredMessage message, final Runnable onEnded) {
    attempts.add(new Attempt(message.attemptStartedUs(), message.deadlineUs(), onEnded));
  }

  /** Waits for the end of all added attempts, some of which may have ended already. */
  void awaitEnd() {
    endWhere(endedAtInterruption);
    if (!attempts.isEmpty()) {
      awaited = attempts.size();
      Log.event(Event.CALLS_INTERRUPTED, "attempts", awaited, "processes", processes);
      pollAfter(FIRST_POLL_DELAY_US);
    }
  }

  private void pollAfter(final long delayUs) {
    loop.schedule(
        GuardedTasks.guard(TASK_NAME, () -> poll(delayUs)), delayUs, TimeUnit.MICROSECONDS);
  }

  private void poll(final long delayUs) {
    final long elapsedUs = clock.nowUs() - interruptedUs;
    endWhere(processes.endedAttempts(elapsedUs));
    endExpired();
    if (attempts.isEmpty()) {
      Log.event(
          Event.INTERRUPTED_CALLS_ENDED,
          "attempts",
          awaited,
          "after_us",
          elapsedUs,
          "expired",
          expired);
    } else {
      pollAfter(Math.min(2 * delayUs, MAX_POLL_DELAY_US));
    }
  }

  private void endWhere(final LongPredicate hasEnded) {
    end(attempts.stream().filter(attempt -> hasEnded.test(attempt.startedUs())).toList());
  }

  private void endExpired() {
    final long nowUs = clock.nowUs();
    final List<Attempt> due =
        attempts.stream().filter(attempt -> attempt.deadlineUs() <= nowUs).toList();
    expired += due.size();
    end(due);
  }

  /** Ends these attempts; a callback that fails does not prevent the others. */
  private void end(final List<Attempt> ended) {
    attempts.removeAll(ended);
    ended.forEach(attempt -> GuardedTasks.guard(TASK_NAME, attempt.onEnded()).run());
  }
}
