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
 * A random schedule with random words, and a judge of what must come of it. The judge keeps every
 * word by hand that was ever said, and which words its speaker knew of; what must stand in the end
 * follows from that alone, without the module's rules.
 */
public final class ReplicasDay {
  private static final long SECOND_US = 1_000_000;
  private static final long END_MS = 40_000;
  private static final long CALM_MS = 12_000;
  private static final long SETTLE_MS = 8000;
  private static final int ENDPOINTS = 4;
  private static final int DESTINATIONS = 3;

  private final Schedule schedule;
  private final VirtualReplicas world;
  private final SplittableRandom random;
  private final List<Said> said = new ArrayList<>();
  private final List<String> broken = new ArrayList<>();
  private long settledMs = -1;

  /** A word by hand, and what it took the place of, directly or by way of others. */
  private record Said(
      String endpoint, WriterId writer, long version, boolean out, Set<Said> before) {
    @Override
    public boolean equals(final Object other) {
      return other instanceof Said one
          && one.writer.equals(writer)
          && one.version == version
          && one.endpoint.equals(endpoint);
    }

    @Override
    public int hashCode() {
      return writer.hashCode() * 31 + Long.hashCode(version);
    }
  }

  private ReplicasDay(final Schedule schedule) {
    this.schedule = schedule;
    this.world = new VirtualReplicas(schedule, ReplicationSettings.defaults());
    this.random = new SplittableRandom(schedule.seed() * 7919);
  }

  /** A day by lot. */
  public static ReplicasDay random(final long seed, final int members, final double loss) {
    final Schedule schedule =
        Schedule.random(
            seed,
            members,
            END_MS,
            new Schedule.FaultMix(loss, true, true, 5000, true, true, false, false));
    final ReplicasDay day = new ReplicasDay(schedule);
    for (long ms = 1000; ms < END_MS - CALM_MS; ms += 100 + day.random.nextInt(900)) {
      day.world.at(ms, day::speak);
    }
    return day;
  }

  /** The schedule. */
  public Schedule schedule() {
    return schedule;
  }

  /** The couriers. */
  public VirtualReplicas world() {
    return world;
  }

  /** How long after the last fault and word all copies were equal, ms; -1: never. */
  public long settledMs() {
    return settledMs;
  }

  /** Plays it; tells what is broken, or nothing. */
  public String play() {
    world.at(END_MS - CALM_MS, this::watch);
    world.play();
    final long moreMs = world.settle(SETTLE_MS);
    if (moreMs < 0) {
      broken.add(
          "copies differ " + (CALM_MS + SETTLE_MS) + " ms after the last fault: " + world.sums());
    }
    judgeWords();
    return String.join("; ", broken);
  }

  private void watch() {
    if (world.isEqual()) {
      settledMs = world.nowMs() - (END_MS - CALM_MS);
    } else if (world.nowMs() < END_MS) {
      world.at(world.nowMs() + 20, this::watch);
    }
  }

  private void speak() {
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
      default -> maintain(courier, "e" + random.nextInt(ENDPOINTS), random.nextInt(3) > 0);
    }
  }

  private void maintain(
      final VirtualReplicas.Courier courier, final String endpoint, final boolean out) {
    final Set<Said> before = new HashSet<>();
    for (final Entry word : courier.replicas().entries(EntryType.MAINTENANCE, endpoint)) {
      said.stream()
          .filter(
              one ->
                  one.endpoint.equals(endpoint)
                      && one.writer.equals(word.writer())
                      && one.version == word.version())
          .forEach(
              one -> {
                before.add(one);
                before.addAll(one.before);
              });
    }
    courier.replicas().setEndpointDisabled(endpoint, out, "o", courier.nowUs());
    courier.replicas().entries(EntryType.MAINTENANCE, endpoint).stream()
        .filter(word -> word.writer().equals(courier.replicas().self()))
        .forEach(word -> said.add(new Said(endpoint, word.writer(), word.version(), out, before)));
  }

  /**
   * Words that are held must be those that no other word that is held had known of; none that a
   * held one knew of.
   */
  private void judgeWords() {
    for (final VirtualReplicas.Courier courier : world.running()) {
      for (int number = 0; number < ENDPOINTS; number++) {
        final String endpoint = "e" + number;
        final Set<Said> held = new HashSet<>();
        for (final Entry word : courier.replicas().entries(EntryType.MAINTENANCE, endpoint)) {
          final Said found =
              said.stream()
                  .filter(
                      one ->
                          one.endpoint.equals(endpoint)
                              && one.writer.equals(word.writer())
                              && one.version == word.version())
                  .findFirst()
                  .orElse(null);
          if (found == null) {
            broken.add(endpoint + ": a word that nobody said: " + word);
          } else {
            held.add(found);
          }
        }
        for (final Said one : held) {
          if (held.stream().anyMatch(other -> other.before.contains(one))) {
            broken.add(endpoint + ": came back: version " + one.version + " of " + one.writer);
          }
        }
        final String state =
            courier.replicas().mergedValue(EntryType.MAINTENANCE, endpoint).state();
        final String expected =
            held.isEmpty()
                ? "nothing"
                : held.stream().anyMatch(Said::out) ? "left out" : "may serve";
        if (!state.equals(expected)) {
          broken.add(endpoint + ": " + state + ", not " + expected);
        }
        lost(courier, endpoint, held);
      }
    }
  }

  /**
   * A word is missing that is neither held nor known of by one that is, though its speaker still
   * runs.
   */
  private void lost(
      final VirtualReplicas.Courier courier, final String endpoint, final Set<Said> held) {
    final Set<WriterId> alive = new TreeSet<>();
    world.running().forEach(one -> alive.add(one.replicas().self()));
    for (final Said one : said) {
      if (one.endpoint.equals(endpoint)
          && alive.contains(one.writer)
          && !held.contains(one)
          && held.stream()
              .noneMatch(
                  other ->
                      other.before.contains(one)
                          || (other.writer.equals(one.writer) && other.version > one.version))) {
        broken.add(
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

  /** Which words were said, by endpoint, how many. */
  public Map<String, Integer> tally() {
    final Map<String, Integer> tally = new TreeMap<>();
    said.forEach(one -> tally.merge(one.endpoint, 1, Integer::sum));
    return tally;
  }
}
