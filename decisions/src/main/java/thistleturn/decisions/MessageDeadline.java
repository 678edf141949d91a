package thistleturn.decisions;

import thistleturn.decisions.index.TimeHeap;

/** When a message's wait ends. */
final class MessageDeadline extends TimeHeap.Entry {
  final PendingMessage message;

  MessageDeadline(final PendingMessage job) {
    this.message = job;
  }
}
