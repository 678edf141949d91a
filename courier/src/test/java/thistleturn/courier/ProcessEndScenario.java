package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.testkit.FreePorts;

/**
 * A courier process beside another process of the same courier that closes its connection, releases
 * its lock and exits in separate steps, and an endpoint that does not respond to the first copy of
 * certain messages.
 */
abstract class ProcessEndScenario {
  /** The message in a call of the other process. */
  static final String HELD = "held";

  /** The message in another call of the other process. */
  static final String HELD_ELSEWHERE = "held-elsewhere";

  /** The message in a call of the courier. */
  static final String HELD_BY_COURIER = "held-by-courier";

  /** The message that is in the journal but in no call. */
  static final String WAITING = "waiting";

  /** How long, and over how many messages, a forbidden repeat is watched for. */
  static final long OBSERVATION_NS = TimeUnit.MILLISECONDS.toNanos(1000);

  private static final int OBSERVATION_MESSAGES = 20;

  /** The limit for messages that were in no call, and for repeats after the process has exited. */
  static final long PROMPT_LIMIT_NS = TimeUnit.SECONDS.toNanos(1);

  private final long startNs = System.nanoTime();
  private final List<String> events = new CopyOnWriteArrayList<>();
  final EndpointCopies copies = new EndpointCopies(HELD, HELD_ELSEWHERE, HELD_BY_COURIER);
  @TempDir Path folder;
  CourierHarness courier;
  ScriptedCourier other;
  private int submitted;

  @BeforeEach
  void startOtherProcess() throws IOException {
    courier = new CourierHarness(folder);
    courier.operatorPortEnabled = true;
    courier.listenPort = FreePorts.next();
    courier.firstEndpoint.script(copies::answer);
    other = new ScriptedCourier(folder.resolve("state"), courier.firstEndpoint.address());
  }

  @AfterEach
  void stopProcesses() throws IOException {
    other.close();
    courier.close();
  }

  final double msSinceStart(final long ns) {
    return (ns - startNs) / 1e6;
  }

  final void recordEvent(final String what) {
    events.add(String.format("%.1f ms: %s", msSinceStart(System.nanoTime()), what));
  }

  final String traceText() {
    return events + "; " + other + "; log: " + courier.logLines;
  }

  /** The other process locks the folder, with one message in a call and one in none. */
  final void startOtherWithCall(final String messageClass) {
    other.lockFolder();
    callFromOther(messageClass);
  }

  final void callFromOther(final String messageClass) {
    other.accept(WAITING, "safe");
    other.call(HELD, messageClass);
    courier.await("the held call", () -> copies.of(HELD).size() == 1);
    recordEvent("the first copy was received");
  }

  /**
   * Checks that the waiting message and new ones are delivered promptly while the message in the
   * other process's call is not sent again.
   */
  final void assertNotRepeatedWhileOtherRuns(final CourierHarness activeCourier)
      throws IOException {
    awaitPromptDelivery(activeCourier, WAITING);
    final long untilNs = System.nanoTime() + OBSERVATION_NS;
    for (int sent = 0; sent < OBSERVATION_MESSAGES || System.nanoTime() < untilNs; sent++) {
      final String id = "new-" + submitted++;
      assertEquals(202, activeCourier.submit(id, "safe").status(), this::traceText);
      awaitPromptDelivery(activeCourier, id);
      assertNoRepeat();
    }
    recordEvent("no repeat while " + submitted + " new messages were delivered");
    assertTrue(other.isAlive() && !copies.hasHeldEnded(HELD), this::traceText);
  }

  final void awaitPromptDelivery(final CourierHarness activeCourier, final String id) {
    final long fromNs = System.nanoTime();
    activeCourier.await("delivery of " + id, () -> !copies.of(id).isEmpty());
    final long tookNs = System.nanoTime() - fromNs;
    assertTrue(
        tookNs < PROMPT_LIMIT_NS, () -> id + " took " + tookNs / 1e6 + " ms; " + traceText());
  }

  final void assertNoRepeat() {
    final List<EndpointCopies.Copy> held = copies.of(HELD);
    if (held.size() > 1) {
      throw new AssertionError(
          String.format(
              "a second copy at %.1f ms, while the first one's connection was %s and its process %s: %s",
              msSinceStart(held.get(1).receivedNs()),
              held.get(1).heldHasEnded() ? "ended" : "open",
              other.isAlive() ? "was running" : "had exited",
              traceText()));
    }
  }

  /**
   * Kills the other process, and checks that its message is then sent again, or is reported as
   * undeliverable if it is non-idempotent.
   */
  final void assertRepeatedAfterOtherIsKilled(
      final CourierHarness activeCourier, final String messageClass) throws InterruptedException {
    final long killedNs = System.nanoTime();
    recordEvent("kill");
    other.kill();
    recordEvent("exited");
    if (messageClass.equals("once")) {
      activeCourier.await(
          "the outcome report", () -> courier.hasOutcomeReport(HELD, "undeliverable"));
      assertEquals(1, copies.of(HELD).size(), this::traceText);
      return;
    }
    activeCourier.await("the second copy", () -> copies.of(HELD).size() == 2);
    final EndpointCopies.Copy repeat = copies.of(HELD).get(1);
    final long tookNs = repeat.receivedNs() - killedNs;
    recordEvent(String.format("the second copy arrived %.1f ms after the kill", tookNs / 1e6));
    assertTrue(repeat.heldHasEnded(), this::traceText);
    assertTrue(tookNs < PROMPT_LIMIT_NS, this::traceText);
    assertFalse(courier.hasOutcomeReport(HELD, ""), this::traceText);
  }

  /** Waits until the courier, which had handed over, serves again. */
  final void awaitResumed() {
    courier.await("the older process to resume", () -> timesReady(courier) == 2);
    recordEvent("the older process serves again");
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
