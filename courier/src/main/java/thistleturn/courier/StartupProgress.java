package thistleturn.courier;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.runtime.TransientFailures;

/**
 * What the steps of a start come to: the address that is served, or why the start failed. Steps
 * that fail for a transient reason are retried within one budget of time for the whole start.
 */
final class StartupProgress {
  private final Clock clock;
  private final EventLoop eventLoop;
  private final long retryUntilUs;
  private final CompletableFuture<String> serving = new CompletableFuture<>();

  StartupProgress(final Clock clock, final EventLoop eventLoop, final long startedUs) {
    this.clock = clock;
    this.eventLoop = eventLoop;
    this.retryUntilUs = startedUs + TransientFailures.RETRY_BUDGET_US;
  }

  /** Completes with the address that is served, or with the failure of the start. */
  CompletableFuture<String> serving() {
    return serving;
  }

  /** Returns whether the start has succeeded or failed. */
  boolean isDecided() {
    return serving.isDone();
  }

  /** Returns whether steps of the start may still be retried. */
  boolean hasTimeLeft() {
    return clock.nowUs() < retryUntilUs;
  }

  /** The courier serves at that address; later calls change nothing. */
  void succeed(final String address) {
    serving.complete(address);
  }

  /** The start has failed, unless it has succeeded before. */
  void fail(final Throwable failure) {
    serving.completeExceptionally(failure);
  }

  /** Runs a step again soon. */
  void retry(final Runnable step) {
    eventLoop.schedule(step, TransientFailures.RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
  }

  /** Logs why a step failed, and runs it again soon. */
  void logAndRetry(final String stepName, final Throwable failure, final Runnable step) {
    Log.event(Event.START_RETRIED, "step", stepName, "cause", failure);
    retry(step);
  }

  /** Retries a step after a transient failure while there is time; else the start has failed. */
  void retryOrFail(final String stepName, final Throwable failure, final Runnable step) {
    if (TransientFailures.isTransient(failure) && hasTimeLeft()) {
      logAndRetry(stepName, failure, step);
    } else {
      fail(failure);
    }
  }
}
