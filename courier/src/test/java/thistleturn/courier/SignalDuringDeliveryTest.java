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
 * A signal at each step of a request, a call, its answer, the watch and a notice. The step is
 * reached when its half has been written, and goes on only after the signal is sent: whatever the
 * process makes of it, each message that was taken on has one end, one that may not be repeated is
 * called once, and no request whose connection stands is left without an answer.
 */
@Tag("crossings")
@Timeout(120)
final class SignalDuringDeliveryTest {
  /** A process that is told to end has ended by then: its own 3.1 s, and a busy machine. */
  private static final long SHUTDOWN_TIMEOUT_S = 10;

  private static final String MESSAGE_ID = "m1";

  /** May not be repeated. */
  private static final String NON_IDEMPOTENT_CLASS = "once";

  private static final long SHORT_DEADLINE_MS = 600;

  private enum Signal {
    HUP,
    TERM,
    KILL
  }

  /** What is under way when the signal comes. */
  private enum Step {
    /** A client's connection rests. */
    IDLE_CONNECTION,
    /** Half of a request's head has come. */
    PARTIAL_HEADERS,
    /** Its head has come, and half of its body. */
    PARTIAL_BODY,
    /** Its message was taken on and called, and the endpoint has not answered. */
    CALL_IN_FLIGHT,
    /** Half of the answer's first line has come. */
    PARTIAL_RESPONSE,
    /** Half of a line of the watch has come. */
    PARTIAL_WATCH_EVENT,
    /** A notice is told and not confirmed. */
    UNCONFIRMED_NOTIFICATION
  }

  @TempDir private Path folder;
  private CourierHarness rig;
  private Socket client;

  /** Ids that endpoints were called with; the first call is held. */
  private final List<String> calls = new CopyOnWriteArrayList<>();

  private volatile FakeHttpServer.Connection heldCall;
  private volatile FakeHttpServer.Connection unconfirmedNotification;
  private volatile boolean holdsNextCall;

  static Stream<Arguments> crossings() {
    return Arrays.stream(Step.values())
        .flatMap(step -> Arrays.stream(Signal.values()).map(signal -> Arguments.of(step, signal)));
  }

  @BeforeEach
  void start() throws IOException {
    rig = new CourierHarness(folder);
    rig.firstEndpoint.script(
        (request, connection) -> {
          calls.add(request.header("X-Request-ID"));
          if (holdsNextCall) {
            heldCall = connection;
          } else {
            connection.respond(200, "");
          }
        });
    rig.start();
    rig.await("the watch", () -> !rig.watchConnections.isEmpty());
    client = rig.connect();
  }

  @AfterEach
  void end() throws IOException {
    client.close();
    rig.close();
  }

