package thistleturn.courier.handover;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.courier.runtime.ProcessIdentity;

/** How faults in reading or writing the record of a folder's holders are handled. */
@Tag("operators")
final class HolderRecordFaultsTest {
  private static final ProcessIdentity OWN = ProcessIdentity.current();

  /** Stands for a value that could not be read from the system. */
  private static final String UNREAD = "-";

  @TempDir private Path folder;

  // Guards against a second delivery while a process runs that could not read its own identity,
  // because no descriptor was free: it must not be considered one of an earlier boot, which ended.
  @Test
  void processWithUnreadIdentity_isNotConsideredEnded() {
    final ProcessIdentity unread = new ProcessIdentity(OWN.pid(), 0, UNREAD, UNREAD);
    assertNotEquals(ProcessIdentity.State.ENDED, unread.state());
  }

  // Guards against a courier that cannot start, or cannot take the folder back, because the disk
  // has no room for the record.
  @Test
  void fullDisk_doesNotPreventLocking() throws IOException {
    Files.createSymbolicLink(folder.resolve("lock"), Path.of("/dev/full"));
    try (StateLock lock = StateLock.tryLock(folder)) {
      assertNotNull(lock);
    }
  }
}
