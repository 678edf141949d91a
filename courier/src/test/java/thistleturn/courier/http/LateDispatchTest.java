package thistleturn.courier.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static thistleturn.courier.http.DispatcherFixture.SECOND_US;
import static thistleturn.courier.http.DispatcherFixture.TIMEOUT_S;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import thistleturn.courier.http.DispatcherFixture.ReportedOutcome;
import thistleturn.courier.port.Dispatcher;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.EndpointState;
import thistleturn.testkit.HttpExchange;

/** Messages that may no longer be sent when their call is dispatched late are not sent. */
final class LateDispatchTest {
  private static final long CALL_TIMEOUT_US = 60 * SECOND_US;
  private static final long MESSAGE_TIMEOUT_US = 9 * SECOND_US;

  /** The id of a message to which the handler responds with 504. */
  private static final String HAD_ALL_ATTEMPTS = "had all attempts";

  /** The id of a message to which the test itself responds, not the handler of calls. */
  private static final String UNANSWERED = "unanswered";

  private final List<String> receivedBodies = new CopyOnWriteArrayList<>();
  private final CountDownLatch bulkConnectionClosed = new CountDownLatch(1);
  private final BlockingQueue<HttpExchange> unansweredExchanges = new LinkedBlockingQueue<>();
  private DispatcherFixture fixture;

  @BeforeEach
  void startDispatcher(@TempDir final Path folder) throws Exception {
    fixture = new DispatcherFixture(folder, this::handleCall);
  }

  @AfterEach
  void stopDispatcher() {
    fixture.close();
  }

  private void handleCall(final HttpExchange exchange) {
    receivedBodies.add(new String(exchange.body(), StandardCharsets.UTF_8));
    if (receivedBodies.contains(UNANSWERED)) {
      unansweredExchanges.add(exchange);
    } else if (exchange.path().equals("/inbox/bulk")) {
      exchange.channel().closeFuture().addListener(closed -> bulkConnectionClosed.countDown());
    } else if (receivedBodies.contains(HAD_ALL_ATTEMPTS)) {
      exchange.answer(504, "");
    } else {
      exchange.answer(200, "");
    }
  }

  private TestAttempt attempt(final String id) {
    return attempt(id, fixture.nowUs() + MESSAGE_TIMEOUT_US);
  }

  private static TestAttempt attempt(final String id, final long messageDeadlineUs) {
    return TestAttempt.of(id, CALL_TIMEOUT_US, messageDeadlineUs);
  }

  private void assertOutcome(final String id, final AttemptResult expected) throws Exception {
    assertEquals(new ReportedOutcome(id, expected), fixture.awaitOutcome());
  }

  private void assertOnlyNextCallReceived() throws Exception {
    fixture.call(attempt("next"));
    assertOutcome("next", AttemptResult.DELIVERED);
    assertEquals(List.of("next"), receivedBodies);
  }

  @Test
  void idempotencyKeyExpiredDuringConnect_isNotSent() throws Exception {
    final long expiryUs = fixture.nowUs() + 20_000;
    fixture.callAndPause(expiryUs, attempt("late").withLatestSendUs(expiryUs));
    assertOutcome("late", AttemptResult.NOT_SENT);
    // Its connection is closed, or serves the next call, without a byte of the late one.
    assertOnlyNextCallReceived();
  }

  @Test
  void expiredCall_isNotSentOverIdleConnection() throws Exception {
    fixture.call(attempt("first"));
    assertOutcome("first", AttemptResult.DELIVERED);
    fixture.call(attempt("late").withLatestSendUs(fixture.nowUs() - 1));
    assertOutcome("late", AttemptResult.NOT_SENT);
    assertEquals(List.of("first"), receivedBodies);
  }

  @Test
  void expiredAttempt_doesNotBlockOthersOfItsCall() throws Exception {
    final long expiryUs = fixture.nowUs() + 20_000;
    fixture.callAndPause(expiryUs, attempt("late").withLatestSendUs(expiryUs), attempt("sendable"));
    assertOutcome("late", AttemptResult.NOT_SENT);
    assertOutcome("sendable", AttemptResult.DELIVERED);
    assertEquals(List.of("sendable"), receivedBodies);
  }

