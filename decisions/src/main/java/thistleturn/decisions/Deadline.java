package thistleturn.decisions;

import thistleturn.decisions.index.TimeHeap;

/** When a message's wait ends. */
final class Deadline extends TimeHeap.Entry {
  final Job job;

  Deadline(final Job job) {
    this.job = job;
  }
}
