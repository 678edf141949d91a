package thistleturn.courier.runtime;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads the identity of another running process on this machine. */
public final class RunningProcess {
  private static final int START_FIELD = 19;

  private RunningProcess() {}

  /** Returns the identity that the process itself would record. */
  public static ProcessIdentity identityOf(final long pid) {
    try {
      final String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
      final String start = stat.substring(stat.lastIndexOf(')') + 2).split(" ")[START_FIELD];
      final ProcessIdentity own = ProcessIdentity.current();
      return new ProcessIdentity(pid, Long.parseLong(start), own.bootId(), own.pidNamespace());
    } catch (final IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
