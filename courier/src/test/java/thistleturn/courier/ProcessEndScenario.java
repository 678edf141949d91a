package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * A courier beside another process of its own that ends its line, its lock and itself one by one,
 * and an endpoint that holds the first copy of the messages in their calls.
 */
abstract class ProcessEndScenario {
  /** In a call of the other process. */
  static final String HELD = "held";

  /** In another call of the other process. */
  static final String HELD_ELSEWHERE = "held-elsewhere";

  /** In a call of the courier. */
  static final String HELD_BY_COURIER = "held-by-courier";

  /** In the journal, and in no call. */
  static final String WAITING = "waiting";

  /** For so long, and so many messages, the repeat is looked for that must not come. */
  static final long WATCH_NS = TimeUnit.MILLISECONDS.toNanos(1000);

  private static final int WATCH_MESSAGES = 20;

  /** The bound for what is to go on at once: what was in no call, and repeats after the end. */
  static final long AT_ONCE_NS = TimeUnit.SECONDS.toNanos(1);

  private final long beganNs = System.nanoTime();
  private final List<String> trace = new CopyOnWriteArrayList<>();
  final EndpointCopies copies = new EndpointCopies(HELD, HELD_ELSEWHERE, HELD_BY_COURIER);
  @TempDir Path folder;
  CourierHarness courier;
  ScriptedCourier other;
  private int submitted;

  @BeforeEach
  void startOtherProcess() throws IOException {
    courier = new CourierHarness(folder);
    courier.operatorPortEnabled = true;
    try (ServerSocket free = new ServerSocket(0)) {
      courier.listenPort = free.getLocalPort();
    }
    courier.firstEndpoint.script(copies::answer);
    other = new ScriptedCourier(folder.resolve("state"), courier.firstEndpoint.address());
  }

  @AfterEach
  void stopProcesses() throws IOException {
    other.close();
    courier.close();
  }

  final double ms(final long ns) {
    return (ns - beganNs) / 1e6;
  }

  final void note(final String what) {
    trace.add(String.format("%.1f ms: %s", ms(System.nanoTime()), what));
  }

  final String traceText() {
    return trace + "; " + other + "; log: " + courier.logLines;
  }

  /** The other process takes the folder, with one message in a call and one in none. */
  final void otherServes(final String messageClass) {
    other.lockFolder();
    otherCalls(messageClass);
  }

  final void otherCalls(final String messageClass) {
    other.accept(WAITING, "safe");
    other.call(HELD, messageClass);
    courier.await("the held call", () -> copies.of(HELD).size() == 1);
    note("the first copy is out");
  }

  /**
   * New messages go through, one after the other, and so has the one that waited; the held one does
   * not come again.
   */
  final void assertNotRepeatedWhileOtherLives(final CourierHarness deciding) throws IOException {
    awaitAtOnce(deciding, WAITING);
    final long untilNs = System.nanoTime() + WATCH_NS;
    for (int sent = 0; sent < WATCH_MESSAGES || System.nanoTime() < untilNs; sent++) {
      final String id = "new-" + submitted++;
      assertEquals(202, deciding.submit(id, "safe").status(), this::traceText);
      awaitAtOnce(deciding, id);
      assertNoRepeat();
    }
    note("looked for a repeat while " + submitted + " new messages went through");
    assertTrue(other.isAlive() && !copies.hasHeldEnded(HELD), this::traceText);
  }

  final void awaitAtOnce(final CourierHarness deciding, final String id) {
    final long fromNs = System.nanoTime();
    deciding.await("delivery of " + id, () -> !copies.of(id).isEmpty());
    final long tookNs = System.nanoTime() - fromNs;
    assertTrue(tookNs < AT_ONCE_NS, () -> id + " took " + tookNs / 1e6 + " ms; " + traceText());
  }

  final void assertNoRepeat() {
    final List<EndpointCopies.Copy> held = copies.of(HELD);
    if (held.size() > 1) {
      throw new AssertionError(
          String.format(
              "a second copy at %.1f ms, while the first one's connection was %s and its process %s: %s",
              ms(held.get(1).receivedNs()),
              held.get(1).heldHasEnded() ? "ended" : "open",
              other.isAlive() ? "lived" : "was gone",
              traceText()));
    }
  }

  /** Kills the other process: what may be repeated comes again, what may not ends by a notice. */
  final void assertRepeatedOnceOtherIsGone(final CourierHarness deciding, final String messageClass)
      throws InterruptedException {
    final long killedNs = System.nanoTime();
    note("kill");
    other.kill();
    note("gone");
    if (messageClass.equals("once")) {
      deciding.await("its notice", () -> courier.hasOutcomeReport(HELD, "undeliverable"));
      assertEquals(1, copies.of(HELD).size(), this::traceText);
      return;
    }
    deciding.await("the second copy", () -> copies.of(HELD).size() == 2);
    final EndpointCopies.Copy repeat = copies.of(HELD).get(1);
    final long tookNs = repeat.receivedNs() - killedNs;
    note(String.format("the second copy came %.1f ms after the kill", tookNs / 1e6));
    assertTrue(repeat.heldHasEnded(), this::traceText);
    assertTrue(tookNs < AT_ONCE_NS, this::traceText);
    assertFalse(courier.hasOutcomeReport(HELD, ""), this::traceText);
  }

  /** Waits until the courier, which had handed over, decides again. */
  final void awaitTakeBack() {
    courier.await("the older process to resume", () -> timesReady(courier) == 2);
    note("the older process decides again");
  }

  static long timesReady(final CourierHarness process) {
    return process.logLines.stream().filter(line -> line.contains("is ready at")).count();
  }

  static CompletableFuture<Void> startInBackground(final CourierHarness starting) {
    return CompletableFuture.runAsync(
        () -> {
          try {
            starting.start();
          } catch (final IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }
}
