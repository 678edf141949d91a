package thistleturn.testkit.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks the membership views of couriers against the faults that were injected, for real and for
 * simulated processes. It is notified of processes that start, end and pause, and of the views that
 * couriers hold, all with the time, ms.
 */
public final class FleetChecker {
  private final long pauseLimitMs;

  /** Members by lineage and view number: a view number must have one content only. */
  private final Map<String, Set<String>> membersByView = new HashMap<>();

  private final Map<String, Set<String>> heldViews = new TreeMap<>();
  private final Map<String, String> heldLineage = new HashMap<>();
  private final Map<String, String> runningByName = new HashMap<>();
  private final Map<String, Long> startedMs = new HashMap<>();
  private final Map<String, Long> endedMs = new HashMap<>();
  private final Map<String, Long> pausedMs = new HashMap<>();
  private final Map<String, Long> longestPauseMs = new HashMap<>();
  private final Set<String> excused = new HashSet<>();
  private final Map<String, Map<String, Long>> knownEnds = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final Set<String> wronglyDead = new HashSet<>();
  private long disagreeSinceMs = -1;
  private long lastAgreementMs;
  private int viewCount;

  /** A courier that was paused for longer than the limit may be declared dead. */
  public FleetChecker(final long pauseLimitMs) {
    this.pauseLimitMs = pauseLimitMs;
  }

  /** A process starts: {@code incarnation} is its name with its incarnation number, as in views. */
  public void processStarted(final String name, final String incarnation, final long atMs) {
    if (runningByName.put(name, incarnation) == null) {
      startedMs.put(name, atMs);
    }
  }

  /** A process ends, by a kill or a graceful shutdown. */
  public void processEnded(final String name, final long atMs) {
    endedMs.put(runningByName.get(name), atMs);
    heldViews.remove(name);
    runningByName.remove(name);
  }

  /** A process is paused, or resumes. */
  public void setPaused(final String name, final boolean paused, final long atMs) {
    if (paused) {
      pausedMs.put(name, atMs);
    } else if (pausedMs.containsKey(name)) {
      final long forMs = atMs - pausedMs.remove(name);
      longestPauseMs.merge(name, forMs, Math::max);
    }
  }

  /**
   * A cut begins: members that lose half of the fleet or more for longer than the limit may be
   * declared dead.
   */
  public void linksCut(final Fault fault, final List<String> names) {
    if (fault.forMs() > pauseLimitMs) {
      if (2 * fault.others().size() >= names.size()) {
        fault.targets().forEach(number -> excused.add(names.get(number)));
      }
      if (2 * fault.targets().size() >= names.size()) {
        fault.others().forEach(number -> excused.add(names.get(number)));
      }
    }
  }

  /** A courier holds this view; members are incarnations. */
  public void viewObserved(
      final String observer,
      final String lineage,
      final long number,
      final Set<String> members,
      final long atMs) {
    final String view = lineage + '.' + number;
    final Set<String> previous = membersByView.putIfAbsent(view, members);
    if (previous != null && !previous.equals(members)) {
      violations.add(
          atMs
              + " ms: view "
              + view
              + " has two member sets: "
              + previous
              + " and "
              + members
              + " at "
              + observer);
    }
    viewCount += previous == null ? 1 : 0;
    final Set<String> lastMembers = heldViews.put(observer, members);
    // A courier that changes to another lineage declares no member of the earlier one dead.
    if (lineage.equals(heldLineage.put(observer, lineage)) && lastMembers != null) {
      for (final String incarnation : lastMembers) {
        final String name = incarnation.substring(0, incarnation.indexOf('#'));
        if (!members.contains(incarnation)
            && incarnation.equals(runningByName.get(name))
            && !mayBeDeclaredDead(name, atMs)) {
          if (wronglyDead.add(incarnation)) {
            violations.add(
                atMs
                    + " ms: "
                    + incarnation
                    + " is running, and is missing in view "
                    + view
                    + " of "
                    + observer);
          }
        }
      }
    }
    recordKnownEnds(observer, atMs);
    compareViews(atMs);
  }

  private boolean mayBeDeclaredDead(final String name, final long atMs) {
    final Long pausedSinceMs = pausedMs.get(name);
    return excused.contains(name)
        || longestPauseMs.getOrDefault(name, 0L) > pauseLimitMs
        || (pausedSinceMs != null && atMs - pausedSinceMs > pauseLimitMs);
  }

  private void recordKnownEnds(final String observer, final long atMs) {
    final Set<String> members = heldViews.get(observer);
    for (final Map.Entry<String, Long> one : endedMs.entrySet()) {
      if (!members.contains(one.getKey())) {
        knownEnds
            .computeIfAbsent(one.getKey(), incarnation -> new HashMap<>())
            .putIfAbsent(observer, atMs);
      }
    }
  }

  /** Compares the views again, as a courier may have started or ended. */
  public void compareViews(final long atMs) {
    final Set<String> runningNow = new HashSet<>(runningByName.values());
    final boolean agree =
        heldViews.keySet().containsAll(runningByName.keySet())
            && heldViews.values().stream().allMatch(members -> members.equals(runningNow));
    if (agree && disagreeSinceMs >= 0) {
      lastAgreementMs = atMs;
      disagreeSinceMs = -1;
    } else if (!agree && disagreeSinceMs < 0) {
      disagreeSinceMs = atMs;
    }
  }

  /** True if all running couriers hold one view, of exactly the running couriers. */
  public boolean isAgreed() {
    return disagreeSinceMs < 0;
  }

  /** When all came to hold one view for the last time, ms. */
  public long lastAgreementMs() {
    return lastAgreementMs;
  }

  /**
   * For each ended process, how long, ms, until the last of the running couriers knew of its end;
   * ends that no courier knows of are left out.
   */
  public List<Long> detectionTimesMs() {
    final List<Long> times = new ArrayList<>();
    endedMs.forEach(
        (incarnation, atMs) -> {
          long longestMs = 0;
          for (final String name : runningByName.keySet()) {
            final Long knownMs = knownEnds.getOrDefault(incarnation, Map.of()).get(name);
            // A courier that started later never held a view with that incarnation.
            longestMs =
                Math.max(
                    longestMs, knownMs == null || startedMs.get(name) > atMs ? 0 : knownMs - atMs);
          }
          if (longestMs > 0) {
            times.add(longestMs);
          }
        });
    return times;
  }

  /** The number of processes that ended. */
  public int endedCount() {
    return endedMs.size();
  }

  /** The number of different views. */
  public int viewCount() {
    return viewCount;
  }

  /** The number of incarnations that were wrongly declared dead. */
  public int wronglyDeadCount() {
    return wronglyDead.size();
  }

  /** The violations found so far. */
  public List<String> violations() {
    return violations;
  }
}
