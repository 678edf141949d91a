package thistleturn.courier.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import thistleturn.courier.runtime.Log;

/**
 * Pins the exact text of the metrics page: monitoring refers to metrics and labels by these names.
 */
final class OperatorPageFormatTest {

  @Test
  void metricsOfCourier_haveThisText() {
    final CourierMetrics metrics =
        new CourierMetrics(
            List.of(
                new CourierMetrics.ClassOutcomes("safe", 1, 2, 3),
                new CourierMetrics.ClassOutcomes("a\\b\"c\nd", 4, 5, 6)),
            7,
            8,
            9,
            10);
    assertEquals(
        """
        # TYPE svc_requests_total counter
        svc_requests_total{class="safe",outcome="served"} 1
        svc_requests_total{class="safe",outcome="refused"} 2
        svc_requests_total{class="safe",outcome="failed"} 3
        svc_requests_total{class="a\\\\b\\"c\\nd",outcome="served"} 4
        svc_requests_total{class="a\\\\b\\"c\\nd",outcome="refused"} 5
        svc_requests_total{class="a\\\\b\\"c\\nd",outcome="failed"} 6
        # TYPE svc_attempts_total counter
        svc_attempts_total 7
        # TYPE svc_in_flight gauge
        svc_in_flight 8
        # TYPE svc_endpoints_known gauge
        svc_endpoints_known 9
        # TYPE svc_endpoints_excluded gauge
        svc_endpoints_excluded 10
        """,
        metrics.toPrometheusText());
  }

  @Test
  void countersOfEvents_haveTheseNames() {
    assertEquals(
        """
        # TYPE courier_events_total counter
        courier_events_total{event="request_refused"}
        courier_events_total{event="request_unusable"}
        courier_events_total{event="request_unanswered"}
        courier_events_total{event="connection_closed"}
        courier_events_total{event="connection_unwatched"}
        courier_events_total{event="read_paused"}
        courier_events_total{event="attempt_failed"}
        courier_events_total{event="attempt_not_sent"}
        courier_events_total{event="shared_call_expired"}
        courier_events_total{event="endpoint_bytes_unexpected"}
        courier_events_total{event="endpoint_reuse_suspended"}
        courier_events_total{event="delivery_in_doubt"}
        courier_events_total{event="answer_too_soon"}
        courier_events_total{event="rejection_in_doubt"}
        courier_events_total{event="endpoint_connection_closed"}
        courier_events_total{event="platform_connection_closed"}
        courier_events_total{event="list_line_ignored"}
        courier_events_total{event="message_over"}
        courier_events_total{event="end_stated"}
        courier_events_total{event="response_incomplete"}
        courier_events_total{event="attempt_after_end"}
        courier_events_total{event="message_ended"}
        courier_events_total{event="message_ended_late"}
        courier_events_total{event="end_told_unwritten"}
        courier_events_total{event="accept_failed"}
        courier_events_total{event="accept_recovered"}
        courier_events_total{event="accept_given_up"}
        courier_events_total{event="steering_failed"}
        courier_events_total{event="listener_unwatched"}
        courier_events_total{event="socket_failed"}
        courier_events_total{event="connect_failed"}
        courier_events_total{event="receive_budget_exceeded"}
        courier_events_total{event="buffer_shortage"}
        courier_events_total{event="transfer_retried"}
        courier_events_total{event="journal_unwritable"}
        courier_events_total{event="journal_write_failed"}
        courier_events_total{event="journal_writable"}
        courier_events_total{event="journal_write_done_all_the_same"}
        courier_events_total{event="journal_tail_dropped"}
        courier_events_total{event="journal_record_unknown"}
        courier_events_total{event="journal_clock_began_anew"}
        courier_events_total{event="journal_closed_unwritten"}
        courier_events_total{event="journal_not_trimmed"}
        courier_events_total{event="calls_interrupted"}
        courier_events_total{event="interrupted_calls_ended"}
        courier_events_total{event="holder_unrecorded"}
        courier_events_total{event="file_close_failed"}
        courier_events_total{event="start_retried"}
        courier_events_total{event="step_failed"}
        courier_events_total{event="failure"}
        """,
        Log.prometheusCounters().replaceAll("} \\d+\n", "}\n"));
  }
}
