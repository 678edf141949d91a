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
 * The journals of a state folder, one for each shard. One shard has its journal in the folder
 * itself; more have theirs in {@code shards-N/K}. A file {@code shards} names the layout that
 * counts; without it that is one shard. A change of N writes the new journals beside the old ones,
 * then puts the name in place in one step, then deletes the old ones: at every moment exactly one
 * whole layout counts, and what a kill left of another is deleted at the next start.
 */
public final class ShardJournals {
  private static final String MARKER_FILE = "shards";
  private static final String NEXT_MARKER_FILE = "shards.next";
  private static final String SHARD_FOLDER_PREFIX = "shards-";
  private static final String JOURNAL_FILE = "journal";
  private static final int MAX_SHARDS = 64;

  private final Path stateFolder;
  private final long diskBytes;

  private ShardJournals(final Path state, final long diskBytes) {
    this.stateFolder = state;
    this.diskBytes = diskBytes;
  }

  /**
   * Opens the journals for so many shards, after moving what others hold, if there are others.
   *
   * @throws IOException if a file cannot be read or written, or the marker names no layout
   */
  public static List<Journal> open(final Path state, final long diskBytes, final int shards)
      throws IOException {
    final ShardJournals layout = new ShardJournals(state, diskBytes);
    Files.createDirectories(state);
    Files.deleteIfExists(state.resolve(NEXT_MARKER_FILE));
    final int before = layout.recordedShardCount();
    layout.deleteOtherLayouts(before);
    if (before != shards) {
      layout.migrate(before, shards);
    }
    return layout.openAll(shards);
  }

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

  private Path journalFolder(final int shards, final int shard) {
    return shards == 1
        ? stateFolder
        : stateFolder.resolve(SHARD_FOLDER_PREFIX + shards).resolve(Integer.toString(shard));
  }

  private List<Journal> openAll(final int shards) throws IOException {
    final List<Journal> journals = new ArrayList<>();
    try {
      for (int shard = 0; shard < shards; shard++) {
        journals.add(Journal.open(journalFolder(shards, shard), diskBytes / shards));
      }
    } catch (final IOException | RuntimeException e) {
      journals.forEach(Journal::close);
      throw e;
    }
    return journals;
  }

  private void migrate(final int before, final int shards) throws IOException {
    final Map<String, StoredMessage> held = new LinkedHashMap<>();
    for (final Journal journal : openAll(before)) {
      journal.pendingMessages().forEach(one -> held.put(one.id(), one));
      journal.close();
    }
    for (int shard = 0; shard < shards; shard++) {
      final int to = shard;
      Journal.rewrite(
          journalFolder(shards, shard),
          diskBytes / shards,
          held.values().stream()
              .filter(one -> ShardPlacement.shardOf(one.destination(), shards) == to)
              .toList());
    }
    Files.writeString(
        stateFolder.resolve(NEXT_MARKER_FILE), shards + "\n", StandardCharsets.US_ASCII);
    Files.move(
        stateFolder.resolve(NEXT_MARKER_FILE),
        stateFolder.resolve(MARKER_FILE),
        StandardCopyOption.ATOMIC_MOVE);
    Log.info(
        "journals of " + before + " shards moved to " + shards + ": " + held.size() + " messages");
    deleteOtherLayouts(shards);
  }

  /** Deletes what belongs to another layout than the one that counts. */
  private void deleteOtherLayouts(final int shards) throws IOException {
    final List<Path> others;
    try (Stream<Path> files = Files.list(stateFolder)) {
      others =
          files
              .filter(file -> belongsToOtherLayout(file.getFileName().toString(), shards))
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

  private static boolean belongsToOtherLayout(final String name, final int shards) {
    return (name.startsWith(SHARD_FOLDER_PREFIX) && !name.equals(SHARD_FOLDER_PREFIX + shards))
        || (shards > 1 && (name.equals(JOURNAL_FILE) || name.equals(JOURNAL_FILE + ".next")));
  }
}
