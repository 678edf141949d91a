package thistleturn.courier.shard;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import thistleturn.courier.journal.Journal;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.shards.ShardPlacement;

/**
 * The journals of a state folder, one for each shard.
 *
 * <p>A single shard has its journal in the folder itself; several have theirs in {@code
 * shards-N/K}. The marker file {@code shards} names the layout that is valid; without it that is
 * one shard. A change of N writes the new journals beside the old ones, then replaces the marker
 * atomically, then deletes the old ones: at every moment exactly one complete layout is valid, and
 * remains of another one, after a kill, are deleted at the next start.
 */
public final class ShardJournals {
  private static final String MARKER_FILE = "shards";
  private static final String NEXT_MARKER_FILE = "shards.next";
  private static final String SHARD_FOLDER_PREFIX = "shards-";
  private static final String JOURNAL_FILE = "journal";
  private static final int MAX_SHARDS = 64;

  private final Path stateFolder;
  private final long diskBytes;

  private ShardJournals(final Path stateFolder, final long diskBytes) {
    this.stateFolder = stateFolder;
    this.diskBytes = diskBytes;
  }

  /**
   * Opens the journals for {@code shardCount} shards, after moving the messages of another layout
   * to them if there is one.
   *
   * @throws IOException if a file cannot be read or written, or the marker is malformed
   */
  public static List<Journal> open(
      final Path stateFolder, final long diskBytes, final int shardCount) throws IOException {
    final ShardJournals journals = new ShardJournals(stateFolder, diskBytes);
    Files.createDirectories(stateFolder);
    Files.deleteIfExists(stateFolder.resolve(NEXT_MARKER_FILE));
    final int recordedShardCount = journals.recordedShardCount();
    journals.deleteOtherLayouts(recordedShardCount);
    if (recordedShardCount != shardCount) {
      journals.migrate(recordedShardCount, shardCount);
    }
    return journals.openAll(shardCount);
  }

  /** Returns the number of shards of the layout that is valid. */
  private int recordedShardCount() throws IOException {
    final Path marker = stateFolder.resolve(MARKER_FILE);
    if (!Files.exists(marker)) {
      return 1;
    }
    final String text = Files.readString(marker).trim();
    if (text.matches("\\d{1,2}")
        && Integer.parseInt(text) >= 1
        && Integer.parseInt(text) <= MAX_SHARDS) {
      return Integer.parseInt(text);
    }
    throw new IOException(
        marker + ": \"" + text + "\": expected a number of shards from 1 to " + MAX_SHARDS);
  }

  private Path journalFolder(final int shardCount, final int shard) {
    return shardCount == 1
        ? stateFolder
        : stateFolder.resolve(SHARD_FOLDER_PREFIX + shardCount).resolve(Integer.toString(shard));
  }

  private List<Journal> openAll(final int shardCount) throws IOException {
    final List<Journal> journals = new ArrayList<>();
    try {
      for (int shard = 0; shard < shardCount; shard++) {
        journals.add(Journal.open(journalFolder(shardCount, shard), diskBytes / shardCount));
      }
    } catch (final IOException | RuntimeException e) {
      journals.forEach(Journal::close);
      throw e;
    }
    return journals;
  }

  private void migrate(final int previousShardCount, final int shardCount) throws IOException {
    final Map<String, StoredMessage> messages = new LinkedHashMap<>();
    for (final Journal journal : openAll(previousShardCount)) {
      journal.pendingMessages().forEach(message -> messages.put(message.id(), message));
      journal.close();
    }
    for (int shard = 0; shard < shardCount; shard++) {
      final int targetShard = shard;
      Journal.rewrite(
          journalFolder(shardCount, shard),
          diskBytes / shardCount,
          messages.values().stream()
              .filter(
                  message ->
                      ShardPlacement.shardOf(message.destination(), shardCount) == targetShard)
              .toList());
    }
    Files.writeString(
        stateFolder.resolve(NEXT_MARKER_FILE), shardCount + "\n", StandardCharsets.US_ASCII);
    Files.move(
        stateFolder.resolve(NEXT_MARKER_FILE),
        stateFolder.resolve(MARKER_FILE),
        StandardCopyOption.ATOMIC_MOVE);
    Log.info(
        "journals of "
            + previousShardCount
            + " shards moved to "
            + shardCount
            + ": "
            + messages.size()
            + " messages");
    deleteOtherLayouts(shardCount);
  }

  /** Deletes the files of other layouts than the valid one. */
  private void deleteOtherLayouts(final int shardCount) throws IOException {
    final List<Path> others;
    try (Stream<Path> files = Files.list(stateFolder)) {
      others =
          files
              .filter(file -> belongsToOtherLayout(file.getFileName().toString(), shardCount))
              .toList();
    }
    for (final Path other : others) {
      try (Stream<Path> files = Files.walk(other)) {
        for (final Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(file);
        }
      }
    }
  }

  private static boolean belongsToOtherLayout(final String name, final int shardCount) {
    return (name.startsWith(SHARD_FOLDER_PREFIX) && !name.equals(SHARD_FOLDER_PREFIX + shardCount))
        || (shardCount > 1 && (name.equals(JOURNAL_FILE) || name.equals(JOURNAL_FILE + ".next")));
  }
}
