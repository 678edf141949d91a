package thistleturn.peers;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import thistleturn.courier.runtime.Log;

/**
 * Stores the highest incarnation of the courier that owns a state folder, so that no incarnation is
 * used twice when the wall clock is set back.
 */
final class IncarnationFile {
  private static final String FILE_NAME = "peers.incarnation";

  private final Path file;

  IncarnationFile(final Path stateFolder) {
    this.file = stateFolder.resolve(FILE_NAME);
  }

  /**
   * Returns and stores a new incarnation: the wall-clock time in microseconds, or the last
   * incarnation plus one if that is higher.
   */
  long next(final long wallClockUs) {
    long last = 0;
    try {
      last = Files.exists(file) ? Long.parseLong(Files.readString(file).strip()) : 0;
    } catch (final IOException | NumberFormatException e) {
      Log.info(
          "peers: "
              + file
              + " cannot be used, so the incarnation is taken from the clock alone: "
              + e.getMessage());
    }
    final long next = Math.max(wallClockUs, last + 1);
    store(next);
    return next;
  }

  /** Stores an incarnation that was started since. */
  void store(final long incarnation) {
    try {
      final Path replacement = file.resolveSibling(FILE_NAME + ".new");
      Files.write(replacement, Long.toString(incarnation).getBytes(StandardCharsets.US_ASCII));
      Files.move(replacement, file, StandardCopyOption.ATOMIC_MOVE);
    } catch (final IOException e) {
      // The fleet also keeps the incarnation, and notifies a courier that starts with a lower one.
      Log.info("peers: " + file + " cannot be written: " + e.getMessage());
    }
  }
}
