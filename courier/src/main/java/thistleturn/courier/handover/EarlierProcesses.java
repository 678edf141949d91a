package thistleturn.courier.handover;

import java.util.List;
import java.util.stream.Collectors;
import thistleturn.courier.runtime.ProcessIdentity;

/**
 * The processes of a courier that held its state folder before this one. A call that one of them
 * made may be in flight for as long as that process has not ended, whatever became of the folder's
 * lock and of the connection between the two: the system releases both before it has closed the
 * connections of the calls.
 *
 * <p>A process of a version that does not record itself in the folder is not known by name. It is
 * taken to have ended {@value #UNKNOWN_PROCESS_GRACE_US} us after its lock or its connection.
 */
public final class EarlierProcesses {
  /** Several times as long as the slowest end of a process that was measured. */
  static final long UNKNOWN_PROCESS_GRACE_US = 500_000;

  private static final EarlierProcesses NONE = new EarlierProcesses(List.of(), true);

  /** The oldest first. */
  private final List<ProcessIdentity> processes;

  private final boolean allKnown;

  private EarlierProcesses(final List<ProcessIdentity> processes, final boolean allKnown) {
    this.processes = processes;
    this.allKnown = allKnown;
  }

  /** Returns that there was no other process. */
  public static EarlierProcesses none() {
    return NONE;
  }

  /** The folder was free. Its last holder recorded itself, unless the record is empty. */
  static EarlierProcesses beforeStart(final List<ProcessIdentity> recorded) {
    return new EarlierProcesses(othersOf(recorded), !recorded.isEmpty());
  }

  /** A process that runs has handed over. It is the one recorded last, if that one runs. */
  static EarlierProcesses beforeHandover(final List<ProcessIdentity> recorded) {
    final boolean predecessorKnown =
        !recorded.isEmpty()
            && !lastOf(recorded).isCurrent()
            && lastOf(recorded).state() == ProcessIdentity.State.RUNNING;
    return new EarlierProcesses(othersOf(recorded), predecessorKnown);
  }

  /** This process had handed over to one that has ended, which was recorded after this one. */
  static EarlierProcesses beforeTakeBack(final List<ProcessIdentity> recorded) {
    final boolean successorKnown = !recorded.isEmpty() && !lastOf(recorded).isCurrent();
    return new EarlierProcesses(othersOf(recorded), successorKnown);
  }

  private static List<ProcessIdentity> othersOf(final List<ProcessIdentity> recorded) {
    return recorded.stream().filter(process -> !process.isCurrent()).toList();
  }

  private static ProcessIdentity lastOf(final List<ProcessIdentity> recorded) {
    return recorded.get(recorded.size() - 1);
  }

  /**
   * Returns the processes without the one that has handed over to this one, which tells by itself
   * which calls it still carries out.
   */
  public EarlierProcesses withoutPredecessor() {
    return processes.isEmpty()
        ? NONE
        : new EarlierProcesses(processes.subList(0, processes.size() - 1), true);
  }

  /**
   * Returns whether none of them can have a call in flight any more.
   *
   * @param elapsedUs how long ago the last sign of them ended: a connection, or the folder's lock
   */
  public boolean haveEnded(final long elapsedUs) {
    final boolean graceOver = elapsedUs >= UNKNOWN_PROCESS_GRACE_US;
    return (allKnown || graceOver)
        && processes.stream().allMatch(process -> hasEnded(process, graceOver));
  }

  private static boolean hasEnded(final ProcessIdentity process, final boolean graceOver) {
    return switch (process.state()) {
      case ENDED -> true;
      case RUNNING -> false;
      case UNKNOWN -> graceOver;
    };
  }

  /** Returns the numbers of the processes, for the log. */
  @Override
  public String toString() {
    final String numbers =
        processes.stream()
            .map(process -> Long.toString(process.pid()))
            .collect(Collectors.joining(","));
    return allKnown ? numbers : numbers + "?";
  }
}
