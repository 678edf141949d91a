package thistleturn.testkit.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Judges what couriers say of one another against what was done to them: of real processes and of
 * virtual ones. It is told which lives begin, end and stand still, and which views couriers hold,
 * all with the time, ms.
 */
public final class FleetChecker {
  private final long pauseLimitMs;

  /** Views by line and number: the promise is that one number has one content. */
  private final Map<String, Set<String>> contents = new HashMap<>();

  private final Map<String, Set<String>> held = new TreeMap<>();
  private final Map<String, String> heldLine = new HashMap<>();
  private final Map<String, String> livesByName = new HashMap<>();
  private final Map<String, Long> startedMs = new HashMap<>();
  private final Map<String, Long> endedMs = new HashMap<>();
  private final Map<String, Long> pausedMs = new HashMap<>();
  private final Map<String, Long> longestPauseMs = new HashMap<>();
  private final Set<String> excused = new HashSet<>();
  private final Map<String, Map<String, Long>> known = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final Set<String> wronglyDead = new HashSet<>();
  private long disagreeSinceMs = -1;
  private long agreedMs;
  private int changes;

  /** A courier that stood still for longer than that may be declared dead. */
  public FleetChecker(final long pauseLimitMs) {
    this.pauseLimitMs = pauseLimitMs;
  }

  /** A life begins: {@code life} is the name with its incarnation, as views have it. */
  public void processStarted(final String name, final String life, final long atMs) {
    if (livesByName.put(name, life) == null) {
      startedMs.put(name, atMs);
    }
  }

  /** A process ends, by a kill or in order. */
  public void processEnded(final String name, final long atMs) {
    endedMs.put(livesByName.get(name), atMs);
    held.remove(name);
    livesByName.remove(name);
  }

  /** A process stands still from now on, or goes on. */
  public void setPaused(final String name, final boolean paused, final long atMs) {
    if (paused) {
      pausedMs.put(name, atMs);
    } else if (pausedMs.containsKey(name)) {
      final long forMs = atMs - pausedMs.remove(name);
      longestPauseMs.merge(name, forMs, Math::max);
    }
  }

  /**
   * A cut begins: those who lose half of the fleet or more for longer than the limit may be
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

  /** A courier holds that view: members are lives. */
  public void viewObserved(
      final String observer,
      final String line,
      final long number,
      final Set<String> members,
      final long atMs) {
    final String view = line + '.' + number;
    final Set<String> before = contents.putIfAbsent(view, members);
    if (before != null && !before.equals(members)) {
      violations.add(
          atMs
              + " ms: view "
              + view
              + " has two contents: "
              + before
              + " and "
              + members
              + " at "
              + observer);
    }
    changes += before == null ? 1 : 0;
    final Set<String> last = held.put(observer, members);
    // Whoever begins another line declares nobody dead by it.
    if (line.equals(heldLine.put(observer, line)) && last != null) {
      for (final String life : last) {
        final String name = life.substring(0, life.indexOf('#'));
        if (!members.contains(life)
            && life.equals(livesByName.get(name))
            && !mayBeDead(name, atMs)) {
          if (wronglyDead.add(life)) {
            violations.add(
                atMs + " ms: " + life + " lives, and is out of view " + view + " of " + observer);
          }
        }
      }
    }
    note(observer, atMs);
    compareViews(atMs);
  }

  private boolean mayBeDead(final String name, final long atMs) {
    final Long since = pausedMs.get(name);
    return excused.contains(name)
        || longestPauseMs.getOrDefault(name, 0L) > pauseLimitMs
        || (since != null && atMs - since > pauseLimitMs);
  }

  private void note(final String observer, final long atMs) {
    final Set<String> members = held.get(observer);
    for (final Map.Entry<String, Long> one : endedMs.entrySet()) {
      if (!members.contains(one.getKey())) {
        known.computeIfAbsent(one.getKey(), life -> new HashMap<>()).putIfAbsent(observer, atMs);
      }
    }
  }

  /** Views are compared again: some courier may have begun or ended. */
  public void compareViews(final long atMs) {
    final Set<String> living = new HashSet<>(livesByName.values());
    final boolean agree =
        held.keySet().containsAll(livesByName.keySet())
            && held.values().stream().allMatch(members -> members.equals(living));
    if (agree && disagreeSinceMs >= 0) {
      agreedMs = atMs;
      disagreeSinceMs = -1;
    } else if (!agree && disagreeSinceMs < 0) {
      disagreeSinceMs = atMs;
    }
  }

  /** True if all that live hold one view, of just those that live. */
  public boolean isAgreed() {
    return disagreeSinceMs < 0;
  }

  /** When all came to hold one view for the last time, ms. */
  public long lastAgreementMs() {
    return agreedMs;
  }

  /**
   * For each life that was ended: how long, ms, until the last of those who live now knew; those
   * nobody knows of are missing.
   */
  public List<Long> detectionTimesMs() {
    final List<Long> times = new ArrayList<>();
    endedMs.forEach(
        (life, atMs) -> {
          long last = 0;
          for (final String name : livesByName.keySet()) {
            final Long knownMs = known.getOrDefault(life, Map.of()).get(name);
            // One that began later never held a view with that life.
            last =
                Math.max(last, knownMs == null || startedMs.get(name) > atMs ? 0 : knownMs - atMs);
          }
          if (last > 0) {
            times.add(last);
          }
        });
    return times;
  }

  /** How many lives were ended. */
  public int endedCount() {
    return endedMs.size();
  }

  /** How many views there were. */
  public int viewCount() {
    return changes;
  }

  /** Lives that were declared dead though nothing allowed it. */
  public int wronglyDeadCount() {
    return wronglyDead.size();
  }

  /** What was not as promised. */
  public List<String> violations() {
    return violations;
  }
}
