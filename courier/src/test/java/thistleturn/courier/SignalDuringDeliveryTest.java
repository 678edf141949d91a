package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A signal at each step of a request, a call, its response, a watch event and an outcome report. A
 * step is reached when its first half is written, and is continued only after the signal was sent:
 * whatever the process does with the signal, each accepted message has one final outcome, a
 * non-idempotent message is called once, and no request on an open connection lacks its response.
 */
@Tag("crossings")
@Timeout(120)
final class SignalDuringDeliveryTest {
  /** A process ends within 3.1 s of SIGTERM; more is allowed for on a busy machine. */
  private static final long SHUTDOWN_TIMEOUT_S = 10;

  private static final String MESSAGE_ID = "m1";

  /** The class whose messages are sent in one call at most. */
  private static final String NON_IDEMPOTENT_CLASS = "once";

  private static final long SHORT_DEADLINE_MS = 600;

  private enum Signal {
    HUP,
    TERM,
    KILL
  }

  /** What is under way when the signal arrives. */
  private enum Step {
    /** A client's connection is open without a request. */
    IDLE_CONNECTION,
    /** Half of a request's headers was received. */
    PARTIAL_HEADERS,
    /** All of its headers were received, and half of its body. */
    PARTIAL_BODY,
    /** Its message was accepted and sent, and the endpoint has not responded. */
    CALL_IN_FLIGHT,
    /** Half of the response's status line was received. */
    PARTIAL_RESPONSE,
    /** Half of a watch event's line was received. */
    PARTIAL_WATCH_EVENT,
    /** An outcome report was sent and is not confirmed. */
    UNCONFIRMED_NOTIFICATION
  }

  @TempDir private Path folder;
  private CourierHarness harness;
  private Socket client;

  /** The message ids of the calls that the first endpoint received. */
  private final List<String> calls = new CopyOnWriteArrayList<>();

  private volatile FakeHttpServer.Connection heldCall;
  private volatile FakeHttpServer.Connection unconfirmedNotification;
  private volatile boolean holdsNextCall;

  static Stream<Arguments> stepsAndSignals() {
    return Arrays.stream(Step.values())
        .flatMap(step -> Arrays.stream(Signal.values()).map(signal -> Arguments.of(step, signal)));
  }

  @BeforeEach
  void startCourier() throws IOException {
    harness = new CourierHarness(folder);
    harness.firstEndpoint.script(
        (request, connection) -> {
          calls.add(request.header("X-Request-ID"));
          if (holdsNextCall) {
            heldCall = connection;
          } else {
            connection.respond(200, "");
          }
        });
    harness.start();
    harness.await("the watch", () -> !harness.watchConnections.isEmpty());
    client = harness.connect();
  }

  @AfterEach
  void closeHarness() throws IOException {
    client.close();
    harness.close();
  }

