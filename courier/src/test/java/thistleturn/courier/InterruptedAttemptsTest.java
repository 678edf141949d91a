package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import thistleturn.courier.ScriptedCourierProcess.HandoverManner;

/**
 * A message whose attempt an earlier process may still have in flight is held. It is neither lost
 * nor sent twice when the process that holds it ends, hands over or takes back meanwhile, and it
 * ends in time.
 */
@Tag("operators")
@Timeout(120)
final class InterruptedAttemptsTest {
  private static final String HELD = "held";

  /** A message that is handed in after the other process has handed over. */
  private static final String LATER = "later";

  /** For so long the repeat is looked for that must not come. */
  private static final long WATCH_NS = TimeUnit.MILLISECONDS.toNanos(700);

  /** The bound for what is to go on at once. */
  private static final long AT_ONCE_NS = TimeUnit.SECONDS.toNanos(1);

  /** The bound for a repeat; an endpoint that left a call unanswered is avoided for a second. */
  private static final long REPEAT_BOUND_NS = TimeUnit.SECONDS.toNanos(4);

  /** The timeout of the other process's messages, and what an outcome may be late. */
  private static final long ENDED_NS = TimeUnit.MILLISECONDS.toNanos(20_300);

  @TempDir private Path folder;
  private final EndpointCopies copies = new EndpointCopies(HELD);
  private CourierHarness courier;
  private ScriptedCourier other;

  @BeforeEach
  void startOtherProcess() throws IOException {
    courier = new CourierHarness(folder);
    courier.operatorPortEnabled = true;
    try (ServerSocket free = new ServerSocket(0)) {
      courier.listenPort = free.getLocalPort();
    }
    courier.firstEndpoint.script(copies::answer);
    other = new ScriptedCourier(folder.resolve("state"), courier.firstEndpoint.address());
    other.lockFolder();
  }

  @AfterEach
  void stopProcesses() throws IOException {
    other.close();
    courier.close();
  }

  private void otherCalls(final String messageClass) {
    other.call(HELD, messageClass);
    courier.await("the held call", () -> copies.of(HELD).size() == 1);
  }

  private String traceText() {
    return copies.of(HELD) + "; " + other + "; log: " + courier.logLines;
  }

  private void assertHeldWhileOtherLives(final CourierHarness deciding) {
    final long untilNs = System.nanoTime() + WATCH_NS;
    deciding.await("the time to look for a repeat", () -> System.nanoTime() > untilNs);
    assertTrue(other.isAlive());
    assertEquals(1, copies.of(HELD).size(), this::traceText);
    assertFalse(courier.hasOutcomeReport(HELD, ""), this::traceText);
  }

  private void assertRepeatedOnceAfterKill(final CourierHarness deciding)
      throws InterruptedException {
    final long killedNs = System.nanoTime();
    other.kill();
    deciding.await("the second copy", () -> copies.of(HELD).size() == 2);
    assertTrue(
        copies.of(HELD).get(1).receivedNs() - killedNs < REPEAT_BOUND_NS,
        () -> traceText() + "; " + deciding.logLines);
    final long untilNs = System.nanoTime() + WATCH_NS;
    deciding.await("the time to look for a third copy", () -> System.nanoTime() > untilNs);
    assertEquals(2, copies.of(HELD).size(), this::traceText);
    assertFalse(courier.hasOutcomeReport(HELD, ""), this::traceText);
  }

  // Guards against losing or repeating a held message at SIGTERM.
  @Test
  void holderIsTerminated_nextProcessHolds() throws Exception {
    otherCalls("safe");
    other.releaseLock();
    courier.start();
    assertHeldWhileOtherLives(courier);
    assertTrue(courier.terminate().waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
    try (CourierHarness third = courier.successor()) {
      third.start();
      assertHeldWhileOtherLives(third);
      assertRepeatedOnceAfterKill(third);
    }
  }

  // Guards against losing or repeating a message that is held for a killed process's journal, when
  // the holder hands over and then takes back.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void holderHandsOver_andMayTakeBack(final boolean takesBack) throws Exception {
    otherCalls("safe");
    other.releaseLock();
    courier.start();
    assertHandedOverAndHeld(takesBack);
  }

