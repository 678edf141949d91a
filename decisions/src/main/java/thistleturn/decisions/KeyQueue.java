package thistleturn.decisions;

import java.util.LinkedHashSet;
import java.util.Set;
import thistleturn.decisions.index.TimeHeap;

/**
 * The messages of one key in the order of acceptance; its timer is due when the settle delay ends.
 */
final class KeyQueue extends TimeHeap.Entry {
  private final String key;
  private final Set<PendingMessage> messages = new LinkedHashSet<>();
  private long settledAtUs;

  KeyQueue(final String key) {
    this.key = key;
  }

  String key() {
    return key;
  }

  void add(final PendingMessage message) {
    messages.add(message);
  }

  void remove(final PendingMessage message) {
    messages.remove(message);
  }

  boolean isEmpty() {
    return messages.isEmpty();
  }

  /** Returns the message to be sent first, or null if there is none. */
  PendingMessage first() {
    return messages.isEmpty() ? null : messages.iterator().next();
  }

  long settledAtUs() {
    return settledAtUs;
  }

  /** Begins a settle delay, during which an attempt of this key may still be executed. */
  void settleUntil(final long untilUs) {
    settledAtUs = untilUs;
  }

  boolean isSettled(final long nowUs) {
    return settledAtUs <= nowUs;
  }
}
