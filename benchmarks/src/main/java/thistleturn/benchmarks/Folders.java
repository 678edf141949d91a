package thistleturn.benchmarks;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Folders that a measurement makes and leaves behind for nobody. */
public final class Folders {
  private Folders() {}

  /** Deletes one with all that is in it. */
  public static void delete(final Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    }
  }
}
