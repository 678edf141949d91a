package thistleturn.lab.replicas;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import thistleturn.decisions.replicas.Entry;
import thistleturn.decisions.replicas.EntryType;
import thistleturn.decisions.replicas.ReplicationSettings;
import thistleturn.decisions.replicas.WriterId;
import thistleturn.testkit.rig.Schedule;

/**
 * A random schedule of faults with random entries, and a check of its result. The check records
 * every disable entry written and the entries its writer knew at that time. The expected final
 * state follows from these records alone, independently of the module's merge rules.
 */
public final class ReplicationScenario {
  private static final long SECOND_US = 1_000_000;
  private static final long END_MS = 40_000;
  private static final long FAULT_FREE_MS = 12_000;
  private static final long SETTLE_MS = 8000;
  private static final int ENDPOINTS = 4;
  private static final int DESTINATIONS = 3;

  private final Schedule schedule;
  private final VirtualReplicas world;
  private final SplittableRandom random;
  private final List<WrittenEntry> written = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private long settledMs = -1;

  /** A disable entry that was written, and the entries it superseded, directly or transitively. */
  private record WrittenEntry(
      String endpoint,
      WriterId writer,
      long version,
      boolean disabled,
      Set<WrittenEntry> superseded) {
    @Override
    public boolean equals(final Object other) {
      return other instanceof WrittenEntry one
          && one.writer.equals(writer)
          && one.version == version
          && one.endpoint.equals(endpoint);
    }

    @Override
    public int hashCode() {
      return writer.hashCode() * 31 + Long.hashCode(version);
    }
  }

  private ReplicationScenario(final Schedule schedule) {
    this.schedule = schedule;
    this.world = new VirtualReplicas(schedule, ReplicationSettings.defaults());
    this.random = new SplittableRandom(schedule.seed() * 7919);
  }

  /** Creates a random scenario. */
  public static ReplicationScenario random(final long seed, final int members, final double loss) {
    final Schedule schedule =
        Schedule.random(
            seed,
            members,
            END_MS,
            new Schedule.FaultMix(loss, true, true, 5000, true, true, false, false));
    final ReplicationScenario scenario = new ReplicationScenario(schedule);
    for (long ms = 1000; ms < END_MS - FAULT_FREE_MS; ms += 100 + scenario.random.nextInt(900)) {
      scenario.world.at(ms, scenario::writeRandomEntry);
    }
    return scenario;
  }

  /** The schedule of faults. */
  public Schedule schedule() {
    return schedule;
  }

  /** The simulation of the couriers. */
  public VirtualReplicas world() {
    return world;
  }

  /**
   * Time from the last fault and entry until all replicas were equal, ms; -1 if they never were.
   */
  public long settledMs() {
    return settledMs;
  }

  /** Runs the scenario and returns the violations found; empty if there are none. */
  public String play() {
    world.at(END_MS - FAULT_FREE_MS, this::checkSettled);
    world.play();
    final long settleMs = world.settle(SETTLE_MS);
    if (settleMs < 0) {
      violations.add(
          "replicas differ "
              + (FAULT_FREE_MS + SETTLE_MS)
              + " ms after the last fault: "
              + world.checksums());
    }
    checkDisableEntries();
    return String.join("; ", violations);
  }

  private void checkSettled() {
    if (world.isEqual()) {
      settledMs = world.nowMs() - (END_MS - FAULT_FREE_MS);
    } else if (world.nowMs() < END_MS) {
      world.at(world.nowMs() + 20, this::checkSettled);
    }
  }

  private void writeRandomEntry() {
    final List<VirtualReplicas.Courier> running = world.running();
    if (running.isEmpty()) {
      return;
    }
    final VirtualReplicas.Courier courier = running.get(random.nextInt(running.size()));
    final String destination = String.valueOf(random.nextInt(DESTINATIONS));
    switch (random.nextInt(5)) {
      case 0 ->
          courier
              .replicas()
              .recordWait(
                  destination, courier.nowUs() + random.nextLong(8 * SECOND_US), courier.nowUs());
      case 1 -> courier.replicas().recordOutage(destination, random.nextBoolean(), courier.nowUs());
      case 2 ->
          courier.replicas().recordRateLimit(destination, 1 + random.nextInt(50), courier.nowUs());
      default -> writeDisableEntry(courier, "e" + random.nextInt(ENDPOINTS), random.nextInt(3) > 0);
    }
  }

