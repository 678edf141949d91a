package thistleturn.decisions;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import thistleturn.decisions.index.TimeHeap;

/**
 * Keeps the messages of one key in order: each is sent after the previous one has ended, and after
 * the settle delay that follows an unanswered attempt.
 */
final class KeyOrdering {
  private final ControllerState state;
  private final Map<String, KeyQueue> queues = new HashMap<>();

  /** Queues without messages, kept while their settle delay lasts. */
  private final Set<KeyQueue> emptyQueues = new LinkedHashSet<>();

  private final TimeHeap<KeyQueue> settleTimers = new TimeHeap<>();

  KeyOrdering(final ControllerState state) {
    this.state = state;
  }

  /** Puts a message behind all others of its key, if its class is ordered by key. */
  void enqueue(final PendingMessage message) {
    if (message.messageClass().orderedByKey() && message.key() != null) {
      message.joinKeyQueue(queues.computeIfAbsent(message.key(), KeyQueue::new));
    }
  }

  /** Removes a message that has ended; the next one of its key may be sent. */
  void remove(final PendingMessage message) {
    final KeyQueue queue = message.keyQueue();
    if (queue != null) {
      queue.remove(message);
      refreshHead(queue);
      if (queue.isEmpty()) {
        emptyQueues.add(queue);
      }
    }
  }

  /** Begins the settle delay of a key: an attempt of this message may still be executed. */
  void beginSettleDelay(final PendingMessage message) {
    if (message.keyQueue() != null) {
      message.keyQueue().settleUntil(state.nowUs + state.settings.guarantees().settleDelayUs());
    }
  }

  /** Returns when the next settle delay ends; {@link OverloadController#NEVER} if there is none. */
  long nextSettledUs() {
    return settleTimers.earliestDueUs();
  }

  /** Releases the first message of each key whose settle delay has ended. */
  void releaseSettled() {
    for (KeyQueue settled = settleTimers.poll(state.nowUs);
        settled != null;
        settled = settleTimers.poll(state.nowUs)) {
      refreshHead(settled);
    }
  }

  /** Removes the queues that are empty and settled. */
  void removeEmptyQueues() {
    emptyQueues.removeIf(
        queue ->
            !queue.isEmpty()
                || (queue.isSettled(state.nowUs) && queues.remove(queue.key(), queue)));
  }

  /** Returns whether a message is the first of its key and its key is settled. */
  boolean mayProceed(final PendingMessage message) {
    final KeyQueue queue = message.keyQueue();
    return queue == null
        || (queue.first() == message
            && (message.mayHaveExecuted() || queue.isSettled(state.nowUs)));
  }

  /**
   * Moves the first message of a key to another group if it has become blocked or unblocked.
   *
   * @param queue the messages of the key; null to do nothing
   */
  void refreshHead(final KeyQueue queue) {
    final PendingMessage first = queue == null ? null : queue.first();
    if (first == null || !first.isWaiting()) {
      return;
    }
    if (first.group().isBlocked() == mayProceed(first)) {
      state.markChanged(first.destination());
      first.destination().dequeue(first);
      first.destination().enqueue(first, !mayProceed(first));
      state.nextRoundUs = state.nowUs;
    }
    settleTimers.schedule(
        queue, first.group().isBlocked() ? queue.settledAtUs() : OverloadController.NEVER);
  }
}
