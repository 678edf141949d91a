package thistleturn.courier.handover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import java.util.stream.Collectors;
import thistleturn.courier.runtime.ProcessIdentity;

/**
 * The processes of a courier that held its state folder before this one. An attempt of one of them
 * may be in flight until that process has ended, even if the folder's lock is released and the
 * connection between the two processes is closed: the operating system does both before it has
 * closed the connections of the calls.
 *
 * <p>An attempt belongs to the process that held the folder when the attempt started. A process
 * that did not record itself, such as one of an earlier version, is assumed to have ended {@value
 * #UNKNOWN_PROCESS_GRACE_US} us after its lock was released or its connection closed.
 */
public final class EarlierProcesses {
  /** Several times the longest end of a process that was measured. */
  static final long UNKNOWN_PROCESS_GRACE_US = 500_000;

  private static final EarlierProcesses NONE = new EarlierProcesses(List.of());

  /** The oldest first. */
  private final List<LockHolder> holders;

  private EarlierProcesses(final List<LockHolder> holders) {
    this.holders = holders;
  }

  /** Returns an instance without any earlier process. */
  public static EarlierProcesses none() {
    return NONE;
  }

  /**
   * Returns the earlier processes of one that found the folder free. If there is a record at all,
   * the last holder is the one recorded last.
   */
  static EarlierProcesses beforeStart(final List<LockHolder> recorded) {
    return recorded.isEmpty() ? withUnrecorded(recorded) : new EarlierProcesses(recorded);
  }

  /**
   * Returns the earlier processes of one to which a running process has handed over: the one
   * recorded last, if that one runs, and otherwise an unrecorded one.
   */
  static EarlierProcesses beforeHandover(final List<LockHolder> recorded) {
    final boolean predecessorRecorded =
        !recorded.isEmpty()
            && !lastOf(recorded).process().isCurrent()
            && lastOf(recorded).process().state() == ProcessIdentity.State.RUNNING;
    return predecessorRecorded ? new EarlierProcesses(recorded) : withUnrecorded(recorded);
  }

  /**
   * Returns the earlier processes of this one, which had handed over to a successor that has ended.
   * The successor was recorded after this process, or not at all.
   */
  static EarlierProcesses beforeTakeBack(final List<LockHolder> recorded) {
    final boolean successorRecorded =
        !recorded.isEmpty() && !lastOf(recorded).process().isCurrent();
    return successorRecorded ? new EarlierProcesses(recorded) : withUnrecorded(recorded);
  }

  /**
   * Runs the checks of a takeover on this process, without an effect. Clients wait while a process
   * takes over, and code that has run before is several times as fast.
   */
  public static void warmUp() {
    final ProcessIdentity current = ProcessIdentity.current();
    final String recorded = new LockHolder(current, 0).toText();
    final EarlierProcesses earlier = beforeHandover(LockHolder.parse(recorded).stream().toList());
    final boolean ended = earlier.withoutPredecessor().endedAttempts(0).test(-1);
    if (!ended || current.state() != ProcessIdentity.State.RUNNING) {
      throw new IllegalStateException("this running process was considered ended: " + recorded);
    }
  }

  /** Adds an unrecorded process, which held the folder after the last recorded one. */
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
   * Returns the processes before the one that has handed over to this one. The predecessor itself
   * reports which attempts it still carries out, and has no others.
   */
  public EarlierProcesses withoutPredecessor() {
    if (holders.isEmpty()) {
      return this;
    }
    final List<LockHolder> before = new ArrayList<>(holders.subList(0, holders.size() - 1));
    // This process replaces the predecessor, whose attempts in flight are known here.
    before.add(new LockHolder(ProcessIdentity.current(), lastOf(holders).sinceUs()));
    return new EarlierProcesses(before);
  }

  /**
   * Returns a predicate on the time when an attempt started: true if its process has ended, so that
   * it cannot be in flight any more. Each process is looked up once at most.
   *
   * @param elapsedUs how long ago the last connection or the folder's lock was released
   */
  public LongPredicate endedAttempts(final long elapsedUs) {
    final boolean graceOver = elapsedUs >= UNKNOWN_PROCESS_GRACE_US;
    final Map<LockHolder, Boolean> ended = new HashMap<>();
    return startedUs ->
        holders.isEmpty()
            || ended.computeIfAbsent(holderAt(startedUs), holder -> hasEnded(holder, graceOver));
  }

  /** Returns the process that held the folder at a time; the oldest known one for times before. */
  private LockHolder holderAt(final long timeUs) {
    LockHolder found = holders.get(0);
    for (final LockHolder holder : holders) {
      found = holder.sinceUs() <= timeUs ? holder : found;
    }
    return found;
  }

  private static boolean hasEnded(final LockHolder holder, final boolean graceOver) {
    // This process knows its own attempts in flight.
    return holder.process().isCurrent()
        || switch (holder.process().state()) {
          case ENDED -> true;
          case RUNNING -> false;
          case UNKNOWN -> graceOver;
        };
  }

  /** Returns the process ids of those that have not ended, for the log. */
  @Override
  public String toString() {
    return holders.stream()
        .filter(holder -> !hasEnded(holder, false))
        .map(holder -> Long.toString(holder.process().pid()))
        .distinct()
        .collect(Collectors.joining(","));
  }
}
