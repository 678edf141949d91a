package thistleturn.peers;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import thistleturn.courier.runtime.Log;

/**
 * Stores the highest incarnation that the courier of a state folder has had, so that no incarnation
 * occurs twice when the wall clock is set back.
 */
final class IncarnationFile {
  private static final String FILE_NAME = "peers.incarnation";

  private final Path file;

  IncarnationFile(final Path stateFolder) {
    this.file = stateFolder.resolve(FILE_NAME);
  }

  /**
   * Returns and stores a new incarnation: the wall-clock time, or one above the last if that is
   * higher.
   */
  long next(final long wallClockUs) {
    long last = 0;
    try {
      last = Files.exists(file) ? Long.parseLong(Files.readString(file).strip()) : 0;
    } catch (final IOException | NumberFormatException e) {
      Log.info("peers: " + file + " cannot be used, the clock alone counts: " + e.getMessage());
    }
    final long next = Math.max(wallClockUs, last + 1);
    store(next);
    return next;
  }

  /** Stores an incarnation that was taken since. */
  void store(final long incarnation) {
    try {
      final Path replacement = file.resolveSibling(FILE_NAME + ".new");
      Files.write(replacement, Long.toString(incarnation).getBytes(StandardCharsets.US_ASCII));
      Files.move(replacement, file, StandardCopyOption.ATOMIC_MOVE);
    } catch (final IOException e) {
      // The fleet remembers it as well, and tells a courier that begins below it.
      Log.info("peers: " + file + " cannot be written: " + e.getMessage());
    }
  }
}