  private void say(final String text) throws IOException {
    client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private int readStatus() throws IOException {
    return CourierHarness.readResponse(client.getInputStream()).status();
  }

  /** Sends it; a killed process is gone when this returns. */
  private Process send(final Signal signal) throws IOException, InterruptedException {
    switch (signal) {
      case HUP -> rig.sendHangupSignal();
      case KILL -> rig.kill();
      default -> {
        return rig.terminate();
      }
    }
    return null;
  }

  /**
   * What was under way is over: a process that was told to end ends, and the next one works,
   * whoever follows.
   */
  private void awaitRecovery(final Signal signal, final Process ending)
      throws IOException, InterruptedException {
    if (signal == Signal.HUP) {
      rig.await(
          "the reload",
          () -> rig.logLines.stream().anyMatch(line -> line.contains("SIGHUP: discovery is at")));
    } else {
      assertTrue(
          ending == null || ending.waitFor(SHUTDOWN_TIMEOUT_S, TimeUnit.SECONDS),
          "it does not end");
      rig.start();
    }
    assertEquals(202, rig.submit("next", NON_IDEMPOTENT_CLASS).status());
    rig.await(
        "the next call", () -> calls.contains("next") || !rig.secondEndpoint.requests.isEmpty());
  }

  /** A message that was taken on is called once at most, and ends by that call or by one notice. */
  private void assertOneOutcome(final boolean delivered) {
    final List<String> notices =
        rig.outcomeReports.stream()
            .filter(line -> line.contains('"' + MESSAGE_ID + '"'))
            .distinct()
            .toList();
    assertTrue(calls.stream().filter(MESSAGE_ID::equals).count() <= 1, "calls " + calls);
    assertEquals(delivered ? 0 : 1, notices.size(), "calls " + calls + ", notices " + notices);
  }

  private void submitAndHoldCall() throws IOException {
    holdsNextCall = true;
    assertEquals(202, rig.submit(MESSAGE_ID, NON_IDEMPOTENT_CLASS).status());
    rig.await("the call", () -> heldCall != null);
    holdsNextCall = false;
  }

  @ParameterizedTest
  @MethodSource("crossings")
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
    say("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    assertEquals(200, readStatus());
    final Process ending = send(signal);
    if (signal == Signal.TERM) {
      assertEquals(-1, client.getInputStream().read(), "it is ended in order");
    }
    awaitRecovery(signal, ending);
  }

  private void signalDuringRequest(final Step step, final Signal signal) throws Exception {
    final String request = CourierHarness.submitRequest(MESSAGE_ID, NON_IDEMPOTENT_CLASS);
    final int half = step == Step.PARTIAL_HEADERS ? request.length() / 3 : request.length() - 2;
    say(request.substring(0, half));
    // Another connection is answered behind it: the half has been read.
    assertEquals(404, rig.send("GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n").status());
    final Process ending = send(signal);
    boolean taken = false;
    if (signal != Signal.KILL) {
      say(request.substring(half));
      final int status = readStatus();
      taken = status == 202;
      assertTrue(taken || status == 503, "status " + status);
    }
    awaitRecovery(signal, ending);
    if (taken) {
      rig.await(
          "its end", () -> calls.contains(MESSAGE_ID) || rig.hasOutcomeReport(MESSAGE_ID, ""));
      assertOneOutcome(calls.contains(MESSAGE_ID));
    } else {
      assertTrue(
          !calls.contains(MESSAGE_ID) && !rig.hasOutcomeReport(MESSAGE_ID, ""),
          "calls " + calls + ", notices " + rig.outcomeReports);
    }
  }

  private void signalDuringCall(final String half, final Signal signal) throws Exception {
    submitAndHoldCall();
    heldCall.write(half);
    final Process ending = send(signal);
    if (signal != Signal.KILL) {
      heldCall.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".substring(half.length()));
    }
    awaitRecovery(signal, ending);
    if (signal == Signal.KILL) {
      // It may have run: it ends by a notice of its failure, and does not go again.
      rig.await("the notice", () -> rig.hasOutcomeReport(MESSAGE_ID, "undeliverable"));
    }
    assertOneOutcome(signal != Signal.KILL);
  }

  private void signalDuringWatchEvent(final Signal signal) throws Exception {
    final FakeHttpServer.Connection watch = rig.watchConnections.get(0);
    final String change =
        "{\"seq\":42,\"whole\":false,\"hosts\":["
            + CourierHarness.hostEntry("e2", rig.secondEndpoint, "Ready")
            + ","
            + CourierHarness.hostEntry("e1", rig.firstEndpoint, "Gone")
            + "]}\n";
    watch.writeChunk(change.substring(0, change.length() / 2));
    final Process ending = send(signal);
    watch.writeChunk(change.substring(change.length() / 2));
    if (signal == Signal.HUP) {
      rig.await(
          "what the whole line says",
          () -> {
            try {
              return rig.submit("w" + System.nanoTime(), NON_IDEMPOTENT_CLASS).status() == 202
                  && !rig.secondEndpoint.requests.isEmpty();
            } catch (final IOException e) {
              throw new IllegalStateException(e);
            }
          });
    }
    awaitRecovery(signal, ending);
  }

  private void signalDuringNotification(final Signal signal) throws Exception {
    final List<String> told = new ArrayList<>();
    rig.platform.script(
        (request, connection) -> {
          if (request.requestLine().startsWith("POST") && unconfirmedNotification == null) {
            told.add(request.text());
            unconfirmedNotification = connection;
          } else if (request.requestLine().startsWith("POST")) {
            rig.outcomeReports.addAll(request.text().lines().toList());
            connection.respond(204, "");
          } else {
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            connection.writeChunk("\n");
          }
        });
    holdsNextCall = true;
    assertEquals(
        202,
        rig.send(
                CourierHarness.submitRequest(MESSAGE_ID, NON_IDEMPOTENT_CLASS)
                    .replace("20000", Long.toString(SHORT_DEADLINE_MS)))
            .status());
    rig.await("the notice", () -> unconfirmedNotification != null);
    holdsNextCall = false;
    final Process ending = send(signal);
    awaitRecovery(signal, ending);
    // Not confirmed, it is told again, by this process or by the next; the same, and no call
    // besides.
    rig.await("the notice again", () -> rig.hasOutcomeReport(MESSAGE_ID, "undeliverable"));
    assertTrue(told.get(0).contains("undeliverable"), told.toString());
    assertOneOutcome(false);
  }
}
