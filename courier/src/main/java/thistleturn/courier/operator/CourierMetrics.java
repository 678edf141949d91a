package thistleturn.courier.operator;

import java.util.ArrayList;
import java.util.List;

/**
 * The metrics of a courier: counters since the process started, and current gauges.
 *
 * @param outcomesByClass how messages ended, by message class
 * @param attempts messages that were written completely to endpoints
 * @param inFlight messages that were accepted and have no final outcome yet
 * @param endpointsKnown endpoints in the endpoint list
 * @param endpointsExcluded those of them that get no new calls now, because they are
 *     administratively disabled or unhealthy
 */
public record CourierMetrics(
    List<ClassOutcomes> outcomesByClass,
    long attempts,
    long inFlight,
    long endpointsKnown,
    long endpointsExcluded) {

  /**
   * How the messages of a class ended.
   *
   * @param className the name of the message class
   * @param served messages that were delivered
   * @param refused messages that were rejected or shed
   * @param failed messages that were given up
   */
  public record ClassOutcomes(String className, long served, long refused, long failed) {}

  /**
   * Returns the sum of the metrics of several shards of one courier; all name the same classes in
   * the same order.
   */
  public static CourierMetrics sum(final List<CourierMetrics> shards) {
    final List<ClassOutcomes> outcomes = new ArrayList<>();
    for (int index = 0; index < shards.get(0).outcomesByClass.size(); index++) {
      long served = 0;
      long refused = 0;
      long failed = 0;
      for (final CourierMetrics shard : shards) {
        served += shard.outcomesByClass.get(index).served();
        refused += shard.outcomesByClass.get(index).refused();
        failed += shard.outcomesByClass.get(index).failed();
      }
      outcomes.add(
          new ClassOutcomes(
              shards.get(0).outcomesByClass.get(index).className(), served, refused, failed));
    }
    return new CourierMetrics(
        outcomes,
        shards.stream().mapToLong(CourierMetrics::attempts).sum(),
        shards.stream().mapToLong(CourierMetrics::inFlight).sum(),
        shards.stream().mapToLong(CourierMetrics::endpointsKnown).sum(),
        shards.stream().mapToLong(CourierMetrics::endpointsExcluded).sum());
  }

  /** Returns the metrics in the Prometheus text exposition format 0.0.4. */
  public String toPrometheusText() {
    final StringBuilder text = new StringBuilder("# TYPE svc_requests_total counter\n");
    for (final ClassOutcomes outcomes : outcomesByClass) {
      appendRequestCount(text, outcomes.className(), "served", outcomes.served());
      appendRequestCount(text, outcomes.className(), "refused", outcomes.refused());
      appendRequestCount(text, outcomes.className(), "failed", outcomes.failed());
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
