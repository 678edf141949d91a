package thistleturn.decisions;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import thistleturn.decisions.index.TimeHeap;

/**
 * The rule on order: messages of one key go one behind the other, each after the rest that an open
 * attempt asks for.
 */
final class KeyOrdering {
  private final ControllerState state;
  private final Map<String, KeyQueue> queues = new HashMap<>();
  private final Set<KeyQueue> emptyQueues = new LinkedHashSet<>();
  private final TimeHeap<KeyQueue> settleTimers = new TimeHeap<>();

  KeyOrdering(final ControllerState state) {
    this.state = state;
  }

  /** A message is the last of its key, if its class goes in turn. */
  void enqueue(final PendingMessage job) {
    if (job.messageClass.orderedByKey() && job.message.key() != null) {
      job.keyQueue = queues.computeIfAbsent(job.message.key(), KeyQueue::new);
      job.keyQueue.messages.add(job);
    }
  }

  /** A message is over: the next of its key has its turn. */
  void remove(final PendingMessage job) {
    if (job.keyQueue != null) {
      job.keyQueue.messages.remove(job);
      refreshHead(job.keyQueue);
      if (job.keyQueue.messages.isEmpty()) {
        emptyQueues.add(job.keyQueue);
      }
    }
  }

  /** An attempt may still run: its key rests. */
  void beginSettleDelay(final PendingMessage job) {
    if (job.keyQueue != null) {
      job.keyQueue.settledAtUs = state.nowUs + state.settings.guarantees().settleDelayUs();
    }
  }

  /** When the first key has rested; never, if none rests. */
  long nextSettledUs() {
    return settleTimers.earliestDueUs();
  }

  /** Takes up what has rested. */
  void releaseSettled() {
    for (KeyQueue rested = settleTimers.poll(state.nowUs);
        rested != null;
        rested = settleTimers.poll(state.nowUs)) {
      refreshHead(rested);
    }
  }

  /** Forgets keys without messages that need no rest any more. */
  void removeEmptyQueues() {
    emptyQueues.removeIf(
        line ->
            !line.messages.isEmpty()
                || (line.settledAtUs <= state.nowUs && queues.remove(line.key, line)));
  }

  /**
   * Rule on order: the first of its key goes, and only after the rest that an open attempt asks
   * for.
   */
  boolean mayProceed(final PendingMessage job) {
    return job.keyQueue == null
        || (job.keyQueue.first() == job
            && (job.mayHaveExecuted || job.keyQueue.settledAtUs <= state.nowUs));
  }

  /** The first of a key may go now, or must wait again, or is another one. */
  void refreshHead(final KeyQueue line) {
    final PendingMessage first = line == null ? null : line.first();
    if (first != null && first.waiting) {
      if (first.group.blocked == mayProceed(first)) {
        state.markChanged(first.destination);
        first.destination.dequeue(first);
        first.destination.enqueue(first, !mayProceed(first));
        state.nextRoundUs = state.nowUs;
      }
      settleTimers.schedule(
          line, first.group.blocked ? line.settledAtUs : OverloadController.NEVER);
    }
  }
}
