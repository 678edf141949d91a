package thistleturn.decisions;

import thistleturn.decisions.index.TimeHeap;

/** The expiry time of a waiting message, as an entry of a heap. */
final class MessageDeadline extends TimeHeap.Entry {
  private final PendingMessage message;

  MessageDeadline(final PendingMessage message) {
    this.message = message;
  }

  PendingMessage message() {
    return message;
  }
}
