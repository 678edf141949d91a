package thistleturn.courier.runtime;

import java.util.List;
import java.util.concurrent.atomic.AtomicLongArray;

/** A counter of this process with one label of fixed values. Thread-safe. */
public final class LabelledCounter {
  private final String name;
  private final String label;
  private final List<String> values;
  private final AtomicLongArray counts;

  LabelledCounter(final String name, final String label, final List<String> values) {
    this.name = name;
    this.label = label;
    this.values = List.copyOf(values);
    this.counts = new AtomicLongArray(values.size());
  }

  /** Counts one more of a label value, given by its place among the values. */
  public void increment(final int value) {
    if (!Log.isMuted()) {
      counts.incrementAndGet(value);
    }
  }

  /** Returns the count of a label value, given by its place among the values. */
  public long count(final int value) {
    return counts.get(value);
  }

  void appendTo(final StringBuilder text) {
    text.append("# TYPE ").append(name).append(" counter\n");
    for (int value = 0; value < values.size(); value++) {
      text.append(name)
          .append('{')
          .append(label)
          .append("=\"")
          .append(values.get(value))
          .append("\"} ")
          .append(counts.get(value))
          .append('\n');
    }
  }
}
