package thistleturn.courier.runtime;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Function;
import java.util.function.LongSupplier;

/** The labelled counters and the gauges of this process, by name. Thread-safe. */
public final class Metrics {
  private static final Map<String, LabelledCounter> COUNTERS = new ConcurrentSkipListMap<>();
  private static final Map<String, Gauge> SHARED_GAUGES = new ConcurrentSkipListMap<>();

  private static final Map<String, LongSupplier> GAUGES = new ConcurrentSkipListMap<>();

  private Metrics() {}

  /**
   * Returns the gauge of this name, which is created when it is requested first.
   *
   * @param name the name of the metric, with its labels
   */
  public static Gauge gauge(final String name) {
    return SHARED_GAUGES.computeIfAbsent(
        name,
        unused -> {
          final Gauge gauge = new Gauge();
          gauge(name, gauge::value);
          return gauge;
        });
  }

  /**
   * Adds a gauge whose value is read when the metrics are requested.
   *
   * @param name the name of the metric, with its labels
   */
  public static void gauge(final String name, final LongSupplier value) {
    GAUGES.put(name, value);
  }

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

  /** Returns all counters and gauges in Prometheus' text format, each ordered by name. */
  public static String prometheusText() {
    final StringBuilder text = new StringBuilder();
    COUNTERS.values().forEach(counter -> counter.appendTo(text));
    String lastFamily = "";
    for (final Map.Entry<String, LongSupplier> gauge : GAUGES.entrySet()) {
      final String family = gauge.getKey().split("\\{", 2)[0];
      if (!family.equals(lastFamily)) {
        text.append("# TYPE ").append(family).append(" gauge\n");
        lastFamily = family;
      }
      text.append(gauge.getKey()).append(' ').append(gauge.getValue().getAsLong()).append('\n');
    }
    return text.toString();
  }
}
