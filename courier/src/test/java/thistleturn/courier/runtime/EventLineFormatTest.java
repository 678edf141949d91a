package thistleturn.courier.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.model.AttemptResult;

/** The exact text of the log's event lines, which operators' tools parse. */
final class EventLineFormatTest {

  /** Returns the line containing a text that the action logs; other threads may log as well. */
  private static String lineLoggedBy(final String text, final Runnable action) {
    final PrintStream originalErr = System.err;
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    System.setErr(new PrintStream(bytes, true, StandardCharsets.UTF_8));
    try {
      action.run();
    } finally {
      System.setErr(originalErr);
    }
    return bytes
        .toString(StandardCharsets.UTF_8)
        .lines()
        .filter(line -> line.contains(text))
        .findFirst()
        .orElseThrow();
  }

  @Test
  void event_isLoggedAsOneLineWithItsFields() {
    final String line =
        lineLoggedBy(
            "id=m1-of-this-test",
            () ->
                Log.event(
                    Event.ATTEMPT_FAILED,
                    "id",
                    "m1-of-this-test",
                    "result",
                    AttemptResult.TIMED_OUT,
                    "cause",
                    "a \"b\"\\\n",
                    "none",
                    null,
                    "empty",
                    "",
                    "after_us",
                    12L));
    assertTrue(line.startsWith("INFO ts="), line);
    assertEquals(
        "event=attempt_failed id=m1-of-this-test result=TIMED_OUT"
            + " cause=\"a \\\"b\\\"\\\\\\n\" none=null empty=\"\" after_us=12",
        line.replaceFirst("INFO ts=\\d{4}-\\d\\d-\\d\\dT[0-9:.]+Z ", ""));
  }

  @Test
  void attemptResults_keepTheirLoggedNames() {
    assertEquals(
        "[DELIVERED, ERROR, REFUSED, TIMED_OUT, NO_CONNECTION, RESET, CANCELLED, NOT_SENT,"
            + " STALE]",
        Arrays.toString(AttemptResult.values()));
  }

  @Test
  void events_keepTheirLabels() {
    assertEquals(
        "request_refused request_unusable request_unanswered connection_closed"
            + " connection_unwatched read_paused attempt_failed attempt_not_sent shared_call_expired"
            + " endpoint_bytes_unexpected endpoint_reuse_suspended delivery_in_doubt"
            + " answer_too_soon rejection_in_doubt endpoint_connection_closed platform_connection_closed list_line_ignored"
            + " message_over end_stated response_incomplete attempt_after_end message_ended message_ended_late end_told_unwritten accept_failed accept_recovered"
            + " accept_given_up steering_failed listener_unwatched"
            + " socket_failed connect_failed receive_budget_exceeded buffer_shortage transfer_retried"
            + " journal_unwritable journal_write_failed journal_writable"
            + " journal_write_done_all_the_same journal_tail_dropped journal_record_unknown"
            + " journal_clock_began_anew journal_closed_unwritten journal_not_trimmed"
            + " calls_interrupted interrupted_calls_ended holder_unrecorded"
            + " file_close_failed start_retried step_failed failure",
        String.join(" ", Arrays.stream(Event.values()).map(Event::label).toList()));
  }
}