  /**
   * The response would be counted for none of the messages, and those that have not expired may be
   * sent again at once.
   */
  @Test
  void callWithOneExpiredMessage_isNotSent() throws Exception {
    final long expiryUs = fixture.nowUs() + 20_000;
    fixture.callAndPause(expiryUs, attempt("late", expiryUs), attempt("sendable"));
    assertOutcome("late", AttemptResult.NOT_SENT);
    assertOutcome("sendable", AttemptResult.NOT_SENT);
    assertOnlyNextCallReceived();
  }

  @Test
  void callWithSeveralMessages_timesOutAtEarliestDeadline() throws Exception {
    fixture.call(
        attempt("short-deadline", fixture.nowUs() + SECOND_US / 2),
        attempt("long-deadline", fixture.nowUs() + CALL_TIMEOUT_US));
    assertOutcome("short-deadline", AttemptResult.TIMED_OUT);
    assertOutcome("long-deadline", AttemptResult.TIMED_OUT);
    assertTrue(
        bulkConnectionClosed.await(TIMEOUT_S, TimeUnit.SECONDS), "the connection was not closed");
  }

  /** The endpoint is drained, or removed, while a connection to it is established. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void callPreparedBeforeDrain_isNotSentAfterIt(final boolean removed) throws Exception {
    fixture.run(
        () -> {
          fixture.start(attempt("late"));
          if (removed) {
            fixture.dispatcher().removeEndpoint(DispatcherFixture.ENDPOINT);
          } else {
            fixture.updateEndpoint(EndpointState.DRAINING);
          }
        });
    assertOutcome("late", AttemptResult.NOT_SENT);
    fixture.run(() -> fixture.updateEndpoint(EndpointState.LISTED));
    assertOnlyNextCallReceived();
  }

  /** The response is unread or still arriving when the call is abandoned. */
  @Test
  void retryAfterOfAbandonedCall_isReported() throws Exception {
    final Dispatcher.Call call = fixture.call(attempt(UNANSWERED));
    final HttpExchange exchange = unansweredExchanges.poll(TIMEOUT_S, TimeUnit.SECONDS);
    fixture.run(
        () -> {
          exchange.answer(429, "", "Retry-After", "1.5").syncUninterruptibly();
          fixture.dispatcher().abandon(call, AttemptResult.TIMED_OUT);
        });
    assertOutcome(UNANSWERED, AttemptResult.TIMED_OUT);
    assertEquals(3 * SECOND_US / 2, fixture.awaitRetryAfterUs());
  }

  /** Guards against a Retry-After that waits for the confirmation of its 504. */
  @Test
  void retryAfterOfLastAttemptOnReusedConnection_isReportedAtOnce() throws Exception {
    fixture.call(attempt(HAD_ALL_ATTEMPTS));
    assertOutcome(HAD_ALL_ATTEMPTS, AttemptResult.NOT_SENT);
    fixture.call(attempt(UNANSWERED));
    final HttpExchange exchange = unansweredExchanges.poll(TIMEOUT_S, TimeUnit.SECONDS);
    exchange.answer(504, "", "Retry-After", "1.5");
    assertEquals(3 * SECOND_US / 2, fixture.awaitRetryAfterUs(), "before the outcome");
    assertOutcome(UNANSWERED, AttemptResult.NOT_SENT);
    assertEquals(3 * SECOND_US / 2, fixture.awaitRetryAfterUs(), "with the outcome");
  }

  /** The connection is lost after the head of the response. */
  @Test
  void retryAfterOfTruncatedResponse_isReported() throws Exception {
    fixture.call(attempt(UNANSWERED));
    final HttpExchange exchange = unansweredExchanges.poll(TIMEOUT_S, TimeUnit.SECONDS);
    exchange
        .raw(
            "HTTP/1.1 429 X\r\nRetry-After: 1.5\r\nContent-Length: 10\r\n\r\nab"
                .getBytes(StandardCharsets.US_ASCII))
        .addListener(written -> exchange.channel().close());
    assertOutcome(UNANSWERED, AttemptResult.RESET);
    assertEquals(3 * SECOND_US / 2, fixture.awaitRetryAfterUs());
  }
}
