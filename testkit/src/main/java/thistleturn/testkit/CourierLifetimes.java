package thistleturn.testkit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;

/**
 * When the processes of one courier were killed, ready again, and paused by the test. Times are
 * microseconds and only advance. The rule checker owns it and serializes access to it.
 */
final class CourierLifetimes {
  private static final long NEVER = Long.MAX_VALUE;

  /** How long after a start outcomes may still be late, us. */
  private final long restartGraceUs;

  private final List<Long> killsUs = new ArrayList<>();
  private final List<Pause> pauses = new ArrayList<>();

  /** The spans in which no outcome counts as late, in order. */
  private final Deque<RestartSpan> restarts = new ArrayDeque<>();

  CourierLifetimes(final long restartGraceUs) {
    this.restartGraceUs = restartGraceUs;
  }

  /** A span in which the courier was paused. */
  private record Pause(long fromUs, long toUs) {
    private boolean contains(final long atUs) {
      return fromUs <= atUs && atUs <= toUs;
    }

    @Override
    public String toString() {
      return fromUs + " to " + toUs;
    }
  }

  /**
   * From the end of a process until the restart grace after the last start that followed within the
   * same span.
   */
  private static final class RestartSpan {
    private final long fromUs;
    private long endUs = NEVER;

    private RestartSpan(final long fromUs) {
      this.fromUs = fromUs;
    }

    /** True if an outcome was not overdue when the span began, and was observed before it ended. */
    private boolean excuses(final long dueUs, final long seenUs) {
      return fromUs <= dueUs && seenUs <= endUs;
    }
  }

  /** A process was killed. A span of restarts that hasn't ended yet continues. */
  void recordKill(final long nowUs) {
    killsUs.add(nowUs);
    if (!restarts.isEmpty() && nowUs <= restarts.getLast().endUs) {
      restarts.getLast().endUs = NEVER;
    } else {
      restarts.addLast(new RestartSpan(nowUs));
    }
  }

  /** A process is ready; the first one of the test ends no span. */
  void recordReady(final long nowUs) {
    if (!restarts.isEmpty()) {
      restarts.getLast().endUs = nowUs + restartGraceUs;
    }
  }

  /** The courier was paused between two times. */
  void recordPause(final long fromUs, final long toUs) {
    pauses.add(new Pause(fromUs, toUs));
  }

  /** True if restarts excuse that an outcome due at one time was observed at another. */
  boolean excusesLateOutcome(final long dueUs, final long seenUs) {
    return restarts.stream().anyMatch(restart -> restart.excuses(dueUs, seenUs));
  }

  /** Returns when the process that ran at a time was killed; empty if it wasn't. */
  OptionalLong firstKillSince(final long us) {
    return killsUs.stream().mapToLong(Long::longValue).filter(killUs -> killUs >= us).findFirst();
  }

  /** True if a process was killed after one time and before another. */
  boolean wasKilledBetween(final long fromUs, final long toUs) {
    return killsUs.stream().anyMatch(killUs -> killUs > fromUs && killUs < toUs);
  }

  /** Returns when the last process was killed; {@link Long#MIN_VALUE} if none was. */
  long lastKillUs() {
    return killsUs.isEmpty() ? Long.MIN_VALUE : killsUs.get(killsUs.size() - 1);
  }

  /** Returns when the pause that contains a time ended; empty if the courier wasn't paused then. */
  OptionalLong endOfPauseAt(final long us) {
    return pauses.stream().filter(pause -> pause.contains(us)).mapToLong(Pause::toUs).max();
  }

  /** Describes the kills and pauses between two times, for the text of a violation. */
  String describe(final long fromUs, final long toUs) {
    final List<Long> kills =
        killsUs.stream().filter(killUs -> killUs >= fromUs && killUs <= toUs).toList();
    final List<Pause> overlapping =
        pauses.stream().filter(pause -> pause.toUs() >= fromUs && pause.fromUs() <= toUs).toList();
    return "kills " + kills + ", pauses " + overlapping;
  }
}
