package thistleturn.testkit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;

/**
 * When the processes of one courier were ended, were ready again, and were stopped by whoever plays
 * them. Times are microseconds and only advance. The rule checker owns it and guards it.
 */
final class CourierLifetimes {
  private static final long NEVER = Long.MAX_VALUE;

  /** For so long after a start ends may still be late, us. */
  private final long restartGraceUs;

  private final List<Long> killsUs = new ArrayList<>();
  private final List<Stop> stops = new ArrayList<>();

  /** The spans in which no end is late, in order. */
  private final Deque<RestartSpan> restarts = new ArrayDeque<>();

  CourierLifetimes(final long restartGraceUs) {
    this.restartGraceUs = restartGraceUs;
  }

  /** A span in which the courier was stopped. */
  private record Stop(long fromUs, long toUs) {
    private boolean contains(final long atUs) {
      return fromUs <= atUs && atUs <= toUs;
    }

    @Override
    public String toString() {
      return fromUs + " to " + toUs;
    }
  }

  /** From the end of a process until a while after the last start that followed in time. */
  private static final class RestartSpan {
    private final long fromUs;
    private long endUs = NEVER;

    private RestartSpan(final long fromUs) {
      this.fromUs = fromUs;
    }

    /** True if an end was not overdue when this began, and was seen before it was over. */
    private boolean excuses(final long dueUs, final long seenUs) {
      return fromUs <= dueUs && seenUs <= endUs;
    }
  }

  /** A process was ended. A span of restarts that is not over yet goes on. */
  void recordKill(final long nowUs) {
    killsUs.add(nowUs);
    if (!restarts.isEmpty() && nowUs <= restarts.getLast().endUs) {
      restarts.getLast().endUs = NEVER;
    } else {
      restarts.addLast(new RestartSpan(nowUs));
    }
  }

  /** A process is ready; the first one ends no span. */
  void recordReady(final long nowUs) {
    if (!restarts.isEmpty()) {
      restarts.getLast().endUs = nowUs + restartGraceUs;
    }
  }

  /** The courier was stopped between two moments. */
  void recordStop(final long fromUs, final long toUs) {
    stops.add(new Stop(fromUs, toUs));
  }

  /** True if restarts excuse that an end which was due at one time was seen at another. */
  boolean excuseLateEnd(final long dueUs, final long seenUs) {
    return restarts.stream().anyMatch(restart -> restart.excuses(dueUs, seenUs));
  }

  /** When the process that ran at a time was ended; empty if it was not. */
  OptionalLong firstKillSince(final long us) {
    return killsUs.stream().mapToLong(Long::longValue).filter(killUs -> killUs >= us).findFirst();
  }

  /** True if a process was ended after one time and before another. */
  boolean wasKilledBetween(final long fromUs, final long toUs) {
    return killsUs.stream().anyMatch(killUs -> killUs > fromUs && killUs < toUs);
  }

  /** When the last process was ended that was; {@link Long#MIN_VALUE} if none was. */
  long lastKillUs() {
    return killsUs.isEmpty() ? Long.MIN_VALUE : killsUs.get(killsUs.size() - 1);
  }

  /** When the stop ended that contains a time; empty if the courier was not stopped then. */
  OptionalLong endOfStopAt(final long us) {
    return stops.stream().filter(stop -> stop.contains(us)).mapToLong(Stop::toUs).max();
  }

  /** The kills and stops between two times, for the text of a violation. */
  String describe(final long fromUs, final long toUs) {
    final List<Long> kills =
        killsUs.stream().filter(killUs -> killUs >= fromUs && killUs <= toUs).toList();
    final List<Stop> overlapping =
        stops.stream().filter(stop -> stop.toUs() >= fromUs && stop.fromUs() <= toUs).toList();
    return "kills " + kills + ", stops " + overlapping;
  }
}
