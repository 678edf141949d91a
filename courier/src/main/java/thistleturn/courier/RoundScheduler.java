package thistleturn.courier;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.runtime.Clock;

/**
 * Decides when the next decision round runs: once all events of the current iteration of the event
 * loop have been handled, when a timer of the controller falls due, or when an unwritable journal
 * is to be tried again. At most one round and one journal retry are scheduled at a time.
 */
final class RoundScheduler {
  /** A client waits 400 ms for its answer, so an unwritable journal is tried again this soon. */
  private static final long JOURNAL_RETRY_MS = 20;

  /** A timer this late shows that the process was paused: unread input is handled before it. */
  private static final long LATE_TIMER_US = 10_000;

  private final EventLoop loop;
  private final Clock clock;
  private final DecisionLoop.Ports ports;
  private final Target target;
  private boolean roundScheduled;
  private boolean journalRetryScheduled;

  /** What is scheduled. */
  interface Target {
    /** Returns false while another process decides; then no round is scheduled. */
    boolean isDeciding();

    void runRound();

    /** Ends expired messages ahead of the next round, which may run much later. */
    void endOverdueMessages();
  }

  RoundScheduler(
      final EventLoop loop,
      final Clock clock,
      final DecisionLoop.Ports ports,
      final Target target) {
    this.loop = loop;
    this.clock = clock;
    this.ports = ports;
    this.target = target;
  }

  /** Runs a round once all events of this iteration of the event loop have been handled. */
  void requestRound() {
    if (!roundScheduled && target.isDeciding()) {
      roundScheduled = true;
      loop.execute(this::runScheduledRound);
    }
  }

  /** Runs the round that was requested now, if one was. */
  void runScheduledRound() {
    if (roundScheduled && target.isDeciding()) {
      roundScheduled = false;
      target.runRound();
    }
  }

  /** Requests a round after a delay in microseconds. */
  void requestRoundAfter(final long delayUs) {
    final long dueUs = clock.nowUs() + delayUs;
    loop.schedule(() -> onTimer(dueUs), delayUs, TimeUnit.MICROSECONDS);
  }

  private void onTimer(final long dueUs) {
    if (clock.nowUs() - dueUs < LATE_TIMER_US) {
      requestRound();
      return;
    }
    // After a pause the loop runs timers first: read the input before evaluating time-outs.
    if (target.isDeciding()) {
      target.endOverdueMessages();
    }
    ports.afterPoll(dueUs, this::requestRound);
  }

  /** Requests a round soon, to retry a journal that could not be written. */
  void requestJournalRetry() {
    if (journalRetryScheduled) {
      return;
    }
    journalRetryScheduled = true;
    loop.schedule(this::retryJournal, JOURNAL_RETRY_MS, TimeUnit.MILLISECONDS);
  }

  private void retryJournal() {
    journalRetryScheduled = false;
    requestRound();
  }
}
