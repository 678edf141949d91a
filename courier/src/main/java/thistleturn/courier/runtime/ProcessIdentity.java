package thistleturn.courier.runtime;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * A process, named so that no other one ever has the same name: numbers of processes are given
 * anew, and mean nothing in another process namespace or after a reboot.
 *
 * <p>The end of a process is the one sign that its connections are closed. Its file locks and some
 * of its connections end before the others do ({@code docs/design/failures.md}).
 *
 * @param pid its number
 * @param startTicks when it started, in the system's clock ticks since the boot; 0 if the system
 *     does not tell
 * @param bootId which boot of the machine it belongs to
 * @param pidNamespace the namespace that its number belongs to
 */
public record ProcessIdentity(long pid, long startTicks, String bootId, String pidNamespace) {
  private static final String NOT_TOLD = "-";

  /** Stands for a process that did not tell its identity; nothing can be told of it. */
  public static final ProcessIdentity UNRECORDED = new ProcessIdentity(0, 0, NOT_TOLD, NOT_TOLD);

  private static final int TEXT_FIELDS = 4;

  /** The field of the state in {@code /proc/PID/stat}, counted from behind the program's name. */
  private static final int STATE_FIELD = 0;

  /** The field of the start time in {@code /proc/PID/stat}, counted likewise. */
  private static final int START_FIELD = 19;

  private static final String ZOMBIE = "Z";
  private static final String DEAD = "X";

  /** What can be told of a process now. */
  public enum State {
    /** It runs, or it cannot be ruled out that one of its threads does. */
    RUNNING,
    /** No thread of it is left: everything that it had open is closed. */
    ENDED,
    /** Its namespace cannot be seen from here, or its identity could not be read when it ran. */
    UNKNOWN
  }

  /** The identity of this process, once the system has told all of it. */
  private static volatile ProcessIdentity completeCurrent;

  /** Returns the identity of this process, as far as the system tells it now. */
  public static ProcessIdentity current() {
    final ProcessIdentity known = completeCurrent;
    if (known != null) {
      return known;
    }
    final ProcessIdentity read = readCurrent();
    if (read.isComplete()) {
      completeCurrent = read;
    }
    return read;
  }

  private static ProcessIdentity readCurrent() {
    try {
      // Not by the number that the JDK has: /proc may be that of an outer namespace.
      final String stat = Files.readString(Path.of("/proc/self/stat"));
      final long pid = Long.parseLong(stat.substring(0, stat.indexOf(' ')));
      final long startTicks = Long.parseLong(fieldsOf(stat)[START_FIELD]);
      return new ProcessIdentity(pid, startTicks, readBootId(), readNamespace());
    } catch (final IOException | RuntimeException e) {
      return new ProcessIdentity(ProcessHandle.current().pid(), 0, NOT_TOLD, NOT_TOLD);
    }
  }

  private boolean isComplete() {
    return startTicks > 0;
  }

  /** Returns true for this process, also where the system did not tell all of its identity. */
  public boolean isCurrent() {
    final ProcessIdentity current = current();
    return equals(current) || (pid == current.pid && !(isComplete() && current.isComplete()));
  }

  private static String readBootId() throws IOException {
    return Files.readString(Path.of("/proc/sys/kernel/random/boot_id")).strip();
  }

  /** Returns the number in a link such as {@code pid:[4026531836]}. */
  private static String readNamespace() throws IOException {
    final String link = Files.readSymbolicLink(Path.of("/proc/self/ns/pid")).toString();
    return link.substring(link.indexOf('[') + 1, link.indexOf(']'));
  }

  /** Returns the fields of a process's status that follow the name of its program. */
  private static String[] fieldsOf(final String stat) {
    return stat.substring(stat.lastIndexOf(')') + 2).split(" ");
  }

  /** Returns the identity as one line of text, without a line break. */
  public String toText() {
    return pid + " " + startTicks + " " + bootId + " " + pidNamespace;
  }

  /** Reads what {@link #toText} wrote; empty if it is something else. */
  public static Optional<ProcessIdentity> parse(final String text) {
    final String[] fields = text.split(" ");
    if (fields.length != TEXT_FIELDS) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new ProcessIdentity(
              Long.parseLong(fields[0]), Long.parseLong(fields[1]), fields[2], fields[3]));
    } catch (final NumberFormatException e) {
      return Optional.empty();
    }
  }

  /** Returns what can be told of the process now. Reads a few files of the system. */
  public State state() {
    final ProcessIdentity observer = current();
    if (!isComplete() || !observer.isComplete()) {
      return ProcessHandle.of(pid).isPresent() ? State.RUNNING : State.UNKNOWN;
    }
    if (!bootId.equals(observer.bootId)) {
      return State.ENDED;
    }
    if (!pidNamespace.equals(observer.pidNamespace)) {
      return State.UNKNOWN;
    }
    return hasEnded() ? State.ENDED : State.RUNNING;
  }

  private boolean hasEnded() {
    try {
      final String[] fields = fieldsOf(Files.readString(Path.of("/proc/" + pid + "/stat")));
      return Long.parseLong(fields[START_FIELD]) != startTicks
          || (isExited(fields[STATE_FIELD]) && hasNoOtherThread());
    } catch (final NoSuchFileException e) {
      return true;
    } catch (final IOException | RuntimeException e) {
      // It ended while it was read, or the system is short of something: the next look tells.
      return false;
    }
  }

  private static boolean isExited(final String state) {
    return state.equals(ZOMBIE) || state.equalsIgnoreCase(DEAD);
  }

  /** The main thread of a process may have ended before the others, which keep its files open. */
  private boolean hasNoOtherThread() throws IOException {
    try (Stream<Path> threads = Files.list(Path.of("/proc/" + pid + "/task"))) {
      return threads.allMatch(thread -> thread.endsWith(Long.toString(pid)));
    }
  }
}
