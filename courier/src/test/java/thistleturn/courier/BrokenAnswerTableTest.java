package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Each status of the protocol in each form in which an answer can be broken, for a message that may
 * not be repeated and for one that may: whether it is sent again, and which end is reported. The
 * form {@code COMPLETE} is the plain twin.
 */
@Tag("connections")
@Timeout(120)
final class BrokenAnswerTableTest extends HarnessScenario {
  private static final String UNDELIVERABLE = "undeliverable";
  private static final String DEFERRED = "deferred";

  /** What an answer to the first call of a message says. */
  enum Status {
    DELIVERED("200 OK", ""),
    FAULT("500 X", ""),
    INVALID("400 X", ""),
    TOO_LARGE("413 X", ""),
    WAIT("429 X", "Retry-After: 0.050\r\n"),
    REJECTED("503 X", ""),
    LINE_BUSY("503 X", "X-Line-Busy: 1\r\n"),
    NO_MORE("504 X", ""),
    OVER("410 Gone", "");

    private final String line;
    private final String header;

    Status(final String line, final String header) {
      this.line = line;
      this.header = header;
    }

    private boolean neverRan() {
      return this != DELIVERED && this != FAULT && this != INVALID && this != TOO_LARGE;
    }
  }

  /** What comes behind the status. */
  enum Form {
    COMPLETE("Content-Length: 4\r\n\r\nbody"),
    LENGTHS_THAT_DO_NOT_FIT("Content-Length: 12, 90\r\n\r\nnot in time"),
    HEAD_THAT_CANNOT_BE_READ("\u0000\u0013\u007f Content-Le\u0001ngth\r\n: 0\r\n\r\n"),
    BODY_THAT_CANNOT_BE_READ("Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
    HEAD_THAT_DOES_NOT_END("Content-Type: text/plain\r\nX-Trace: 9b1f03aa"),
    BODY_THAT_DOES_NOT_END("Content-Length: 40\r\n\r\nhalf"),
    HEAD_CUT_OFF("X-Trace: 9b1f03aa"),
    BODY_CUT_OFF("Content-Length: 40\r\n\r\nhalf");

    private final String rest;

    Form(final String rest) {
      this.rest = rest;
    }

    private boolean endsConnection() {
      return this == HEAD_CUT_OFF || this == BODY_CUT_OFF;
    }

    private boolean isSpoilt() {
      return this == LENGTHS_THAT_DO_NOT_FIT
          || this == HEAD_THAT_CANNOT_BE_READ
          || this == BODY_THAT_CANNOT_BE_READ;
    }
  }

  /** What becomes of a message: its calls, and the end that is reported; "" for none. */
  private record Fate(int calls, String report) {}

  private static final Fate OVER = new Fate(1, "");
  private static final Fate RETRIED = new Fate(2, "");

  private final Set<String> answered = ConcurrentHashMap.newKeySet();

  /** The connections that have carried a call before the one that is answered now. */
  private final Set<FakeHttpServer.Connection> used = ConcurrentHashMap.newKeySet();

  private final Set<String> reused = ConcurrentHashMap.newKeySet();

  private int calls(final String id) {
    return Collections.frequency(SentMessages.ids(harness.firstEndpoint), id);
  }

  private static String write(final Status status, final Form form) {
    return "HTTP/1.1 " + status.line + "\r\n" + status.header + form.rest;
  }

  private void answerFirstCalls(final Form form) {
    harness.operatorPortEnabled = true;
    harness.firstEndpoint.script(
        (request, connection) -> {
          final String id = request.header("X-Request-ID");
          final boolean isFirstOnConnection = used.add(connection);
          if (id == null || id.startsWith("plain") || !answered.add(id)) {
            SentMessages.deliver(request, connection);
            return;
          }
          if (!isFirstOnConnection) {
            reused.add(id);
          }
          connection.write(write(Status.valueOf(id.substring(id.indexOf('-') + 1)), form));
          if (form.endsConnection()) {
            connection.end();
          }
        });
  }

  private static boolean isIdle(final CourierHarness courier) {
    return courier.sendOperatorRequest("GET", "/-/metrics").contains("svc_in_flight 0\n");
  }

