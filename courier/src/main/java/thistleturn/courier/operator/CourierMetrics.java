package thistleturn.courier.operator;

import java.util.ArrayList;
import java.util.List;

/**
 * What a courier has done since its process began, and what it has now.
 *
 * @param outcomesByClass how messages ended, by class
 * @param attempts messages written whole to endpoints
 * @param inFlight messages taken and not yet ended
 * @param endpointsKnown endpoints in the list
 * @param endpointsExcluded those of them that get nothing new now, by hand or for trouble with them
 */
public record CourierMetrics(
    List<ClassOutcomes> outcomesByClass,
    long attempts,
    long inFlight,
    long endpointsKnown,
    long endpointsExcluded) {

  /** How messages of a class ended. */
  public record ClassOutcomes(String className, long served, long refused, long failed) {}

  /**
   * The figures of several parts of one courier together; all name the same classes in the same
   * order.
   */
  public static CourierMetrics sum(final List<CourierMetrics> parts) {
    final List<ClassOutcomes> ends = new ArrayList<>();
    for (int kind = 0; kind < parts.get(0).outcomesByClass.size(); kind++) {
      long served = 0;
      long refused = 0;
      long failed = 0;
      for (final CourierMetrics part : parts) {
        served += part.outcomesByClass.get(kind).served();
        refused += part.outcomesByClass.get(kind).refused();
        failed += part.outcomesByClass.get(kind).failed();
      }
      ends.add(
          new ClassOutcomes(
              parts.get(0).outcomesByClass.get(kind).className(), served, refused, failed));
    }
    return new CourierMetrics(
        ends,
        parts.stream().mapToLong(CourierMetrics::attempts).sum(),
        parts.stream().mapToLong(CourierMetrics::inFlight).sum(),
        parts.stream().mapToLong(CourierMetrics::endpointsKnown).sum(),
        parts.stream().mapToLong(CourierMetrics::endpointsExcluded).sum());
  }

  /** As text in the form that Prometheus reads (exposition format 0.0.4). */
  public String toPrometheusText() {
    final StringBuilder text = new StringBuilder("# TYPE svc_requests_total counter\n");
    for (final ClassOutcomes kind : outcomesByClass) {
      appendRequestCount(text, kind.className(), "served", kind.served());
      appendRequestCount(text, kind.className(), "refused", kind.refused());
      appendRequestCount(text, kind.className(), "failed", kind.failed());
    }
    return text.append("# TYPE svc_attempts_total counter\nsvc_attempts_total ")
        .append(attempts)
        .append("\n# TYPE svc_in_flight gauge\nsvc_in_flight ")
        .append(inFlight)
        .append("\n# TYPE svc_endpoints_known gauge\nsvc_endpoints_known ")
        .append(endpointsKnown)
        .append("\n# TYPE svc_endpoints_excluded gauge\nsvc_endpoints_excluded ")
        .append(endpointsExcluded)
        .append('\n')
        .toString();
  }

  private static void appendRequestCount(
      final StringBuilder text, final String className, final String outcome, final long count) {
    text.append("svc_requests_total{class=\"")
        .append(className.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n"))
        .append("\",outcome=\"")
        .append(outcome)
        .append("\"} ")
        .append(count)
        .append('\n');
  }
}
