package thistleturn.replicas;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.decisions.replicas.Delta;
import thistleturn.decisions.replicas.Entry;
import thistleturn.decisions.replicas.EntryType;
import thistleturn.decisions.replicas.WriterId;

/**
 * Stored entries are read back, older by the time that passed; truncated and corrupted files are
 * ignored, and a partly written replacement does not affect the previous file.
 */
@Tag("replicas")
final class SnapshotFileTest {
  private static final long SECOND = 1_000_000;
  private static final long WALL = 1_700_000_000L * SECOND;
  private static final long UP = 900 * SECOND;
  private static final WriterId A = new WriterId("a", 3);
  private static final WriterId B = new WriterId("b", 4);

  @TempDir private Path folder;

  private static SnapshotFile.Snapshot snapshot() {
    final long now = 50 * SECOND;
    final Entry disabled =
        new Entry(
            EntryType.MAINTENANCE.code(),
            "e1",
            A,
            2,
            0,
            now - 7 * SECOND,
            List.of(true, "operator at a"));
    final Entry wait =
        new Entry(EntryType.WAIT.code(), "7", A, 5, 60 * SECOND, now - SECOND, List.of());
    return new SnapshotFile.Snapshot(
        9, Map.of(A, 5L, B, 11L), List.of(disabled, wait), now - 2 * SECOND, now, WALL, UP);
  }

  private SnapshotFile.StoredSnapshot read(
      final long wallClockPassedUs, final long uptimePassedUs) {
    return new SnapshotFile(folder, "s")
        .read(SECOND, WALL + wallClockPassedUs, UP + uptimePassedUs);
  }

  @Test
  void storedEntries_ageByElapsedTime() throws IOException {
    final SnapshotFile file = new SnapshotFile(folder, "s");
    file.replace(file.encode(snapshot()));
    final SnapshotFile.StoredSnapshot found = read(10 * SECOND, 10 * SECOND);
    assertEquals(9, found.epoch());
    assertEquals(SECOND - 12 * SECOND, found.lastInSyncUs());
    final Delta first = found.deltas().get(0);
    assertEquals(
        new Delta(
            A,
            0,
            5,
            List.of(
                new Entry(
                    EntryType.MAINTENANCE.code(),
                    "e1",
                    A,
                    2,
                    0,
                    SECOND - 17 * SECOND,
                    List.of(true, "operator at a")),
                new Entry(
                    EntryType.WAIT.code(),
                    "7",
                    A,
                    5,
                    60 * SECOND,
                    SECOND - 11 * SECOND,
                    List.of()))),
        first);
    assertEquals(new Delta(B, 0, 11, List.of()), found.deltas().get(1));
  }

  /**
   * If the wall clock was set an hour forward or back, or the machine was rebooted, the elapsed
   * time is unknown, and entries with a time to live are dropped.
   */
  @Test
  void disagreeingClocks_keepOnlyPermanentEntries() throws IOException {
    final SnapshotFile file = new SnapshotFile(folder, "s");
    file.replace(file.encode(snapshot()));
    for (final long[] passed :
        new long[][] {
          {3600 * SECOND, 10 * SECOND}, {-3600 * SECOND, 10 * SECOND}, {10 * SECOND, -UP + SECOND}
        }) {
      final Delta first = read(passed[0], passed[1]).deltas().get(0);
      assertEquals(1, first.entries().size(), Arrays.toString(passed));
      assertEquals("e1", first.entries().get(0).subject());
    }
  }

  @Test
  void tornOrCorruptedFile_isIgnored() throws IOException {
    final SnapshotFile file = new SnapshotFile(folder, "s");
    assertNull(read(0, 0), "the file does not exist");
    final byte[] bytes = file.encode(snapshot());
    final Path path = folder.resolve("s");
    for (int length = 0; length < bytes.length; length += 3) {
      Files.write(path, Arrays.copyOf(bytes, length));
      assertNull(read(0, 0), "truncated at " + length);
    }
    final Random random = new Random(3);
    for (int round = 0; round < 100; round++) {
      final byte[] changed = bytes.clone();
      changed[random.nextInt(changed.length)] ^= (byte) (1 + random.nextInt(255));
      Files.write(path, changed);
      assertNull(read(0, 0));
    }
    Files.write(path, bytes);
    assertNotNull(read(0, 0));
  }

  /**
   * A kill before the rename leaves the previous file, and a partly written replacement that is
   * never read.
   */
  @Test
  void killDuringWrite_leavesPreviousFile() throws IOException {
    final SnapshotFile file = new SnapshotFile(folder, "s");
    final byte[] bytes = file.encode(snapshot());
    file.replace(bytes);
    for (int length = 0; length <= bytes.length; length += 13) {
      Files.write(folder.resolve("s.new"), Arrays.copyOf(bytes, length));
      assertEquals(9, read(0, 0).epoch());
    }
    file.replace(bytes);
    assertEquals(9, read(0, 0).epoch());
  }
}
