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
 * The endpoints that are left out by hand, in the folder that outlasts the process: a name a line.
 * It is replaced in one step, so that a reader, in this process or another one, finds one state
 * whole.
 */
public final class DisabledEndpointsFile {
  private static final String FILE_NAME = "maintenance";
  private static final int MAX_BYTES = 1 << 16;

  private final Path file;
  private final Path replacement;

  /** Nothing is read or written yet; {@code writer} is this process's own. */
  public DisabledEndpointsFile(final Path folder, final long writer) {
    this.file = folder.resolve(FILE_NAME);
    this.replacement = folder.resolve(FILE_NAME + ".next-" + writer);
  }

  /**
   * The names in the file; none if there is no file.
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
   * Puts these names in the file.
   *
   * @throws IOException if that failed, or they would need over 64 KiB; then the file is as it was
   */
  public void replace(final Collection<String> names) throws IOException {
    final byte[] text =
        names.stream()
            .map(name -> name + "\n")
            .reduce("", String::concat)
            .getBytes(StandardCharsets.UTF_8);
    if (text.length > MAX_BYTES) {
      throw new IOException(
          "the names left out need " + text.length + " bytes; " + MAX_BYTES + " are allowed");
    }
    Files.write(replacement, text);
    Files.move(replacement, file, StandardCopyOption.ATOMIC_MOVE);
  }
}
