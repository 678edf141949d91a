package thistleturn.courier.runtime;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Function;

/** The labelled counters of this process, by name. Thread-safe. */
public final class Metrics {
  private static final Map<String, LabelledCounter> COUNTERS = new ConcurrentSkipListMap<>();

  private Metrics() {}

  /**
   * Creates a counter with one label, which has a value for each constant of an enum.
   *
   * @param valueOf returns the label value of a constant
   */
  public static <E extends Enum<E>> LabelledCounter counter(
      final String name,
      final String label,
      final E[] constants,
      final Function<E, String> valueOf) {
    return COUNTERS.computeIfAbsent(
        name,
        unused -> new LabelledCounter(name, label, Arrays.stream(constants).map(valueOf).toList()));
  }

  /** Returns all counters in Prometheus' text format, ordered by name. */
  public static String prometheusText() {
    final StringBuilder text = new StringBuilder();
    COUNTERS.values().forEach(counter -> counter.appendTo(text));
    return text.toString();
  }
}