  // The same for an adopted call whose process is out of reach.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void holderOfAdoptedCallHandsOver_andMayTakeBack(final boolean takesBack) throws Exception {
    otherCalls("safe");
    other.listen(HandoverManner.HAND_OVER);
    courier.start();
    other.closeConnection();
    assertHeldWhileOtherLives(courier);
    assertHandedOverAndHeld(takesBack);
  }

  private void assertHandedOverAndHeld(final boolean takesBack) throws Exception {
    try (CourierHarness third = courier.successor()) {
      third.start();
      assertHeldWhileOtherLives(third);
      if (takesBack) {
        third.kill();
        awaitTakenBack();
        assertHeldWhileOtherLives(courier);
      }
      assertRepeatedOnceAfterKill(takesBack ? courier : third);
    }
  }

  private void awaitTakenBack() {
    awaitLogLine("takes up again");
  }

  // Guards against a second copy behind a process of an earlier version, if the first attempt to
  // open the folder records the new process and then fails for what passes.
  @Test
  void startIsRetried_processThatIsNotRecordedHasItsGrace() throws Exception {
    otherCalls("safe");
    other.releaseLock();
    final Path state = folder.resolve("state");
    Files.writeString(state.resolve("lock"), "");
    Files.writeString(state.resolve("shards"), "no number");
    courier.launch();
    awaitLogLine("start_retried");
    Files.delete(state.resolve("shards"));
    awaitLogLine("is ready at");
    assertTrue(
        courier.logLines.stream().anyMatch(line -> line.contains("calls_interrupted")),
        this::traceText);
  }

  private void awaitLogLine(final String text) {
    courier.await(text, () -> courier.logLines.stream().anyMatch(line -> line.contains(text)));
  }

  // Guards against a repeat beyond the time for which a key is remembered.
  @Test
  void keyIsForgottenWhileHeld_messageEndsUnsent() throws Exception {
    otherCalls("brief");
    other.releaseLock();
    courier.start();
    assertHeldWhileOtherLives(courier);
    other.kill();
    courier.await("its notice", () -> courier.hasOutcomeReport(HELD, ""));
    assertEquals(1, copies.of(HELD).size(), this::traceText);
  }

  // Guards against a message that ends late, or never, while an earlier process does not end.
  @ParameterizedTest
  @ValueSource(strings = {"safe", "once"})
  void otherProcessOutlivesDeadline_messageEndsInTime(final String messageClass) throws Exception {
    final long calledNs = System.nanoTime();
    otherCalls(messageClass);
    other.releaseLock();
    courier.start();
    final String status = messageClass.equals("once") ? "undeliverable" : "deferred";
    courier.await(
        "its notice",
        () ->
            courier.hasOutcomeReport(HELD, status) || System.nanoTime() - calledNs > 2 * ENDED_NS);
    assertTrue(System.nanoTime() - calledNs < ENDED_NS, this::traceText);
    assertEquals(1, copies.of(HELD).size(), this::traceText);
    assertEquals(1, courier.outcomeReports.stream().filter(line -> line.contains(HELD)).count());
  }

  // Guards against holding a message of a process that has ended for another one that lives on and
  // handed over before the message was there.
  @Test
  void callOfEndedProcess_doesNotWaitForOlderOneThatLives() throws Exception {
    other.listen(HandoverManner.HAND_OVER);
    courier.start();
    final EndpointCopies later = new EndpointCopies(LATER);
    courier.firstEndpoint.script(later::answer);
    assertEquals(202, courier.submit(LATER, "safe").status());
    courier.await("its call", () -> later.of(LATER).size() == 1);
    courier.kill();
    final long killedNs = System.nanoTime();
    try (CourierHarness third = courier.successor()) {
      third.start();
      final long startedNs = System.nanoTime();
      third.await("the repeat", () -> later.of(LATER).size() == 2);
      assertTrue(other.isAlive());
      assertTrue(
          System.nanoTime() - startedNs < AT_ONCE_NS,
          () ->
              (System.nanoTime() - killedNs) / 1_000_000 + " ms after the kill; " + third.logLines);
    }
  }

  // The same behind a take-back, with none but the product's processes: the oldest of three lives
  // until its operator ends it.
  @Test
  void callOfEndedSuccessor_doesNotWaitForOldestProcessThatLives() throws Exception {
    other.close();
    final EndpointCopies later = new EndpointCopies(LATER);
    courier.firstEndpoint.script(later::answer);
    courier.start();
    try (CourierHarness second = courier.successor();
        CourierHarness third = courier.successor()) {
      second.start();
      third.start();
      assertEquals(202, third.submit(LATER, "safe").status());
      third.await("its call", () -> later.of(LATER).size() == 1);
      third.kill();
      final long killedNs = System.nanoTime();
      second.await(
          "the second process to resume",
          () -> second.logLines.stream().anyMatch(line -> line.contains("takes up again")));
      second.await(
          "the repeat, or a generous bound",
          () -> later.of(LATER).size() == 2 || System.nanoTime() - killedNs > 2 * REPEAT_BOUND_NS);
      assertTrue(courier.isRunning());
      assertEquals(2, later.of(LATER).size(), () -> second.logLines.toString());
    }
  }
}