  private void write(final String text) throws IOException {
    client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private int readStatus() throws IOException {
    return CourierHarness.readResponse(client.getInputStream()).status();
  }

  /**
   * Sends a signal. After SIGKILL the process has exited when this returns.
   *
   * @return the process that is shutting down after SIGTERM, otherwise null
   */
  private Process send(final Signal signal) throws IOException, InterruptedException {
    switch (signal) {
      case HUP -> harness.sendHangupSignal();
      case KILL -> harness.kill();
      default -> {
        return harness.terminate();
      }
    }
    return null;
  }

  /**
   * Waits for what the signal requested, and checks that the process that runs afterwards delivers
   * a message.
   */
  private void awaitRecovery(final Signal signal, final Process endingProcess)
      throws IOException, InterruptedException {
    if (signal == Signal.HUP) {
      harness.await(
          "the reload",
          () ->
              harness.logLines.stream().anyMatch(line -> line.contains("SIGHUP: discovery is at")));
    } else {
      assertTrue(
          endingProcess == null || endingProcess.waitFor(SHUTDOWN_TIMEOUT_S, TimeUnit.SECONDS),
          "the process does not exit");
      harness.start();
    }
    assertEquals(202, harness.submit("next", NON_IDEMPOTENT_CLASS).status());
    harness.await(
        "the next call",
        () -> calls.contains("next") || !harness.secondEndpoint.requests.isEmpty());
  }

  /** Checks that the message was in one call at most, and ended by that call or by one report. */
  private void assertOneOutcome(final boolean delivered) {
    final List<String> reports =
        harness.outcomeReports.stream()
            .filter(line -> line.contains('"' + MESSAGE_ID + '"'))
            .distinct()
            .toList();
    assertTrue(calls.stream().filter(MESSAGE_ID::equals).count() <= 1, "calls " + calls);
    assertEquals(delivered ? 0 : 1, reports.size(), "calls " + calls + ", reports " + reports);
  }

  private void submitAndHoldCall() throws IOException {
    holdsNextCall = true;
    assertEquals(202, harness.submit(MESSAGE_ID, NON_IDEMPOTENT_CLASS).status());
    harness.await("the call", () -> heldCall != null);
    holdsNextCall = false;
  }

  @ParameterizedTest
  @MethodSource("stepsAndSignals")
  void signalAtStep_losesAndDuplicatesNothing(final Step step, final Signal signal)
      throws Exception {
    switch (step) {
      case IDLE_CONNECTION -> signalOnIdleConnection(signal);
      case PARTIAL_HEADERS, PARTIAL_BODY -> signalDuringRequest(step, signal);
      case CALL_IN_FLIGHT, PARTIAL_RESPONSE ->
          signalDuringCall(step == Step.PARTIAL_RESPONSE ? "HTTP/1.1 20" : "", signal);
      case PARTIAL_WATCH_EVENT -> signalDuringWatchEvent(signal);
      default -> signalDuringNotification(signal);
    }
  }

  private void signalOnIdleConnection(final Signal signal) throws Exception {
    write("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    assertEquals(200, readStatus());
    final Process endingProcess = send(signal);
    if (signal == Signal.TERM) {
      assertEquals(-1, client.getInputStream().read(), "the connection is closed without a reset");
    }
    awaitRecovery(signal, endingProcess);
  }

  private void signalDuringRequest(final Step step, final Signal signal) throws Exception {
    final String request = CourierHarness.submitRequest(MESSAGE_ID, NON_IDEMPOTENT_CLASS);
    final int half = step == Step.PARTIAL_HEADERS ? request.length() / 3 : request.length() - 2;
    write(request.substring(0, half));
    // The response on another connection shows that the first half has been read.
    assertEquals(404, harness.send("GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n").status());
    final Process endingProcess = send(signal);
    boolean accepted = false;
    if (signal != Signal.KILL) {
      write(request.substring(half));
      final int status = readStatus();
      accepted = status == 202;
      assertTrue(accepted || status == 503, "status " + status);
    }
    awaitRecovery(signal, endingProcess);
    if (accepted) {
      harness.await(
          "the outcome",
          () -> calls.contains(MESSAGE_ID) || harness.hasOutcomeReport(MESSAGE_ID, ""));
      assertOneOutcome(calls.contains(MESSAGE_ID));
    } else {
      assertTrue(
          !calls.contains(MESSAGE_ID) && !harness.hasOutcomeReport(MESSAGE_ID, ""),
          "calls " + calls + ", reports " + harness.outcomeReports);
    }
  }

  private void signalDuringCall(final String half, final Signal signal) throws Exception {
    submitAndHoldCall();
    heldCall.write(half);
    final Process endingProcess = send(signal);
    if (signal != Signal.KILL) {
      heldCall.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".substring(half.length()));
    }
    awaitRecovery(signal, endingProcess);
    if (signal == Signal.KILL) {
      // The call may have run: the message's failure is reported, and it is not retried.
      harness.await(
          "the outcome report", () -> harness.hasOutcomeReport(MESSAGE_ID, "undeliverable"));
    }
    assertOneOutcome(signal != Signal.KILL);
  }

  private void signalDuringWatchEvent(final Signal signal) throws Exception {
    final FakeHttpServer.Connection watch = harness.watchConnections.get(0);
    final String change =
        "{\"seq\":42,\"whole\":false,\"hosts\":["
            + CourierHarness.hostEntry("e2", harness.secondEndpoint, "Ready")
            + ","
            + CourierHarness.hostEntry("e1", harness.firstEndpoint, "Gone")
            + "]}\n";
    watch.writeChunk(change.substring(0, change.length() / 2));
    final Process endingProcess = send(signal);
    watch.writeChunk(change.substring(change.length() / 2));
    if (signal == Signal.HUP) {
      harness.await(
          "a call to the endpoint of the complete event",
          () -> {
            try {
              return harness.submit("w" + System.nanoTime(), NON_IDEMPOTENT_CLASS).status() == 202
                  && !harness.secondEndpoint.requests.isEmpty();
            } catch (final IOException e) {
              throw new IllegalStateException(e);
            }
          });
    }
    awaitRecovery(signal, endingProcess);
  }

  private void signalDuringNotification(final Signal signal) throws Exception {
    final List<String> unconfirmedReports = new ArrayList<>();
    harness.platform.script(
        (request, connection) -> {
          if (request.requestLine().startsWith("POST") && unconfirmedNotification == null) {
            unconfirmedReports.add(request.text());
            unconfirmedNotification = connection;
          } else if (request.requestLine().startsWith("POST")) {
            harness.outcomeReports.addAll(request.text().lines().toList());
            connection.respond(204, "");
          } else {
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            connection.writeChunk("\n");
          }
        });
    holdsNextCall = true;
    assertEquals(
        202,
        harness
            .send(
                CourierHarness.submitRequest(MESSAGE_ID, NON_IDEMPOTENT_CLASS)
                    .replace("20000", Long.toString(SHORT_DEADLINE_MS)))
            .status());
    harness.await("the outcome report", () -> unconfirmedNotification != null);
    holdsNextCall = false;
    final Process endingProcess = send(signal);
    awaitRecovery(signal, endingProcess);
    // Unconfirmed, it is reported again by this process or the next, with no call besides.
    harness.await(
        "the outcome report again", () -> harness.hasOutcomeReport(MESSAGE_ID, "undeliverable"));
    assertTrue(unconfirmedReports.get(0).contains("undeliverable"), unconfirmedReports.toString());
    assertOneOutcome(false);
  }
}
