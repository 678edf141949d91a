package thistleturn.courier.http;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.runtime.GuardedTasks;

/** Runs an action some time after its start, unless it is cancelled. Used on the event loop. */
final class RestartableTimer {
  private final EventLoop loop;
  private final String what;
  private final Runnable action;
  private final long delayMs;
  private Future<?> pending;

  /**
   * Creates a timer that is not started.
   *
   * @param what names the action if it fails
   */
  RestartableTimer(
      final EventLoop loop, final String what, final long delayMs, final Runnable action) {
    this.loop = loop;
    this.what = what;
    this.delayMs = delayMs;
    this.action = action;
  }

  /** Starts the timer, unless it is pending. */
  void start() {
    if (pending == null) {
      pending = loop.schedule(GuardedTasks.guard(what, this::run), delayMs, TimeUnit.MILLISECONDS);
    }
  }

  private void run() {
    pending = null;
    action.run();
  }

  /** Cancels the timer if it is pending. */
  void cancel() {
    if (pending != null) {
      pending.cancel(false);
      pending = null;
    }
  }

  /** Returns whether the action is still to be run. */
  boolean isPending() {
    return pending != null;
  }
}
