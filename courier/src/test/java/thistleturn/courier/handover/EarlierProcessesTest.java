package thistleturn.courier.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.courier.runtime.ProcessIdentity;

/** Who held a state folder before, and whether calls of theirs may be in flight. */
@Tag("operators")
final class EarlierProcessesTest {
  private static final ProcessIdentity OWN = ProcessIdentity.current();

  /** Its number is given to this process, which started later. */
  private static final ProcessIdentity ENDED =
      new ProcessIdentity(OWN.pid(), OWN.startTicks() - 1, OWN.bootId(), OWN.pidNamespace());

  /** A process that runs for longer than this one: its parent, or the first of the system. */
  private static final ProcessIdentity RUNNING = running();

  private static final ProcessIdentity ELSEWHERE =
      new ProcessIdentity(OWN.pid(), OWN.startTicks(), OWN.bootId(), "1");

  @TempDir private Path folder;

  private static ProcessIdentity running() {
    final long pid = ProcessHandle.current().parent().map(ProcessHandle::pid).orElse(1L);
    try {
      final String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
      final String start = stat.substring(stat.lastIndexOf(')') + 2).split(" ")[19];
      return new ProcessIdentity(pid, Long.parseLong(start), OWN.bootId(), OWN.pidNamespace());
    } catch (final IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void processThatRuns_isAwaitedWithoutBound() {
    final EarlierProcesses earlier = EarlierProcesses.beforeStart(List.of(ENDED, RUNNING));
    assertFalse(earlier.haveEnded(Long.MAX_VALUE));
    assertTrue(EarlierProcesses.beforeStart(List.of(ENDED, OWN)).haveEnded(0));
  }

  @Test
  void processThatIsNotRecorded_isAwaitedForTheGrace() {
    final long graceUs = EarlierProcesses.UNKNOWN_PROCESS_GRACE_US;
    for (final EarlierProcesses earlier :
        List.of(
            EarlierProcesses.beforeStart(List.of()),
            EarlierProcesses.beforeStart(List.of(ELSEWHERE)),
            EarlierProcesses.beforeHandover(List.of()),
            EarlierProcesses.beforeHandover(List.of(ENDED)),
            EarlierProcesses.beforeTakeBack(List.of(ENDED, OWN)))) {
      assertFalse(earlier.haveEnded(graceUs - 1), earlier::toString);
      assertTrue(earlier.haveEnded(graceUs), earlier::toString);
    }
  }

  @Test
  void successorThatHasEnded_isNotAwaited() {
    assertTrue(EarlierProcesses.beforeTakeBack(List.of(OWN, ENDED)).haveEnded(0));
  }

  @Test
  void predecessorThatHandedOver_isAwaitedOnlyForItsOwnCalls() {
    final EarlierProcesses earlier = EarlierProcesses.beforeHandover(List.of(ENDED, RUNNING));
    assertFalse(earlier.haveEnded(Long.MAX_VALUE));
    assertTrue(earlier.withoutPredecessor().haveEnded(0));
  }

  @Test
  void eachHolderIsRecorded_untilItHasEnded() throws IOException {
    Files.writeString(
        folder.resolve("lock"),
        ENDED.toText() + "\nno record\n" + RUNNING.toText() + "\n" + OWN.toText() + "\n");
    try (StateLock lock = StateLock.tryLock(folder)) {
      assertFalse(lock.earlierProcesses().haveEnded(Long.MAX_VALUE));
      lock.recordHolder();
      assertEquals(
          List.of(RUNNING.toText(), OWN.toText()), Files.readAllLines(folder.resolve("lock")));
    }
  }

  @Test
  void firstHolderHasNoRecordBeforeIt() throws IOException {
    try (StateLock lock = StateLock.tryLock(folder)) {
      assertFalse(lock.earlierProcesses().haveEnded(0), "an earlier version records nothing");
      lock.recordHolder();
      assertEquals(List.of(OWN.toText()), Files.readAllLines(folder.resolve("lock")));
    }
  }
}
