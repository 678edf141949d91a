package thistleturn.courier;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.GuardedTasks;
import thistleturn.courier.runtime.Log;

/**
 * A shutdown that completes as many messages as possible within a bounded time and leaves the rest
 * to the next process. Times are counted from the request, which is SIGTERM for a courier in its
 * own process.
 */
final class GracefulShutdown {
  /** Clients may open connections for up to 0.4 s after SIGTERM. */
  private static final long LISTENER_DRAIN_MS = 550;

  /** The process ends by then: SIGKILL is sent no sooner than 3.7 s after SIGTERM. */
  private static final long SHUTDOWN_TIMEOUT_MS = 3100;

  private static final long POLL_MS = 20;

  /** The minimum time that an extension has for its own shutdown. */
  private static final long EXTENSION_SHUTDOWN_MS = 300;

  private static final long US_PER_MS = 1000;

  private final ShardGroup shards;
  private final CourierExtension extension;
  private final Lifecycle lifecycle;
  private final EventLoop eventLoop;
  private final Clock clock;
  private final CountDownLatch finished = new CountDownLatch(1);

  GracefulShutdown(final ServerContext context) {
    this.shards = context.shards();
    this.extension = context.extension();
    this.lifecycle = context.lifecycle();
    this.eventLoop = context.eventLoop();
    this.clock = context.clock();
  }

  /** Shuts down, and returns when that is done. Must not be called on an event loop. */
  void runAndAwait() {
    eventLoop.execute(this::begin);
    try {
      if (!finished.await(SHUTDOWN_TIMEOUT_MS + LISTENER_DRAIN_MS / 2, TimeUnit.MILLISECONDS)) {
        Log.info("the event loop did not stop in time");
      }
    } catch (final InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void begin() {
    if (!lifecycle.hasStarted()) {
      finished.countDown();
      return;
    }
    if (lifecycle.isShuttingDown()) {
      // Requested a second time: the shutdown of the first request continues.
      return;
    }
    final long stopUs = clock.nowUs() + SHUTDOWN_TIMEOUT_MS * US_PER_MS;
    lifecycle.onShutdownStarted();
    extension.onShutdownStarted();
    if (shards.first().decisionLoop().hasSuccessor()) {
      awaitHandedOverCalls(stopUs);
    } else {
      shards.executeOnEach(shard -> shard.startDraining(stopUs));
      eventLoop.schedule(() -> finishDraining(stopUs), LISTENER_DRAIN_MS, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Completes the calls in flight on behalf of the newer process, and serves clients as long as
   * they stay connected; idle client connections are closed last.
   */
  private void awaitHandedOverCalls(final long stopUs) {
    final Shard only = shards.first();
    eventLoop.schedule(
        only::drainIngress, SHUTDOWN_TIMEOUT_MS - EXTENSION_SHUTDOWN_MS, TimeUnit.MILLISECONDS);
    poll("shutdown after a handover", () -> finishIfDue(only.hasNothingUnderWay(), stopUs));
  }

  private void finishDraining(final long stopUs) {
    // Early enough before the end of the process that the answers are sent by then.
    final long rejectAtUs = stopUs - 2 * EXTENSION_SHUTDOWN_MS * US_PER_MS;
    shards.executeOnEach(shard -> shard.finishDraining(rejectAtUs));
    poll("graceful shutdown", () -> finishIfDue(isDrained(stopUs), stopUs));
  }

  private boolean isDrained(final long stopUs) {
    return shards.stream().allMatch(Shard::isIdle)
        || clock.nowUs() >= stopUs - EXTENSION_SHUTDOWN_MS * US_PER_MS;
  }

  private void finishIfDue(final boolean due, final long stopUs) {
    if ((due && extension.tryFinishShutdown()) || clock.nowUs() >= stopUs) {
      shards
          .queryEach(Shard::resolveUnconfirmedAnswers)
          .whenComplete((done, failure) -> finished.countDown());
    }
  }

  private void poll(final String taskName, final Runnable check) {
    eventLoop.scheduleWithFixedDelay(
        GuardedTasks.guard(taskName, check), POLL_MS, POLL_MS, TimeUnit.MILLISECONDS);
  }
}
