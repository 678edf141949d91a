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
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import thistleturn.courier.ScriptedCourierProcess.HandoverManner;
import thistleturn.courier.ScriptedCourierProcess.UnreadableLine;

/**
 * The line to another process of a courier and its lock can end before the connections of its calls
 * do: the system closes the newest descriptor of a killed process first, and the process itself is
 * gone last. Until it is gone nothing is sent again that it may still have out, and all else goes
 * on.
 */
@Tag("operators")
@Timeout(120)
final class ProcessEndTest {
  /** In a call of the other process. */
  private static final String HELD = "held";

  /** In the journal, and in no call. */
  private static final String WAITING = "waiting";

  /** For so long, and so many messages, the repeat is looked for that must not come. */
  private static final long WATCH_NS = TimeUnit.MILLISECONDS.toNanos(1000);

  private static final int WATCH_MESSAGES = 20;

  /** The bound for what is to go on at once: what was in no call, and repeats after the end. */
  private static final long AT_ONCE_NS = TimeUnit.SECONDS.toNanos(1);

  private final long beganNs = System.nanoTime();
  private final List<String> trace = new CopyOnWriteArrayList<>();
  private final EndpointCopies copies = new EndpointCopies(HELD);
  @TempDir private Path folder;
  private CourierHarness courier;
  private ScriptedCourier other;
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

  private double ms(final long ns) {
    return (ns - beganNs) / 1e6;
  }

  private void note(final String what) {
    trace.add(String.format("%.1f ms: %s", ms(System.nanoTime()), what));
  }

  private String traceText() {
    return trace + "; " + other + "; log: " + courier.logLines;
  }

  /** The other process takes the folder, with one message in a call and one in none. */
  private void otherServes(final String messageClass) {
    other.lockFolder();
    otherCalls(messageClass);
  }

  private void otherCalls(final String messageClass) {
    other.accept(WAITING, "safe");
    other.call(HELD, messageClass);
    courier.await("the held call", () -> copies.of(HELD).size() == 1);
    note("the first copy is out");
  }

  /**
   * New messages go through, one after the other, and so has the one that waited; the held one does
   * not come again.
   */
  private void assertNotRepeatedWhileOtherLives(final CourierHarness deciding) throws IOException {
    awaitAtOnce(deciding, WAITING);
    final long untilNs = System.nanoTime() + WATCH_NS;
    for (int sent = 0; sent < WATCH_MESSAGES || System.nanoTime() < untilNs; sent++) {
      final String id = "new-" + submitted++;
      assertEquals(202, deciding.submit(id, "safe").status(), this::traceText);
      awaitAtOnce(deciding, id);
      assertNoRepeat();
    }
    note("looked for a repeat while " + submitted + " new messages went through");
    assertTrue(other.isAlive() && !copies.hasHeldEnded(), this::traceText);
  }

  private void awaitAtOnce(final CourierHarness deciding, final String id) {
    final long fromNs = System.nanoTime();
    deciding.await("delivery of " + id, () -> !copies.of(id).isEmpty());
    final long tookNs = System.nanoTime() - fromNs;
    assertTrue(tookNs < AT_ONCE_NS, () -> id + " took " + tookNs / 1e6 + " ms; " + traceText());
  }

