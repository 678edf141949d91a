package thistleturn.courier.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static thistleturn.courier.http.DispatcherFixture.SECOND_US;
import static thistleturn.courier.http.DispatcherFixture.TIMEOUT_S;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import thistleturn.courier.http.DispatcherFixture.ReportedOutcome;
import thistleturn.courier.port.Dispatcher;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.testkit.HttpExchange;

/** A call expires after a poll that began at its deadline, and its timer does not spin the loop. */
@Tag("health")
final class HttpDispatcherTimeoutTest {
  private static final long MESSAGE_TIMEOUT_US = 9 * SECOND_US;
  private static final int MAX_POLLS_PER_TIMEOUT = 200;

  private final Semaphore callsReceived = new Semaphore(0);
  private final Semaphore responsePermits = new Semaphore(0);
  private final Semaphore surplusResponsesSent = new Semaphore(0);
  private DispatcherFixture fixture;

  @BeforeEach
  void startDispatcher(@TempDir final Path folder) throws Exception {
    fixture = new DispatcherFixture(folder, this::handleCall);
  }

  @AfterEach
  void stopDispatcher() {
    // A call that still waits for a permit would keep the loop of the endpoint from ending.
    responsePermits.release(100);
    fixture.close();
  }

  /** Handles a call by its body, the id of the message; calls with other ids get no response. */
  private void handleCall(final HttpExchange exchange) {
    final String body = new String(exchange.body(), StandardCharsets.UTF_8);
    if (body.startsWith("answered")) {
      exchange.answer(200, "");
    } else if (body.startsWith("held")) {
      awaitPermit();
      exchange.answer(200, "");
    } else if (body.startsWith("surplus")) {
      exchange.answer(200, "");
      awaitPermit();
      sendSurplusResponse(exchange);
    } else if (body.startsWith("[")) {
      awaitPermit();
      exchange.answer(
          200,
          "[{\"id\":\"held\",\"state\":\"accepted\"},{\"id\":\"later\",\"state\":\"accepted\"}]");
    }
  }

  private void awaitPermit() {
    callsReceived.release();
    responsePermits.acquireUninterruptibly();
  }

  private void sendSurplusResponse(final HttpExchange exchange) {
    exchange
        .channel()
        .pipeline()
        .firstContext()
        .writeAndFlush(
            Unpooled.copiedBuffer(
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", StandardCharsets.US_ASCII));
    surplusResponsesSent.release();
  }

  private TestAttempt attempt(final String id, final long timeoutUs) {
    return TestAttempt.of(id, timeoutUs, fixture.nowUs() + MESSAGE_TIMEOUT_US);
  }

  private void awaitCall() throws InterruptedException {
    assertTrue(
        callsReceived.tryAcquire(TIMEOUT_S, TimeUnit.SECONDS),
        "the endpoint did not receive the call");
  }

  private void assertOutcome(final String id, final AttemptResult expected) throws Exception {
    assertEquals(new ReportedOutcome(id, expected), fixture.awaitOutcome());
  }

  @Test
  void timerOfCompletedCall_doesNotSpinTheLoop() throws Exception {
    fixture.call(attempt("answered", SECOND_US));
    assertOutcome("answered", AttemptResult.DELIVERED);
    fixture.call(attempt("unanswered", 5 * SECOND_US / 2));
    final long before = fixture.pollCount();
    assertOutcome("unanswered", AttemptResult.TIMED_OUT);
    final long polls = fixture.pollCount() - before;
    assertTrue(polls < MAX_POLLS_PER_TIMEOUT, polls + " polls for one timeout");
  }

  /** The loop is paused while the response arrives, beyond the deadline of the call. */
  @Test
  void unreadResponse_isReadBeforeTimeout() throws Exception {
    fixture.call(attempt("answered-0", 2 * SECOND_US));
    assertOutcome("answered-0", AttemptResult.DELIVERED);
    for (int round = 1; round <= 10; round++) {
      final String id = "held-" + round;
      fixture.call(attempt(id, 80_000));
      awaitCall();
      fixture.run(
          () -> {
            responsePermits.release();
            fixture.pauseUntil(fixture.nowUs() + 120_000);
          });
      assertOutcome(id, AttemptResult.DELIVERED);
    }
  }

  /** The loop is paused for longer than the reuse delay, so that it has not read the connection. */
  @Test
  void surplusResponse_neverAnswersNextCall() throws Exception {
    for (int round = 0; round < 5; round++) {
      fixture.call(attempt("surplus", 2 * SECOND_US));
      assertOutcome("surplus", AttemptResult.DELIVERED);
      awaitCall();
      final Dispatcher.Attempt next = attempt("unanswered", SECOND_US / 5);
      fixture.run(
          () -> {
            responsePermits.release();
            surplusResponsesSent.acquireUninterruptibly();
            fixture.pauseUntil(fixture.nowUs() + 20_000);
            fixture.start(next);
          });
      assertOutcome("unanswered", AttemptResult.TIMED_OUT);
    }
  }

  /** The loop is paused before the first byte, beyond the deadline of the call. */
  @Test
  void callExpiredBeforeFirstByte_isNotSent() throws Exception {
    for (int round = 0; round < 5; round++) {
      final Dispatcher.Attempt late = attempt("held", 50_000);
      fixture.run(
          () -> {
            fixture.start(late);
            fixture.pauseUntil(fixture.nowUs() + 100_000);
          });
      assertOutcome("held", AttemptResult.NOT_SENT);
      // The endpoint has one loop: a call that was sent before this one would have been counted.
      fixture.call(attempt("answered", 2 * SECOND_US));
      assertOutcome("answered", AttemptResult.DELIVERED);
      assertEquals(0, callsReceived.availablePermits(), "the expired call was sent");
      // The next call needs a connection of its own.
      fixture.run(() -> fixture.dispatcher().closeIdleConnections(DispatcherFixture.ENDPOINT));
    }
  }

  /**
   * The loop is paused beyond the deadline of one message: the response may have been sent after
   * it, and counts for none of the messages in the call.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void responseReadAfterMessageExpiry_isNotDelivery(final boolean bulk) throws Exception {
    final long nowUs = fixture.nowUs();
    final long expiryUs = nowUs + SECOND_US / 2;
    final List<TestAttempt> attempts = new ArrayList<>();
    attempts.add(TestAttempt.of("held", 5 * SECOND_US, expiryUs));
    if (bulk) {
      attempts.add(TestAttempt.of("later", 5 * SECOND_US, nowUs + MESSAGE_TIMEOUT_US));
    }
    fixture.call(attempts.toArray(new TestAttempt[0]));
    awaitCall();
    fixture.run(
        () -> {
          responsePermits.release();
          fixture.pauseUntil(expiryUs + 100_000);
        });
    for (final TestAttempt attempt : attempts) {
      assertOutcome(attempt.message().id(), AttemptResult.TIMED_OUT);
    }
  }
}
