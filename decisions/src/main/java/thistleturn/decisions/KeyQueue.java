package thistleturn.decisions;

import java.util.LinkedHashSet;
import java.util.Set;
import thistleturn.decisions.index.TimeHeap;

/** The messages of one key, in the order taken. */
final class KeyQueue extends TimeHeap.Entry {
  final String key;
  final Set<PendingMessage> messages = new LinkedHashSet<>();
  long settledAtUs;

  KeyQueue(final String key) {
    this.key = key;
  }

  PendingMessage first() {
    return messages.isEmpty() ? null : messages.iterator().next();
  }
}
