package thistleturn.decisions;

import java.util.LinkedHashSet;
import java.util.Set;
import thistleturn.decisions.index.TimeHeap;

/** The messages of one key, in the order taken. */
final class KeyLine extends TimeHeap.Entry {
  final String key;
  final Set<Job> jobs = new LinkedHashSet<>();
  long restUntilUs;

  KeyLine(final String key) {
    this.key = key;
  }

  Job first() {
    return jobs.isEmpty() ? null : jobs.iterator().next();
  }
}
