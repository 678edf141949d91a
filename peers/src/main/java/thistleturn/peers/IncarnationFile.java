package thistleturn.peers;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import thistleturn.courier.runtime.Log;

/**
 * The highest incarnation that this folder's courier had, so that a clock that steps back gives
 * none again.
 */
final class IncarnationFile {
  private static final String FILE_NAME = "peers.incarnation";

  private final Path file;

  IncarnationFile(final Path folder) {
    this.file = folder.resolve(FILE_NAME);
  }

  /** A further one: that of the wall clock, or one above the last if the clock is behind it. */
  long next(final long wallUs) {
    long last = 0;
    try {
      last = Files.exists(file) ? Long.parseLong(Files.readString(file).strip()) : 0;
    } catch (final IOException | NumberFormatException e) {
      Log.info("peers: " + file + " cannot be used, the clock alone counts: " + e.getMessage());
    }
    final long next = Math.max(wallUs, last + 1);
    store(next);
    return next;
  }

  /** Keeps one that was taken since. */
  void store(final long incarnation) {
    try {
      final Path fresh = file.resolveSibling(FILE_NAME + ".new");
      Files.write(fresh, Long.toString(incarnation).getBytes(StandardCharsets.US_ASCII));
      Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE);
    } catch (final IOException e) {
      // The fleet remembers it, too, and says so to whoever begins below it.
      Log.info("peers: " + file + " cannot be written: " + e.getMessage());
    }
  }
}
