package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The list over a watch that falls silent, trickles, breaks off or is written in an unusual way.
 */
@Tag("crossings")
@Timeout(120)
final class WatchTest {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** What a silent watch misses counts as told after so long. */
  private static final long TOLD_MS = 6000;

  /** An answer may wait its turn for so long. */
  private static final long TURN_MS = 2000;

  private static final long TRICKLE_MS = 100;
  private static final long HEARTBEAT_MS = 2000;

  /** Enough for a wait that doubles to reach its bound. */
  private static final int TURNED_AWAY = 5;

  @TempDir private Path folder;
  private Rig rig;
  private ScheduledExecutorService later;

  /** The connections on which the list was asked for, in order, and when. */
  private final List<FakeServer.Request> asked = new CopyOnWriteArrayList<>();

  @BeforeEach
  void build() throws IOException {
    rig = new Rig(folder);
    later = Executors.newSingleThreadScheduledExecutor();
  }

  @AfterEach
  void end() throws IOException {
    later.shutdownNow();
    rig.close();
  }

  /** What the platform does with each further question about the list. */
  private interface Answers {
    void to(int number, FakeServer.Request request, FakeServer.Connection connection);
  }

  private void platform(final FakeServer server, final Answers answers) {
    final AtomicInteger number = new AtomicInteger();
    server.script(
        (request, connection) -> {
          if (request.line().startsWith("POST")) {
            connection.answer(204, "");
            return;
          }
          asked.add(request);
          answers.to(number.getAndIncrement(), request, connection);
        });
  }

  private static String changes(final int seq, final String host) {
    return "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[" + host + "]}\n";
  }

