package thistleturn.courier.http;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.runtime.PollTracker;

/**
 * Spreads the wake-ups of hibernating connections over several iterations of the event loop: if a
 * large number receive bytes in the same iteration, the active connections would otherwise wait for
 * all of them. Used on the event loop only.
 */
final class WakeUpQueue {
  private static final int MAX_WAKE_UPS_PER_POLL = 64;
  private static final long BATCH_INTERVAL_US = 500;

  private final EventLoop loop;
  private final PollTracker polls;
  private final Queue<ClientConnection> queue = new ArrayDeque<>();

  /** The poll to which {@link #wokenInPoll} refers. */
  private long countedPollUs;

  private int wokenInPoll;

  WakeUpQueue(final EventLoop loop, final PollTracker polls) {
    this.loop = loop;
    this.polls = polls;
  }

  /**
   * Counts one wake-up if there is capacity for it in this iteration.
   *
   * @return false if the connection must be added to the queue
   */
  boolean tryAcquire() {
    if (polls.currentPollUs() != countedPollUs) {
      countedPollUs = polls.currentPollUs();
      wokenInPoll = 0;
    }
    return queue.isEmpty() && ++wokenInPoll <= MAX_WAKE_UPS_PER_POLL;
  }

  /** Wakes the connection up after those that are queued already. */
  void add(final ClientConnection connection) {
    queue.add(connection);
    if (queue.size() == 1) {
      scheduleNextBatch();
    }
  }

  private void scheduleNextBatch() {
    loop.schedule(this::wakeNextBatch, BATCH_INTERVAL_US, TimeUnit.MICROSECONDS);
  }

  private void wakeNextBatch() {
    for (int woken = 0; woken < MAX_WAKE_UPS_PER_POLL && !queue.isEmpty(); woken++) {
      queue.poll().wakeUp();
    }
    if (!queue.isEmpty()) {
      scheduleNextBatch();
    }
  }
}
