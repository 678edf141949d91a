package thistleturn.courier.handover;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.courier.runtime.ProcessIdentity;

/** What the record of a folder's holders tells after something went wrong with it. */
@Tag("operators")
final class HolderRecordFaultsTest {
  private static final ProcessIdentity OWN = ProcessIdentity.current();

  /** Stands for what the system did not tell when the identity was read. */
  private static final String NOT_TOLD = "-";

  @TempDir private Path folder;

  // Guards against a second copy behind a process that could not read its own identity (no
  // descriptor was free): it runs, and must not be taken for one of an earlier boot.
  @Test
  void processThatCouldNotReadItsIdentity_isNotTakenForEnded() {
    final ProcessIdentity unread = new ProcessIdentity(OWN.pid(), 0, NOT_TOLD, NOT_TOLD);
    assertNotEquals(ProcessIdentity.State.ENDED, unread.state());
  }

  // Guards against a second copy behind a process of an earlier version, if the first attempt to
  // open the folder recorded this process and then failed for what passes.
  @Test
  void ownRecordOfAnAttemptBefore_doesNotNameTheProcessBefore() throws IOException {
    try (StateLock first = StateLock.tryLock(folder)) {
      assertFalse(first.earlierProcesses().haveEnded(0), "nobody recorded itself");
    }
    try (StateLock second = StateLock.tryLock(folder)) {
      assertFalse(second.earlierProcesses().haveEnded(0), "start");
    }
  }

  // The same for a process that takes over: its second attempt finds its own record alone.
  @Test
  void ownRecordOfAnAttemptBefore_isNotThePredecessor() {
    assertFalse(EarlierProcesses.beforeHandover(List.of(OWN)).haveEnded(0));
  }

  // Guards against a courier that does not start, or does not take back, for want of a few bytes.
  @Test
  void fullDisk_doesNotKeepTheFolderFromBeingLocked() throws IOException {
    Files.createSymbolicLink(folder.resolve("lock"), Path.of("/dev/full"));
    try (StateLock lock = StateLock.tryLock(folder)) {
      assertNotNull(lock);
    }
  }
}
