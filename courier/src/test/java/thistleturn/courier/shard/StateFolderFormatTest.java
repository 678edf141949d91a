package thistleturn.courier.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.courier.journal.Journal;

/**
 * Pins the names of the journals in the state folder, and the text of the file that records their
 * number.
 */
final class StateFolderFormatTest {
  private static final long DISK_BYTES = 1_000_000;

  @TempDir private Path folder;

  private void open(final int shards) throws IOException {
    ShardJournals.open(folder, DISK_BYTES, shards).forEach(Journal::close);
  }

  private List<String> files() throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      return files
          .filter(Files::isRegularFile)
          .map(file -> folder.relativize(file).toString())
          .sorted()
          .toList();
    }
  }

  @Test
  void oneShard_hasJournalInStateFolder() throws IOException {
    open(1);
    assertEquals(List.of("journal"), files());
  }

  @Test
  void severalShards_haveJournalsInNumberedFolders() throws IOException {
    open(2);
    assertEquals(List.of("shards", "shards-2/0/journal", "shards-2/1/journal"), files());
    assertEquals("2\n", Files.readString(folder.resolve("shards")));
  }

  @Test
  void fileWithNumberOfShards_isReadBack() throws IOException {
    Files.writeString(folder.resolve("shards"), "3\n");
    open(1);
    assertTrue(Files.exists(folder.resolve("journal")));
    assertEquals("1\n", Files.readString(folder.resolve("shards")));
    assertFalse(Files.exists(folder.resolve("shards-3")));
  }
}
