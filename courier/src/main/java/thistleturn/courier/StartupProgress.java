package thistleturn.courier;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.runtime.TransientFailures;

/**
 * The progress and the result of a start: the address that is served, or why the start failed.
 * Every step runs through this class, so that whatever a step throws fails the start; a start that
 * begins no further step for a while fails as well. Steps that fail for a transient reason are
 * retried within one time budget for the whole start. Lives on the first event loop.
 */
final class StartupProgress {
  /**
   * A courier must be ready within 30 s, so a start that begins no step for that long has failed.
   */
  private static final int MAX_IDLE_CHECKS = 30;

  private static final long CHECK_INTERVAL_MS = 1000;

  private final Clock clock;
  private final EventLoop eventLoop;
  private final long retryUntilUs;
  private final CompletableFuture<String> serving = new CompletableFuture<>();

  /** The step that began last. */
  private String currentStep = "start";

  /** The number of checks since a step began. */
  private int idleChecks;

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

  /** Completes the start: the courier serves at that address. Later calls have no effect. */
  void succeed(final String address) {
    serving.complete(address);
  }

  /** Fails the start, unless it has succeeded before. */
  void fail(final Throwable failure) {
    serving.completeExceptionally(failure);
  }

  /**
   * From now on the start fails if it begins no step for 30 s. Checks are counted instead of
   * measuring time, so that time in which the process was paused does not count.
   */
  void watch() {
    watch(CHECK_INTERVAL_MS);
  }

  /** Does the same with checks at another interval, in milliseconds. */
  void watch(final long checkIntervalMs) {
    final Future<?> checks =
        eventLoop.scheduleWithFixedDelay(
            this::check, checkIntervalMs, checkIntervalMs, TimeUnit.MILLISECONDS);
    serving.whenComplete((address, failure) -> checks.cancel(false));
  }

  private void check() {
    idleChecks++;
    if (idleChecks > MAX_IDLE_CHECKS) {
      fail(new IOException("the start has come to a halt in the step: " + currentStep));
    }
  }

  /** Runs a step now; whatever it throws ends the start, or is logged if the start is over. */
  void run(final String stepName, final Runnable step) {
    currentStep = stepName;
    idleChecks = 0;
    try {
      step.run();
    } catch (final RuntimeException | Error e) {
      if (isDecided()) {
        Log.failure(stepName, e);
      } else {
        fail(e);
      }
    }
  }

  /** Returns a continuation of an asynchronous step that is run as a step itself. */
  <T> BiConsumer<T, Throwable> step(
      final String stepName, final BiConsumer<T, Throwable> continuation) {
    return (result, failure) -> run(stepName, () -> continuation.accept(result, failure));
  }

  /** Runs a step again soon. */
  void retry(final String stepName, final Runnable step) {
    retryAfter(TransientFailures.RETRY_DELAY_MS, stepName, step);
  }

  /** Runs a step again after a delay in milliseconds. */
  void retryAfter(final long delayMs, final String stepName, final Runnable step) {
    eventLoop.schedule(() -> run(stepName, step), delayMs, TimeUnit.MILLISECONDS);
  }

  /** Logs why a step failed, and runs it again soon. */
  void logAndRetry(final String stepName, final Throwable failure, final Runnable step) {
    Log.event(Event.START_RETRIED, "step", stepName, "cause", failure);
    retry(stepName, step);
  }

  /** Retries a step after a transient failure while there is time; otherwise fails the start. */
  void retryOrFail(final String stepName, final Throwable failure, final Runnable step) {
    if (TransientFailures.isTransient(failure) && hasTimeLeft()) {
      logAndRetry(stepName, failure, step);
    } else {
      fail(failure);
    }
  }
}
