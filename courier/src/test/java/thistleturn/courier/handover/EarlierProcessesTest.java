package thistleturn.courier.handover;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.LongPredicate;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.courier.runtime.ProcessIdentity;
import thistleturn.courier.runtime.RunningProcess;

/** Which processes held a state folder before, and whether their calls may still be in flight. */
@Tag("operators")
final class EarlierProcessesTest {
  private static final ProcessIdentity OWN = ProcessIdentity.current();
  private static final long GRACE_US = EarlierProcesses.UNKNOWN_PROCESS_GRACE_US;

  /** Holders take the lock at these times. */
  private static final long FIRST_US = 1000;

  private static final long SECOND_US = 2000;
  private static final long THIRD_US = 3000;

  @TempDir private Path folder;

  private static LockHolder own(final long sinceUs) {
    return new LockHolder(OWN, sinceUs);
  }

  /** A process that had the process id of this one and started earlier: it has ended. */
  private static LockHolder ended(final long sinceUs) {
    return new LockHolder(
        new ProcessIdentity(OWN.pid(), OWN.startTicks() - 1, OWN.bootId(), OWN.pidNamespace()),
        sinceUs);
  }

  /** The parent of this process, which runs for as long as the test does. */
  private static LockHolder running(final long sinceUs) {
    final long pid = ProcessHandle.current().parent().orElseThrow().pid();
    return new LockHolder(RunningProcess.identityOf(pid), sinceUs);
  }

  /** A process in another pid namespace, whose state is unknown here. */
  private static LockHolder inOtherNamespace(final long sinceUs) {
    return new LockHolder(
        new ProcessIdentity(OWN.pid(), OWN.startTicks(), OWN.bootId(), "1"), sinceUs);
  }

  @Test
  void attemptOfRunningProcess_isAwaitedWithoutLimit() {
    final EarlierProcesses earlier =
        EarlierProcesses.beforeStart(List.of(ended(FIRST_US), running(SECOND_US)));
    assertFalse(earlier.endedAttempts(Long.MAX_VALUE).test(SECOND_US));
  }

  // Guards against awaiting the attempts of an ended process for as long as another one runs.
  @Test
  void attempt_belongsToTheHolderAtItsStart() {
    final EarlierProcesses earlier =
        EarlierProcesses.beforeTakeBack(
            List.of(running(FIRST_US), own(SECOND_US), ended(THIRD_US)));
    final LongPredicate ended = earlier.endedAttempts(0);
    assertFalse(ended.test(FIRST_US), "its process runs");
    assertFalse(ended.test(SECOND_US - 1), "its process runs");
    assertTrue(ended.test(SECOND_US), "this process knows what it has in flight");
    assertTrue(ended.test(THIRD_US), "its process has ended");
    assertFalse(ended.test(FIRST_US - 1), "the oldest known process stands for those before");
  }

  @Test
  void attemptOfUnrecordedProcess_isAwaitedForTheGracePeriod() {
    for (final EarlierProcesses earlier :
        List.of(
            EarlierProcesses.beforeStart(List.of()),
            EarlierProcesses.beforeStart(List.of(inOtherNamespace(FIRST_US))),
            EarlierProcesses.beforeHandover(List.of()),
            EarlierProcesses.beforeHandover(List.of(own(FIRST_US))),
            EarlierProcesses.beforeHandover(List.of(ended(FIRST_US))),
            EarlierProcesses.beforeTakeBack(List.of(ended(FIRST_US), own(SECOND_US))))) {
      assertFalse(earlier.endedAttempts(GRACE_US - 1).test(THIRD_US), earlier::toString);
      assertTrue(earlier.endedAttempts(GRACE_US).test(THIRD_US), earlier::toString);
    }
  }

  @Test
  void warmUp_hasNoEffect() {
    assertDoesNotThrow(EarlierProcesses::warmUp);
  }

  @Test
  void ownEarlierAttempts_areNotAwaited() {
    final EarlierProcesses earlier =
        EarlierProcesses.beforeStart(List.of(ended(FIRST_US), own(SECOND_US)));
    assertTrue(earlier.endedAttempts(0).test(SECOND_US));
  }

  @Test
  void predecessorThatHandedOver_isAwaitedOnlyForItsOwnCalls() {
    final EarlierProcesses earlier =
        EarlierProcesses.beforeHandover(List.of(running(FIRST_US), running(SECOND_US)));
    assertFalse(earlier.endedAttempts(Long.MAX_VALUE).test(SECOND_US));
    final LongPredicate unlisted = earlier.withoutPredecessor().endedAttempts(0);
    assertTrue(unlisted.test(SECOND_US), "the predecessor would have reported it");
    assertFalse(unlisted.test(FIRST_US), "an even earlier process runs");
  }

  @Test
  void newHolder_isRecordedAfterEarlierOnes() throws IOException {
    Files.writeString(
        folder.resolve("lock"),
        ended(FIRST_US).toText() + "\nno record\n" + running(SECOND_US).toText() + "\n");
    try (StateLock lock = StateLock.tryLock(folder)) {
      assertFalse(lock.earlierProcesses().endedAttempts(Long.MAX_VALUE).test(SECOND_US));
      lock.recordHolder();
    }
    final List<String> record = Files.readAllLines(folder.resolve("lock"));
    assertEquals(
        List.of(ended(FIRST_US).toText(), running(SECOND_US).toText()), record.subList(0, 2));
    assertTrue(record.get(2).endsWith(" " + OWN.toText()), record::toString);
    assertEquals(3, record.size());
  }

  @Test
  void fullRecord_keepsTheLatestHolders() throws IOException {
    final StringBuilder text = new StringBuilder();
    for (int holder = 0; holder < 40; holder++) {
      text.append(ended(holder).toText()).append('\n');
    }
    Files.writeString(folder.resolve("lock"), text);
    try (StateLock lock = StateLock.tryLock(folder)) {
      lock.recordHolder();
    }
    final List<String> record = Files.readAllLines(folder.resolve("lock"));
    assertEquals(16, record.size());
    assertEquals(ended(25).toText(), record.get(0));
  }

  // Guards against locking alone recording a holder: the record of an attempt to start that failed
  // would be taken for that of another process, such as one of an earlier version.
  @Test
  void lockWithoutRecordHolder_leavesHolderUnrecorded() throws IOException {
    StateLock.tryLock(folder).close();
    try (StateLock lock = StateLock.tryLock(folder)) {
      assertFalse(
          lock.earlierProcesses().endedAttempts(0).test(0),
          "the previous holder is not recorded, like one of an earlier version");
    }
  }
}
