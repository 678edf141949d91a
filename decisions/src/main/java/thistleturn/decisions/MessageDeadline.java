package thistleturn.decisions;

import thistleturn.decisions.index.TimeHeap;

/** When the wait of a message ends. */
final class MessageDeadline extends TimeHeap.Entry {
  private final PendingMessage message;

  MessageDeadline(final PendingMessage message) {
    this.message = message;
  }

  PendingMessage message() {
    return message;
  }
}
