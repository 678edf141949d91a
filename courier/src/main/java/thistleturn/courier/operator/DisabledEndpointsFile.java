package thistleturn.courier.operator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * The file of the endpoints that are administratively disabled, one name per line, in the state
 * folder. It is replaced atomically, so that a reader, in this process or another one, always finds
 * a complete state.
 */
public final class DisabledEndpointsFile {
  /** A stored name: earlier versions read and write the same file. */
  private static final String FILE_NAME = "maintenance";

  private static final int MAX_BYTES = 1 << 16;

  private final Path file;
  private final Path replacement;

  /**
   * Resolves the file; nothing is read or written yet.
   *
   * @param folder the state folder
   * @param processId makes the names of the replacement files of several processes distinct
   */
  public DisabledEndpointsFile(final Path folder, final long processId) {
    this.file = folder.resolve(FILE_NAME);
    this.replacement = folder.resolve(FILE_NAME + ".next-" + processId);
  }

  /**
   * Returns the names in the file; none if there is no file.
   *
   * @throws IOException if it cannot be read
   */
  public Set<String> read() throws IOException {
    final Set<String> names = new TreeSet<>();
    try {
      Files.readString(file, StandardCharsets.UTF_8)
          .lines()
          .filter(line -> !line.isEmpty())
          .forEach(names::add);
    } catch (final NoSuchFileException e) {
      return names;
    }
    return names;
  }

  /**
   * Replaces the names in the file.
   *
   * @throws IOException if that failed, or the names need over 64 KiB; then the file is unchanged
   */
  public void replace(final Collection<String> names) throws IOException {
    final byte[] text =
        names.stream()
            .map(name -> name + "\n")
            .reduce("", String::concat)
            .getBytes(StandardCharsets.UTF_8);
    if (text.length > MAX_BYTES) {
      throw new IOException(
          "the names of disabled endpoints need "
              + text.length
              + " bytes; "
              + MAX_BYTES
              + " are allowed");
    }
    Files.write(replacement, text);
    Files.move(replacement, file, StandardCopyOption.ATOMIC_MOVE);
  }
}
