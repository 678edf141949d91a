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
final class SignalWalkTest {
  /** A process that is told to end has ended by then: its own 3.1 s, and a busy machine. */
  private static final long ENDS_S = 10;

  private static final String ID = "m1";

  /** May not be repeated. */
  private static final String CLASS = "once";

  private static final long BRIEF_MS = 600;

  private enum Signal {
    HUP,
    TERM,
    KILL
  }

  /** What is under way when the signal comes. */
  private enum Step {
    /** A client's connection rests. */
    REST,
    /** Half of a request's head has come. */
    HEAD,
    /** Its head has come, and half of its body. */
    BODY,
    /** Its message was taken on and called, and the endpoint has not answered. */
    CALL,
    /** Half of the answer's first line has come. */
    ANSWER,
    /** Half of a line of the watch has come. */
    WATCH,
    /** A notice is told and not confirmed. */
    NOTICE
  }

  @TempDir private Path folder;
  private Rig rig;
  private Socket client;

  /** Ids that endpoints were called with; the first call is held. */
  private final List<String> calls = new CopyOnWriteArrayList<>();

  private volatile FakeServer.Connection held;
  private volatile FakeServer.Connection unconfirmed;
  private volatile boolean holds;

  static Stream<Arguments> crossings() {
    return Arrays.stream(Step.values())
        .flatMap(step -> Arrays.stream(Signal.values()).map(signal -> Arguments.of(step, signal)));
  }

  @BeforeEach
  void start() throws IOException {
    rig = new Rig(folder);
    rig.first.script(
        (request, connection) -> {
          calls.add(request.header("X-Request-ID"));
          if (holds) {
            held = connection;
          } else {
            connection.answer(200, "");
          }
        });
    rig.start();
    rig.await("the watch", () -> !rig.watches.isEmpty());
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

  private int answer() throws IOException {
    return Rig.read(client.getInputStream()).status();
  }

  /** Sends it; a killed process is gone when this returns. */
  private Process send(final Signal signal) throws IOException, InterruptedException {
    switch (signal) {
      case HUP -> rig.hangUp();
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
  private void goOn(final Signal signal, final Process ending)
      throws IOException, InterruptedException {
    if (signal == Signal.HUP) {
      rig.await(
          "the reload",
          () -> rig.log.stream().anyMatch(line -> line.contains("SIGHUP: discovery is at")));
    } else {
      assertTrue(ending == null || ending.waitFor(ENDS_S, TimeUnit.SECONDS), "it does not end");
      rig.start();
    }
    assertEquals(202, rig.handIn("next", CLASS).status());
    rig.await("the next call", () -> calls.contains("next") || !rig.second.requests.isEmpty());
  }

  /** A message that was taken on is called once at most, and ends by that call or by one notice. */
  private void assertOneEnd(final boolean delivered) {
    final List<String> notices =
        rig.notices.stream().filter(line -> line.contains('"' + ID + '"')).distinct().toList();
    assertTrue(calls.stream().filter(ID::equals).count() <= 1, "calls " + calls);
    assertEquals(delivered ? 0 : 1, notices.size(), "calls " + calls + ", notices " + notices);
  }

  private void held() throws IOException {
    holds = true;
    assertEquals(202, rig.handIn(ID, CLASS).status());
    rig.await("the call", () -> held != null);
    holds = false;
  }

  @ParameterizedTest
  @MethodSource("crossings")
  void nothingIsLostOrDoubled(final Step step, final Signal signal) throws Exception {
    switch (step) {
      case REST -> rest(signal);
      case HEAD, BODY -> request(step, signal);
      case CALL, ANSWER -> call(step == Step.ANSWER ? "HTTP/1.1 20" : "", signal);
      case WATCH -> watch(signal);
      default -> notice(signal);
    }
  }

  private void rest(final Signal signal) throws Exception {
    say("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    assertEquals(200, answer());
    final Process ending = send(signal);
    if (signal == Signal.TERM) {
      assertEquals(-1, client.getInputStream().read(), "it is ended in order");
    }
    goOn(signal, ending);
  }

  private void request(final Step step, final Signal signal) throws Exception {
    final String request = Rig.message(ID, CLASS);
    final int half = step == Step.HEAD ? request.length() / 3 : request.length() - 2;
    say(request.substring(0, half));
    // Another connection is answered behind it: the half has been read.
    assertEquals(404, rig.send("GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n").status());
    final Process ending = send(signal);
    boolean taken = false;
    if (signal != Signal.KILL) {
      say(request.substring(half));
      final int status = answer();
      taken = status == 202;
      assertTrue(taken || status == 503, "status " + status);
    }
    goOn(signal, ending);
    if (taken) {
      rig.await("its end", () -> calls.contains(ID) || rig.noticed(ID, ""));
      assertOneEnd(calls.contains(ID));
    } else {
      assertTrue(
          !calls.contains(ID) && !rig.noticed(ID, ""),
          "calls " + calls + ", notices " + rig.notices);
    }
  }

  private void call(final String half, final Signal signal) throws Exception {
    held();
    held.write(half);
    final Process ending = send(signal);
    if (signal != Signal.KILL) {
      held.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".substring(half.length()));
    }
    goOn(signal, ending);
    if (signal == Signal.KILL) {
      // It may have run: it ends by a notice of its failure, and does not go again.
      rig.await("the notice", () -> rig.noticed(ID, "undeliverable"));
    }
    assertOneEnd(signal != Signal.KILL);
  }

  private void watch(final Signal signal) throws Exception {
    final FakeServer.Connection watch = rig.watches.get(0);
    final String change =
        "{\"seq\":42,\"whole\":false,\"hosts\":["
            + Rig.host("e2", rig.second, "Ready")
            + ","
            + Rig.host("e1", rig.first, "Gone")
            + "]}\n";
    watch.chunk(change.substring(0, change.length() / 2));
    final Process ending = send(signal);
    watch.chunk(change.substring(change.length() / 2));
    if (signal == Signal.HUP) {
      rig.await(
          "what the whole line says",
          () -> {
            try {
              return rig.handIn("w" + System.nanoTime(), CLASS).status() == 202
                  && !rig.second.requests.isEmpty();
            } catch (final IOException e) {
              throw new IllegalStateException(e);
            }
          });
    }
    goOn(signal, ending);
  }

  private void notice(final Signal signal) throws Exception {
    final List<String> told = new ArrayList<>();
    rig.platform.script(
        (request, connection) -> {
          if (request.line().startsWith("POST") && unconfirmed == null) {
            told.add(request.text());
            unconfirmed = connection;
          } else if (request.line().startsWith("POST")) {
            rig.notices.addAll(request.text().lines().toList());
            connection.answer(204, "");
          } else {
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            connection.chunk("\n");
          }
        });
    holds = true;
    assertEquals(
        202, rig.send(Rig.message(ID, CLASS).replace("20000", Long.toString(BRIEF_MS))).status());
    rig.await("the notice", () -> unconfirmed != null);
    holds = false;
    final Process ending = send(signal);
    goOn(signal, ending);
    // Not confirmed, it is told again, by this process or by the next; the same, and no call
    // besides.
    rig.await("the notice again", () -> rig.noticed(ID, "undeliverable"));
    assertTrue(told.get(0).contains("undeliverable"), told.toString());
    assertOneEnd(false);
  }
}
