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

/** Who held a state folder before, and whether calls of theirs may be in flight. */
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

  /** The number of this process, which started later. */
  private static LockHolder ended(final long sinceUs) {
    return new LockHolder(
        new ProcessIdentity(OWN.pid(), OWN.startTicks() - 1, OWN.bootId(), OWN.pidNamespace()),
        sinceUs);
  }

  /** The parent of this process runs for longer. */
  private static LockHolder running(final long sinceUs) {
    final long pid = ProcessHandle.current().parent().orElseThrow().pid();
    return new LockHolder(RunningProcess.identityOf(pid), sinceUs);
  }

  private static LockHolder elsewhere(final long sinceUs) {
    return new LockHolder(
        new ProcessIdentity(OWN.pid(), OWN.startTicks(), OWN.bootId(), "1"), sinceUs);
  }

  @Test
  void attemptOfProcessThatRuns_isAwaitedWithoutBound() {
    final EarlierProcesses earlier =
        EarlierProcesses.beforeStart(List.of(ended(FIRST_US), running(SECOND_US)));
    assertFalse(earlier.endedAttempts(Long.MAX_VALUE).test(SECOND_US));
  }

  // Guards against holding what a dead process had in flight for as long as another one lives.
  @Test
  void attemptBelongsToTheHolderOfItsTime() {
    final EarlierProcesses earlier =
        EarlierProcesses.beforeTakeBack(
            List.of(running(FIRST_US), own(SECOND_US), ended(THIRD_US)));
    final LongPredicate ended = earlier.endedAttempts(0);
    assertFalse(ended.test(FIRST_US), "its process runs");
    assertFalse(ended.test(SECOND_US - 1), "its process runs");
    assertTrue(ended.test(SECOND_US), "this process knows what it has in flight");
    assertTrue(ended.test(THIRD_US), "its process has ended");
    assertFalse(ended.test(FIRST_US - 1), "the oldest that is known stands for those before");
  }

  @Test
  void attemptOfUnrecordedProcess_isAwaitedForTheGrace() {
    for (final EarlierProcesses earlier :
        List.of(
            EarlierProcesses.beforeStart(List.of()),
            EarlierProcesses.beforeStart(List.of(elsewhere(FIRST_US))),
            EarlierProcesses.beforeHandover(List.of()),
            EarlierProcesses.beforeHandover(List.of(own(FIRST_US))),
            EarlierProcesses.beforeHandover(List.of(ended(FIRST_US))),
            EarlierProcesses.beforeTakeBack(List.of(ended(FIRST_US), own(SECOND_US))))) {
      assertFalse(earlier.endedAttempts(GRACE_US - 1).test(THIRD_US), earlier::toString);
      assertTrue(earlier.endedAttempts(GRACE_US).test(THIRD_US), earlier::toString);
    }
  }

  @Test
  void warmUpHasNoEffect() {
    assertDoesNotThrow(EarlierProcesses::warmUp);
  }

  @Test
  void attemptsOfTheSameProcessBefore_areNotAwaited() {
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
    assertTrue(unlisted.test(SECOND_US), "it would have told");
    assertFalse(unlisted.test(FIRST_US), "an even earlier process runs");
  }

  @Test
  void eachHolderIsRecordedBehindThoseBefore() throws IOException {
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
  void recordKeepsTheLatestHolders() throws IOException {
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

  // Guards against taking the record of an attempt to start that failed for another process's.
  @Test
  void holderIsRecordedOnlyWhenItSaysSo() throws IOException {
    StateLock.tryLock(folder).close();
    try (StateLock lock = StateLock.tryLock(folder)) {
      assertFalse(
          lock.earlierProcesses().endedAttempts(0).test(0), "an earlier version records nothing");
    }
  }
}
