package thistleturn.courier;

import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.LabelledCounter;
import thistleturn.courier.runtime.Metrics;
import thistleturn.decisions.index.RecentEntries;

/**
 * The messages of a loop that ended lately, and what ended each. A message whose end was taken back
 * is not one of them. Used on the event loop.
 */
final class EndedMessages {
  /** How long the end of a message is remembered, us. */
  private static final long RETENTION_US = 20_000_000;

  private static final int MAX_MESSAGES = 10_000;

  private static final LabelledCounter ENDS =
      Metrics.counter("courier_message_ends_total", "end", MessageEnd.values(), MessageEnd::label);

  private final Clock clock;
  private final RecentEntries<MessageEnd> ends = new RecentEntries<>(RETENTION_US, MAX_MESSAGES);

  EndedMessages(final Clock clock) {
    this.clock = clock;
  }

  /** A message has ended. */
  void record(final String messageId, final MessageEnd end) {
    ENDS.increment(end.ordinal());
    ends.put(messageId, end, clock.nowUs());
  }

  /** The end of a message was taken back, or its id is used by a new one. */
  void remove(final String messageId) {
    ends.remove(messageId);
  }

  /** Returns what ended a message lately; null if nothing did. */
  MessageEnd get(final String messageId) {
    return ends.get(messageId, clock.nowUs());
  }

  /** Returns whether a message with this id ended lately, and was or may have been executed. */
  boolean wasExecuted(final String messageId) {
    final MessageEnd end = get(messageId);
    return end != null && end.mayHaveRun();
  }
}