  private void submitEachAndAwaitItsEnd(final String messageClass) throws IOException {
    for (final Status status : Status.values()) {
      final String id = messageClass + "-" + status;
      assertEquals(202, harness.submit("plain-" + id, messageClass).status());
      harness.await("the plain message", () -> isIdle(harness));
      assertEquals(202, harness.submit(id, messageClass).status());
      harness.await("the end of " + id, () -> isIdle(harness));
    }
  }

  private void assertFate(final String id, final Fate expected) {
    if (!expected.report.isEmpty()) {
      harness.await("the report of " + id, () -> harness.hasOutcomeReport(id, expected.report));
    }
    final List<String> reports =
        harness.outcomeReports.stream().filter(line -> line.contains('"' + id + '"')).toList();
    assertEquals(expected.report.isEmpty(), reports.isEmpty(), () -> id + ": " + reports);
    assertEquals(expected.calls, calls(id), () -> id + ": calls");
  }

  private static Fate ofNonIdempotent(final Status status, final Form form) {
    if (status == Status.DELIVERED
        || (status == Status.OVER && (form == Form.COMPLETE || form.endsConnection()))) {
      return OVER;
    }
    if (form == Form.COMPLETE && status.neverRan()) {
      return status == Status.NO_MORE ? new Fate(1, DEFERRED) : RETRIED;
    }
    return new Fate(1, UNDELIVERABLE);
  }

  private static Fate ofKeyed(final Status status, final Form form, final boolean onReused) {
    if (status == Status.DELIVERED) {
      // A spoilt answer on a used connection may be parts of two.
      return form.isSpoilt() && onReused ? RETRIED : OVER;
    }
    if (status == Status.OVER && (form == Form.COMPLETE || form.endsConnection())) {
      return OVER;
    }
    return status == Status.OVER || status == Status.NO_MORE ? new Fate(1, DEFERRED) : RETRIED;
  }

  /** Guards against a second run: what ran behind a spoilt status was handed back as never run. */
  @ParameterizedTest
  @EnumSource
  void messageThatMayNotBeRepeated(final Form form) throws IOException {
    answerFirstCalls(form);
    harness.start();
    submitEachAndAwaitItsEnd("once");
    for (final Status status : Status.values()) {
      assertFate("once-" + status, ofNonIdempotent(status, form));
    }
  }

  /** Guards against an end that a spoilt status made up, for a message that is still owed. */
  @ParameterizedTest
  @EnumSource
  void messageThatMayBeRepeated(final Form form) throws IOException {
    answerFirstCalls(form);
    harness.start();
    submitEachAndAwaitItsEnd("keyed");
    for (final Status status : Status.values()) {
      final String id = "keyed-" + status;
      assertFate(id, ofKeyed(status, form, reused.contains(id)));
    }
  }

  /** Guards against the same where the older process of a takeover reads the spoilt answer. */
  @ParameterizedTest
  @EnumSource(names = {"NO_MORE", "OVER"})
  void spoiltAnswerToOlderProcess(final Status status) throws IOException {
    harness.operatorPortEnabled = true;
    harness.firstEndpoint.script((request, connection) -> {});
    harness.start();
    assertEquals(202, harness.submit("m1", "once").status());
    harness.await("the call", () -> calls("m1") == 1);
    try (CourierHarness newer = harness.successor()) {
      newer.start();
      newer.await("the call in flight", () -> !isIdle(newer));
      harness
          .firstEndpoint
          .requests
          .get(0)
          .connection()
          .write(write(status, Form.LENGTHS_THAT_DO_NOT_FIT));
      newer.await("the report", () -> newer.hasOutcomeReport("m1", UNDELIVERABLE));
      assertEquals(1, calls("m1"));
    }
  }

  /** Guards against a next process that finds in the journal what a spoilt status has said. */
  @Test
  void spoiltAnswerBeforeKill_isNoEndInJournal() throws IOException, InterruptedException {
    answerFirstCalls(Form.LENGTHS_THAT_DO_NOT_FIT);
    harness.start();
    assertEquals(202, harness.submit("once-NO_MORE", "once").status());
    harness.await("the report", () -> harness.hasOutcomeReport("once-NO_MORE", UNDELIVERABLE));
    harness.killAndRestart();
    assertEquals(202, harness.submit("plain", "safe").status());
    harness.await("a later call", () -> calls("plain") == 1);
    assertEquals(1, calls("once-NO_MORE"));
    assertTrue(
        harness.outcomeReports.stream().noneMatch(line -> line.contains(DEFERRED)),
        harness.outcomeReports::toString);
  }
}
