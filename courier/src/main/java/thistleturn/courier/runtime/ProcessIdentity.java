package thistleturn.courier.runtime;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * A globally unique identity of a process. A process id alone is not one: it is reused, and means
 * nothing in another process namespace or after a reboot.
 *
 * <p>Only the end of a process shows that all its connections are closed. Its file locks and some
 * of its connections are released before the others ({@code docs/design/failures.md}).
 *
 * @param pid the process id
 * @param startTicks its start time, in the system's clock ticks since the boot; 0 if the system did
 *     not report it
 * @param bootId the boot of the machine that it belongs to
 * @param pidNamespace the namespace that its process id belongs to
 */
public record ProcessIdentity(long pid, long startTicks, String bootId, String pidNamespace) {
  private static final String NOT_REPORTED = "-";

  /** Represents a process that did not record its identity, so that its state is unknown. */
  public static final ProcessIdentity UNRECORDED =
      new ProcessIdentity(0, 0, NOT_REPORTED, NOT_REPORTED);

  private static final int TEXT_FIELDS = 4;

  /** The index of the state in {@code /proc/PID/stat}, counted from after the program's name. */
  private static final int STATE_FIELD = 0;

  /** The index of the start time in {@code /proc/PID/stat}, counted in the same way. */
  private static final int START_FIELD = 19;

  private static final String ZOMBIE = "Z";
  private static final String DEAD = "X";

  /** What can be determined about a process now. */
  public enum State {
    /** It is running, or it cannot be ruled out that one of its threads is. */
    RUNNING,
    /** It has no thread left: everything that it had open is closed. */
    ENDED,
    /**
     * Its namespace is not visible to this process, or its identity could not be read while it ran.
     */
    UNKNOWN
  }

  /** The identity of this process, once all of it could be read. */
  private static volatile ProcessIdentity completeCurrent;

  /** Returns the identity of this process, as far as it can be read now. */
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
      // Not by the process id that the JDK reports: /proc may belong to an outer namespace.
      final String stat = Files.readString(Path.of("/proc/self/stat"));
      final long pid = Long.parseLong(stat.substring(0, stat.indexOf(' ')));
      final long startTicks = Long.parseLong(fieldsOf(stat)[START_FIELD]);
      return new ProcessIdentity(pid, startTicks, readBootId(), readNamespace());
    } catch (final IOException | RuntimeException e) {
      return new ProcessIdentity(ProcessHandle.current().pid(), 0, NOT_REPORTED, NOT_REPORTED);
    }
  }

  private boolean isComplete() {
    return startTicks > 0;
  }

  /** Returns true for this process, even if its identity could not be read completely. */
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

  /** Returns the fields of a process's status that follow the program's name. */
  private static String[] fieldsOf(final String stat) {
    return stat.substring(stat.lastIndexOf(')') + 2).split(" ");
  }

  /** Returns the identity as one line of text, without a line break. */
  public String toText() {
    return pid + " " + startTicks + " " + bootId + " " + pidNamespace;
  }

  /** Parses the text that {@link #toText} returned; empty if it is malformed. */
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

  /** Returns the state of the process now. Reads a few files in {@code /proc}. */
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
      // It ended while it was read, or the system lacks a resource: the next check will show.
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
