package thistleturn.courier.handover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import java.util.stream.Collectors;
import thistleturn.courier.runtime.ProcessIdentity;

/**
 * The processes of a courier that held its state folder before this one. An attempt that one of
 * them made may be in flight for as long as that process has not ended, whatever became of the
 * folder's lock and of the connection between the two: the system releases both before it has
 * closed the connections of the calls.
 *
 * <p>An attempt was made by the process that held the folder when it started. A process that did
 * not record itself, as one of an earlier version, is taken to have ended {@value
 * #UNKNOWN_PROCESS_GRACE_US} us after its lock or its connection.
 */
public final class EarlierProcesses {
  /** Several times as long as the slowest end of a process that was measured. */
  static final long UNKNOWN_PROCESS_GRACE_US = 500_000;

  private static final EarlierProcesses NONE = new EarlierProcesses(List.of());

  /** The oldest first. */
  private final List<LockHolder> holders;

  private EarlierProcesses(final List<LockHolder> holders) {
    this.holders = holders;
  }

  /** Returns that there was no other process. */
  public static EarlierProcesses none() {
    return NONE;
  }

  /** The folder was free. Its last holder recorded itself, unless there is no record. */
  static EarlierProcesses beforeStart(final List<LockHolder> recorded) {
    return recorded.isEmpty() ? withUnrecorded(recorded) : new EarlierProcesses(recorded);
  }

  /** A process that runs has handed over. It is the one recorded last, if that one runs. */
  static EarlierProcesses beforeHandover(final List<LockHolder> recorded) {
    final boolean predecessorRecorded =
        !recorded.isEmpty()
            && !lastOf(recorded).process().isCurrent()
            && lastOf(recorded).process().state() == ProcessIdentity.State.RUNNING;
    return predecessorRecorded ? new EarlierProcesses(recorded) : withUnrecorded(recorded);
  }

  /** This process had handed over to one that has ended, which was recorded after this one. */
  static EarlierProcesses beforeTakeBack(final List<LockHolder> recorded) {
    final boolean successorRecorded =
        !recorded.isEmpty() && !lastOf(recorded).process().isCurrent();
    return successorRecorded ? new EarlierProcesses(recorded) : withUnrecorded(recorded);
  }

  /**
   * Asks of this process what a takeover asks of others, without an effect: while a process takes
   * over, clients wait, and code that has run before is several times as fast.
   */
  public static void warmUp() {
    final ProcessIdentity current = ProcessIdentity.current();
    final String recorded = new LockHolder(current, 0).toText();
    final EarlierProcesses earlier = beforeHandover(LockHolder.parse(recorded).stream().toList());
    final boolean ended = earlier.withoutPredecessor().endedAttempts(0).test(-1);
    if (!ended || current.state() != ProcessIdentity.State.RUNNING) {
      throw new IllegalStateException("this process runs: " + recorded);
    }
  }

  /** Another process held the folder after the last one that is recorded. */
  private static EarlierProcesses withUnrecorded(final List<LockHolder> recorded) {
    final long sinceUs = recorded.isEmpty() ? Long.MIN_VALUE : lastOf(recorded).sinceUs();
    final List<LockHolder> holders = new ArrayList<>(recorded);
    holders.add(new LockHolder(ProcessIdentity.UNRECORDED, sinceUs));
    return new EarlierProcesses(holders);
  }

  private static LockHolder lastOf(final List<LockHolder> holders) {
    return holders.get(holders.size() - 1);
  }

  /**
   * Returns the processes before the one that has handed over to this one: that one tells by itself
   * which attempts it still carries out, and has no others.
   */
  public EarlierProcesses withoutPredecessor() {
    if (holders.isEmpty()) {
      return this;
    }
    final List<LockHolder> before = new ArrayList<>(holders.subList(0, holders.size() - 1));
    // This process stands in for it: what it has in flight is known here.
    before.add(new LockHolder(ProcessIdentity.current(), lastOf(holders).sinceUs()));
    return new EarlierProcesses(before);
  }

  /**
   * Looks the processes up, and returns which attempts cannot be in flight any more, by the time
   * when they started. Each process is looked up once at most.
   *
   * @param elapsedUs how long ago the last sign of them ended: a connection, or the folder's lock
   */
  public LongPredicate endedAttempts(final long elapsedUs) {
    final boolean graceOver = elapsedUs >= UNKNOWN_PROCESS_GRACE_US;
    final Map<LockHolder, Boolean> ended = new HashMap<>();
    return startedUs ->
        holders.isEmpty()
            || ended.computeIfAbsent(holderAt(startedUs), holder -> hasEnded(holder, graceOver));
  }

  /** Returns who held the folder at a time; the oldest that is known if it was before that. */
  private LockHolder holderAt(final long timeUs) {
    LockHolder found = holders.get(0);
    for (final LockHolder holder : holders) {
      found = holder.sinceUs() <= timeUs ? holder : found;
    }
    return found;
  }

  private static boolean hasEnded(final LockHolder holder, final boolean graceOver) {
    // What this process itself has in flight, it knows.
    return holder.process().isCurrent()
        || switch (holder.process().state()) {
          case ENDED -> true;
          case RUNNING -> false;
          case UNKNOWN -> graceOver;
        };
  }

  /** Returns the numbers of those that have not ended, for the log. */
  @Override
  public String toString() {
    return holders.stream()
        .filter(holder -> !hasEnded(holder, false))
        .map(holder -> Long.toString(holder.process().pid()))
        .distinct()
        .collect(Collectors.joining(","));
  }
}