  private void heartbeats(final FakeServer.Connection connection) {
    later.scheduleAtFixedRate(
        () -> connection.chunk("\n"), HEARTBEAT_MS, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
  }

  private long askedAfterMs(final long sinceNs, final int number) {
    return TimeUnit.NANOSECONDS.toMillis(asked.get(number).atNs() - sinceNs);
  }

  /** What the list has told counts: a message goes to the endpoint that was not there before. */
  private void awaitACallToTheSecond() {
    rig.await(
        "a call where the change says",
        () -> {
          try {
            return rig.handIn("m" + System.nanoTime(), "safe").status() == 202
                && !rig.second.requests.isEmpty();
          } catch (final IOException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  /**
   * Finding out, connecting and an answer that waits its turn have to fit into the time together.
   */
  @Test
  void whatASilentWatchMissesIsKnownWithinSixSeconds() throws IOException {
    platform(
        rig.platform,
        (number, request, connection) -> {
          if (number == 0) {
            connection.write(HEAD);
            connection.chunk("\n");
          } else {
            later.schedule(
                () -> {
                  connection.write(HEAD);
                  connection.chunk(
                      changes(
                          42,
                          Rig.host("e2", rig.second, "Ready")
                              + ","
                              + Rig.host("e1", rig.first, "Gone")));
                },
                TURN_MS,
                TimeUnit.MILLISECONDS);
          }
        });
    rig.start();
    rig.await("the first watch", () -> asked.size() == 1);
    final long silentNs = System.nanoTime();
    rig.await("the second watch", () -> asked.size() == 2);
    final long atMs = askedAfterMs(silentNs, 1) + TURN_MS;
    assertTrue(atMs < TOLD_MS, "told " + atMs + " ms after the watch fell silent");
    awaitACallToTheSecond();
  }

  /** Bytes without an end are no sign of life: a line counts once it is whole. */
  @Test
  void aLineThatNeverEndsDoesNotKeepAWatchAlive() throws IOException {
    platform(
        rig.platform,
        (number, request, connection) -> {
          connection.write(HEAD);
          connection.chunk("\n");
          if (number == 0) {
            connection.chunk("{\"seq\":42,\"whole\":false,\"hosts\":[");
            later.scheduleAtFixedRate(
                () -> connection.chunk(" "), 0, TRICKLE_MS, TimeUnit.MILLISECONDS);
          } else {
            heartbeats(connection);
          }
        });
    rig.start();
    rig.await("the first watch", () -> asked.size() == 1);
    final long silentNs = System.nanoTime();
    rig.await("another watch", () -> asked.size() == 2);
    assertTrue(
        askedAfterMs(silentNs, 1) < TOLD_MS - TURN_MS,
        "asked after " + askedAfterMs(silentNs, 1) + " ms");
    rig.await("the end of the first", () -> asked.get(0).connection().ended);
  }

  /** The same for a whole list, which a courier asks for at a new address. */
  @Test
  void aWholeListThatNeverEndsIsAskedForAgain() throws IOException, InterruptedException {
    platform(
        rig.moved,
        (number, request, connection) -> {
          if (number == 0) {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n{\"seq\":3,");
            later.scheduleAtFixedRate(
                () -> connection.write(" "), 0, TRICKLE_MS, TimeUnit.MILLISECONDS);
          } else if (request.line().contains("watch=1")) {
            connection.write(HEAD);
            connection.chunk("\n");
            heartbeats(connection);
          } else {
            connection.answer(
                200,
                "{\"seq\":3,\"whole\":true,\"hosts\":["
                    + Rig.host("e2", rig.second, "Ready")
                    + "]}\n");
          }
        });
    rig.start();
    rig.await("the watch", () -> rig.watches.size() == 1);
    rig.configure(rig.moved.address());
    rig.hangUp();
    rig.await("the first question", () -> asked.size() == 1);
    rig.await("the second", () -> asked.size() >= 2);
    final long tookMs = TimeUnit.NANOSECONDS.toMillis(asked.get(1).atNs() - asked.get(0).atNs());
    assertTrue(tookMs < 2 * TURN_MS, "asked again after " + tookMs + " ms");
    assertEquals(202, rig.handIn("m1", "safe").status());
    rig.await("the call", () -> rig.second.requests.size() == 1);
  }

  /** A list may come with line ends within; they are not those of what it says. */
  @Test
  void anIndentedListIsReadAsAny() throws IOException {
    platform(
        rig.platform,
        (number, request, connection) -> {
          connection.write(HEAD);
          connection.chunk("\n");
          if (number == 0) {
            final String change =
                changes(
                    42,
                    Rig.host("e2", rig.second, "Ready") + "," + Rig.host("e1", rig.first, "Gone"));
            connection.chunk(change.replace(",", ",\n    ").replace("{", "{\n  "));
          }
          heartbeats(connection);
        });
    rig.start();
    rig.await("the watch", () -> asked.size() == 1);
    awaitACallToTheSecond();
    assertEquals(1, asked.size(), "the watch stands: " + rig.log);
  }

  /** What was broken off is not joined to what comes behind it. */
  @Test
  void aLineThatIsBrokenOffEndsTheWatchAtOnce() throws IOException {
    platform(
        rig.platform,
        (number, request, connection) -> {
          connection.write(HEAD);
          connection.chunk("\n");
          if (number == 0) {
            connection.chunk("{\"seq\":42,\"whole\":false,\"hosts\":[{\"host\":\"e\n");
            connection.chunk(changes(43, Rig.host("e2", rig.second, "Ready")));
          }
          heartbeats(connection);
        });
    rig.start();
    rig.await("another watch", () -> asked.size() == 2);
    assertTrue(
        asked.get(1).line().contains("after=41"), "nothing of it counts: " + asked.get(1).line());
  }

  /**
   * Turned away again and again, it asks so often that what could be had from some moment on is
   * known 6 s after it.
   */
  @Test
  void whoIsTurnedAwayAsksAgainSoon() throws IOException {
    platform(
        rig.platform,
        (number, request, connection) -> {
          if (number < TURNED_AWAY) {
            connection.answer(503, "");
          } else {
            connection.write(HEAD);
            connection.chunk("\n");
            heartbeats(connection);
          }
        });
    rig.start();
    rig.await("the watch that is answered", () -> asked.size() > TURNED_AWAY);
    for (int number = 1; number <= TURNED_AWAY; number++) {
      final long gapMs = askedAfterMs(asked.get(number - 1).atNs(), number);
      assertTrue(
          gapMs <= TOLD_MS - 2 * TURN_MS,
          "asked after " + gapMs + " ms, the time before question " + number);
    }
  }

  /**
   * On sockets nobody pushes: a list that the settings call pushed comes over a watch all the same.
   */
  @Test
  void aPushedListIsWatched() throws IOException {
    rig.discovery = "pushed";
    rig.start();
    rig.await("the watch", () -> rig.watches.size() == 1);
    rig.change(42, Rig.host("e2", rig.second, "Ready") + "," + Rig.host("e1", rig.first, "Gone"));
    awaitACallToTheSecond();
  }
}
