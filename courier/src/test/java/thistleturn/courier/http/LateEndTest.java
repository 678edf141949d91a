package thistleturn.courier.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.testkit.HttpExchange;

/** Answers that state the end of a message, to calls that are given up or not answered yet. */
@Tag("connections")
final class LateEndTest {
  private static final long CALL_TIMEOUT_US = DispatcherFixture.SECOND_US / 5;
  private static final long MESSAGE_TIMEOUT_US = 9 * DispatcherFixture.SECOND_US;

  private final Semaphore received = new Semaphore(0);
  private final Semaphore permits = new Semaphore(0);
  private DispatcherFixture fixture;

  @BeforeEach
  void startDispatcher(@TempDir final Path folder) throws Exception {
    fixture = new DispatcherFixture(folder, this::answerWhenPermitted);
  }

  @AfterEach
  void stopDispatcher() {
    permits.release(100);
    fixture.close();
  }

  /** The body of a message with the id {@code status-N} is its id; several are a JSON array. */
  private void answerWhenPermitted(final HttpExchange exchange) {
    final String body = new String(exchange.body(), StandardCharsets.UTF_8);
    received.release();
    permits.acquireUninterruptibly();
    if (body.startsWith("status-")) {
      exchange.answer(Integer.parseInt(body.substring("status-".length())), "");
    } else {
      exchange.answer(
          200, "[{\"id\":\"one\",\"state\":\"expired\"},{\"id\":\"two\",\"state\":\"accepted\"}]");
    }
  }

  private TestAttempt attempt(final String id) {
    return TestAttempt.of(id, CALL_TIMEOUT_US, fixture.nowUs() + MESSAGE_TIMEOUT_US);
  }

  private void awaitTimeout(final String id) throws InterruptedException {
    assertTrue(received.tryAcquire(DispatcherFixture.TIMEOUT_S, TimeUnit.SECONDS), id);
    assertEquals(
        new DispatcherFixture.ReportedOutcome(id, AttemptResult.TIMED_OUT), fixture.awaitOutcome());
  }

  /** Guards against a call behind an end that was read after the call had been given up. */
  @ParameterizedTest
  @CsvSource({"410", "504"})
  void endReadAfterCallIsAbandoned_isReported(final int status) throws Exception {
    final String id = "status-" + status;
    fixture.call(attempt(id));
    awaitTimeout(id);
    permits.release();
    assertEquals(id, fixture.awaitStatedEnd());
  }

  /** Guards against the same for one of several messages. */
  @Test
  void endOfOneMessageReadAfterCallIsAbandoned_isReported() throws Exception {
    fixture.call(attempt("one"), attempt("two"));
    awaitTimeout("one");
    assertEquals("two", fixture.awaitOutcome().id());
    permits.release();
    assertEquals("one", fixture.awaitStatedEnd());
    assertTrue(fixture.hasNoStatedEnd());
  }

  /** The plain twin: an end that is answered in time is the outcome of its call alone. */
  @ParameterizedTest
  @CsvSource({"410, NOT_SENT", "504, NOT_SENT", "200, DELIVERED"})
  void answerInTime_isOutcomeAlone(final int status, final AttemptResult result) throws Exception {
    permits.release(2);
    fixture.call(attempt("status-" + status));
    assertEquals(result, fixture.awaitOutcome().result());
    fixture.call(attempt("status-200"));
    assertEquals(AttemptResult.DELIVERED, fixture.awaitOutcome().result());
    assertTrue(fixture.hasNoStatedEnd());
  }
}