  private void writeDisableEntry(
      final VirtualReplicas.Courier courier, final String endpoint, final boolean disabled) {
    final Set<WrittenEntry> superseded = new HashSet<>();
    for (final Entry entry : courier.replicas().entries(EntryType.MAINTENANCE, endpoint)) {
      written.stream()
          .filter(
              one ->
                  one.endpoint.equals(endpoint)
                      && one.writer.equals(entry.writer())
                      && one.version == entry.version())
          .forEach(
              one -> {
                superseded.add(one);
                superseded.addAll(one.superseded);
              });
    }
    courier.replicas().setEndpointDisabled(endpoint, disabled, "o", courier.nowUs());
    courier.replicas().entries(EntryType.MAINTENANCE, endpoint).stream()
        .filter(entry -> entry.writer().equals(courier.replicas().self()))
        .forEach(
            entry ->
                written.add(
                    new WrittenEntry(
                        endpoint, entry.writer(), entry.version(), disabled, superseded)));
  }

  /**
   * Checks that no courier holds an entry that was never written or that another held entry
   * supersedes, and that the merged state follows from the held entries.
   */
  private void checkDisableEntries() {
    for (final VirtualReplicas.Courier courier : world.running()) {
      for (int number = 0; number < ENDPOINTS; number++) {
        final String endpoint = "e" + number;
        final Set<WrittenEntry> held = new HashSet<>();
        for (final Entry entry : courier.replicas().entries(EntryType.MAINTENANCE, endpoint)) {
          final WrittenEntry match =
              written.stream()
                  .filter(
                      one ->
                          one.endpoint.equals(endpoint)
                              && one.writer.equals(entry.writer())
                              && one.version == entry.version())
                  .findFirst()
                  .orElse(null);
          if (match == null) {
            violations.add(endpoint + ": an entry that was never written: " + entry);
          } else {
            held.add(match);
          }
        }
        for (final WrittenEntry one : held) {
          if (held.stream().anyMatch(other -> other.superseded.contains(one))) {
            violations.add(
                endpoint + ": superseded entry held: version " + one.version + " of " + one.writer);
          }
        }
        final String state =
            courier.replicas().mergedValue(EntryType.MAINTENANCE, endpoint).state();
        final String expected =
            held.isEmpty()
                ? "nothing"
                : held.stream().anyMatch(WrittenEntry::disabled) ? "left out" : "may serve";
        if (!state.equals(expected)) {
          violations.add(endpoint + ": " + state + ", not " + expected);
        }
        checkLostEntries(courier, endpoint, held);
      }
    }
  }

  /**
   * Finds lost entries: the writer still runs, but the courier holds neither the entry nor one that
   * supersedes it.
   */
  private void checkLostEntries(
      final VirtualReplicas.Courier courier, final String endpoint, final Set<WrittenEntry> held) {
    final Set<WriterId> runningWriters = new TreeSet<>();
    world.running().forEach(one -> runningWriters.add(one.replicas().self()));
    for (final WrittenEntry one : written) {
      if (one.endpoint.equals(endpoint)
          && runningWriters.contains(one.writer)
          && !held.contains(one)
          && held.stream()
              .noneMatch(
                  other ->
                      other.superseded.contains(one)
                          || (other.writer.equals(one.writer) && other.version > one.version))) {
        violations.add(
            endpoint
                + ": lost at "
                + courier.replicas().self()
                + ": version "
                + one.version
                + " of "
                + one.writer);
      }
    }
  }

  /** Number of disable entries written for each endpoint. */
  public Map<String, Integer> writtenCounts() {
    final Map<String, Integer> counts = new TreeMap<>();
    written.forEach(one -> counts.merge(one.endpoint, 1, Integer::sum));
    return counts;
  }
}
