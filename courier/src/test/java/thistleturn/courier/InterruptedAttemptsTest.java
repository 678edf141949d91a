package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
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
import thistleturn.testkit.FreePorts;

/**
 * A message is held while an earlier process may still have its attempt in flight. It is neither
 * lost nor sent twice if the holding process ends, hands over or resumes after a failed takeover,
 * and it gets its final outcome in time.
 */
@Tag("operators")
@Timeout(120)
final class InterruptedAttemptsTest {
  private static final String HELD = "held";

  /** A message that is submitted after the other process has handed over. */
  private static final String LATER = "later";

  /** How long the test checks that no further copy is sent. */
  private static final long NO_COPY_NS = TimeUnit.MILLISECONDS.toNanos(700);

  /** The bound for a repeat that must not be delayed. */
  private static final long AT_ONCE_NS = TimeUnit.SECONDS.toNanos(1);

  /** The bound for a repeat; an endpoint that did not answer a call is avoided for a second. */
  private static final long REPEAT_BOUND_NS = TimeUnit.SECONDS.toNanos(4);

  /** The timeout of the other process's messages, plus the tolerated delay of an outcome. */
  private static final long OUTCOME_BOUND_NS = TimeUnit.MILLISECONDS.toNanos(20_300);

  @TempDir private Path folder;
  private final EndpointCopies copies = new EndpointCopies(HELD);
  private CourierHarness courier;
  private ScriptedCourier other;

  @BeforeEach
  void startOtherProcess() throws IOException {
    courier = new CourierHarness(folder);
    courier.operatorPortEnabled = true;
    courier.listenPort = FreePorts.next();
    courier.firstEndpoint.script(copies::answer);
    other = new ScriptedCourier(folder.resolve("state"), courier.firstEndpoint.address());
    other.lockFolder();
  }

  @AfterEach
  void stopProcesses() throws IOException {
    other.close();
    courier.close();
  }

  private void startCallByOther(final String messageClass) {
    other.call(HELD, messageClass);
    courier.await("the held call", () -> copies.of(HELD).size() == 1);
  }

  private String traceText() {
    return copies.of(HELD) + "; " + other + "; log: " + courier.logLines;
  }

  private void assertHeldWhileOtherRuns(final CourierHarness deciding) {
    final long untilNs = System.nanoTime() + NO_COPY_NS;
    deciding.await("the end of the check for a repeat", () -> System.nanoTime() > untilNs);
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
    final long untilNs = System.nanoTime() + NO_COPY_NS;
    deciding.await("the end of the check for a third copy", () -> System.nanoTime() > untilNs);
    assertEquals(2, copies.of(HELD).size(), this::traceText);
    assertFalse(courier.hasOutcomeReport(HELD, ""), this::traceText);
  }

  // Guards against losing or repeating a held message at SIGTERM.
  @Test
  void holderIsTerminated_nextProcessHolds() throws Exception {
    startCallByOther("safe");
    other.releaseLock();
    courier.start();
    assertHeldWhileOtherRuns(courier);
    assertTrue(courier.terminate().waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
    try (CourierHarness third = courier.successor()) {
      third.start();
      assertHeldWhileOtherRuns(third);
      assertRepeatedOnceAfterKill(third);
    }
  }

  // Guards against losing or repeating a message from a killed process's journal when the holding
  // process hands over and then resumes because its successor was killed.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void holderHandsOver_andMayResume(final boolean resumes) throws Exception {
    startCallByOther("safe");
    other.releaseLock();
    courier.start();
    assertHeldAfterHandover(resumes);
  }

  // The same for a call taken over from a process whose handover connection is lost.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void holderOfAdoptedCallHandsOver_andMayResume(final boolean resumes) throws Exception {
    startCallByOther("safe");
    other.listen(HandoverManner.HAND_OVER);
    courier.start();
    other.closeConnection();
    assertHeldWhileOtherRuns(courier);
    assertHeldAfterHandover(resumes);
  }

  private void assertHeldAfterHandover(final boolean resumes) throws Exception {
    try (CourierHarness third = courier.successor()) {
      third.start();
      assertHeldWhileOtherRuns(third);
      if (resumes) {
        third.kill();
        awaitResumed();
        assertHeldWhileOtherRuns(courier);
      }
      assertRepeatedOnceAfterKill(resumes ? courier : third);
    }
  }

  private void awaitResumed() {
    awaitLogLine("takes up again");
  }

  // Guards against a second copy while a process of an earlier version, which records no holder,
  // may still have a call in flight. The first attempt to open the folder records the new process
  // and then fails with a transient failure; the retry must still grant the grace period.
  @Test
  void startIsRetried_unrecordedProcessKeepsItsGracePeriod() throws Exception {
    startCallByOther("safe");
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

  // Guards against a repeat after the end of the idempotency window of a key.
  @Test
  void idempotencyWindowEndsWhileHeld_messageEndsUnsent() throws Exception {
    startCallByOther("brief");
    other.releaseLock();
    courier.start();
    assertHeldWhileOtherRuns(courier);
    other.kill();
    courier.await("the outcome report", () -> courier.hasOutcomeReport(HELD, ""));
    assertEquals(1, copies.of(HELD).size(), this::traceText);
  }

  // Guards against a message that gets its outcome late or never while an earlier process runs.
  @ParameterizedTest
  @ValueSource(strings = {"safe", "once"})
  void otherProcessOutlivesDeadline_messageEndsInTime(final String messageClass) throws Exception {
    final long calledNs = System.nanoTime();
    startCallByOther(messageClass);
    other.releaseLock();
    courier.start();
    final String status = messageClass.equals("once") ? "undeliverable" : "deferred";
    courier.await(
        "the outcome report",
        () ->
            courier.hasOutcomeReport(HELD, status)
                || System.nanoTime() - calledNs > 2 * OUTCOME_BOUND_NS);
    assertTrue(System.nanoTime() - calledNs < OUTCOME_BOUND_NS, this::traceText);
    assertEquals(1, copies.of(HELD).size(), this::traceText);
    assertEquals(1, courier.outcomeReports.stream().filter(line -> line.contains(HELD)).count());
  }

  // Guards against holding a message of an ended process because of another process that still runs
  // but handed over before the message was accepted.
  @Test
  void callOfEndedProcess_doesNotWaitForOlderRunningProcess() throws Exception {
    other.listen(HandoverManner.HAND_OVER);
    courier.start();
    final EndpointCopies later = new EndpointCopies(LATER);
    courier.firstEndpoint.script(later::answer);
    assertEquals(202, courier.submit(LATER, "safe").status());
    courier.await("the call", () -> later.of(LATER).size() == 1);
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

  // The same after a failed takeover, with real courier processes only: the oldest of the three
  // runs until the test ends it.
  @Test
  void callOfEndedSuccessor_doesNotWaitForOldestRunningProcess() throws Exception {
    other.close();
    final EndpointCopies later = new EndpointCopies(LATER);
    courier.firstEndpoint.script(later::answer);
    courier.start();
    try (CourierHarness second = courier.successor();
        CourierHarness third = courier.successor()) {
      second.start();
      third.start();
      assertEquals(202, third.submit(LATER, "safe").status());
      third.await("the call", () -> later.of(LATER).size() == 1);
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