  private void assertNoRepeat() {
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
  private void assertRepeatedOnceOtherIsGone(
      final CourierHarness deciding, final String messageClass) throws InterruptedException {
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

  /** Guards against taking the end of an older process's line for the end of its calls. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void olderProcessLosesItsLine_callIsNotRepeatedBeforeItIsGone(final String messageClass)
      throws Exception {
    otherServes(messageClass);
    other.listen(HandoverManner.HAND_OVER);
    courier.start();
    other.endLine();
    note("the line has ended");
    assertNotRepeatedWhileOtherLives(courier);
    assertRepeatedOnceOtherIsGone(courier, messageClass);
  }

  /** Guards against taking a folder that has become free for the end of its holder's calls. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void startOnFolderJustFreed_callIsNotRepeatedBeforeItsProcessIsGone(final String messageClass)
      throws Exception {
    otherServes(messageClass);
    other.freeLock();
    note("the lock is free");
    courier.start();
    assertNotRepeatedWhileOtherLives(courier);
    assertRepeatedOnceOtherIsGone(courier, messageClass);
  }

  /** Guards against taking an older process that does not hand over for one that is gone. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void olderProcessRefusesAndLosesItsLock_callIsNotRepeatedBeforeItIsGone(final String messageClass)
      throws Exception {
    other.lockFolder();
    other.listen(HandoverManner.REFUSE);
    final CompletableFuture<Void> started = startInBackground(courier);
    other.awaitEvent("asked to hand over", 2);
    otherCalls(messageClass);
    other.freeLock();
    note("the lock is free");
    started.get(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS);
    assertNotRepeatedWhileOtherLives(courier);
    assertRepeatedOnceOtherIsGone(courier, messageClass);
  }

  /** Guards against the same where the older process is killed while it hands over. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void lineEndsWithinSnapshot_callIsNotRepeatedBeforeOlderProcessIsGone(final String messageClass)
      throws Exception {
    otherServes(messageClass);
    other.listen(HandoverManner.DROP_WITHIN_SNAPSHOT);
    courier.start();
    note("the newer process is ready");
    assertEquals(1, other.count("asked to hand over"), this::traceText);
    assertNotRepeatedWhileOtherLives(courier);
    assertRepeatedOnceOtherIsGone(courier, messageClass);
  }

  private static CompletableFuture<Void> startInBackground(final CourierHarness starting) {
    return CompletableFuture.runAsync(
        () -> {
          try {
            starting.start();
          } catch (final IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }

  /** Guards against taking the end of a newer process's line and lock for the end of its calls. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void newerProcessLosesLineAndLock_callIsNotRepeatedBeforeItIsGone(final String messageClass)
      throws Exception {
    courier.start();
    other.takeOver();
    otherCalls(messageClass);
    other.endLine();
    note("the line has ended");
    other.freeLock();
    note("the lock is free");
    courier.await(
        "the older process to resume",
        () -> courier.logLines.stream().filter(line -> line.contains("is ready at")).count() == 2);
    note("the older process decides again");
    assertNotRepeatedWhileOtherLives(courier);
    assertRepeatedOnceOtherIsGone(courier, messageClass);
  }

  /** Guards against forgetting the oldest of three processes once the one between is gone. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void successorIsKilled_thirdProcessDoesNotRepeatCallOfTheFirst(final String messageClass)
      throws Exception {
    otherServes(messageClass);
    other.listen(HandoverManner.HAND_OVER);
    courier.start();
    awaitAtOnce(courier, WAITING);
    courier.kill();
    note("the second process is gone");
    try (CourierHarness third = courier.successor()) {
      third.start();
      assertNotRepeatedWhileOtherLives(third);
      assertRepeatedOnceOtherIsGone(third, messageClass);
    }
  }

  /** Guards against the same where the one between has handed over before it is killed. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "keyed", "once"})
  void secondOfThreeIsKilled_thirdProcessDoesNotRepeatCallOfTheFirst(final String messageClass)
      throws Exception {
    otherServes(messageClass);
    other.listen(HandoverManner.HAND_OVER);
    courier.start();
    try (CourierHarness third = courier.successor()) {
      third.start();
      courier.kill();
      note("the second process is gone");
      assertNotRepeatedWhileOtherLives(third);
      assertRepeatedOnceOtherIsGone(third, messageClass);
    }
  }

  /** Guards against taking a line that cannot be read for the end of the process that sent it. */
  @ParameterizedTest
  @EnumSource(UnreadableLine.class)
  void unreadableLineFromOlderProcess_oneDecidesAndCallIsNotRepeated(final UnreadableLine kind)
      throws Exception {
    otherServes("safe");
    other.listen(HandoverManner.HAND_OVER);
    courier.start();
    other.sendUnreadable(kind);
    other.awaitEvent("successor gone", 1);
    note("the line has ended");
    other.assertLockedByOther();
    assertNotRepeatedWhileOtherLives(courier);
    other.assertLockedByOther();
    assertRepeatedOnceOtherIsGone(courier, "safe");
  }
}
