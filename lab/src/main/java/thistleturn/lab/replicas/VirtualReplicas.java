package thistleturn.lab.replicas;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import thistleturn.decisions.replicas.Delta;
import thistleturn.decisions.replicas.Entry;
import thistleturn.decisions.replicas.EntryType;
import thistleturn.decisions.replicas.ReplicationActions;
import thistleturn.decisions.replicas.ReplicationMessage;
import thistleturn.decisions.replicas.ReplicationProtocol;
import thistleturn.decisions.replicas.ReplicationSettings;
import thistleturn.decisions.replicas.WriterId;
import thistleturn.lab.virtual.EventQueue;
import thistleturn.testkit.rig.Fault;
import thistleturn.testkit.rig.Schedule;

/**
 * Runs a schedule of faults on simulated couriers that replicate the fleet's state, in virtual
 * time. Each courier has its own clock. Messages are lost, duplicated, delayed and cut off
 * according to the schedule. A killed courier restarts from its last snapshot, which may be some
 * seconds old, or without one if it was wiped or is torn.
 */
public final class VirtualReplicas {
  private static final long MS = 1000;
  private static final long SECOND_US = 1_000_000;
  private static final long MIN_DELAY_US = 200;
  private static final long EXTRA_DELAY_US = 2 * MS;
  private static final long RETRANSMIT_US = 200 * MS;

  /** Delay until the start or end of a courier is known; the time that peers need to detect it. */
  private static final long DETECTION_DELAY_US = 900 * MS;

  private static final long SNAPSHOT_INTERVAL_US = 2 * SECOND_US;

  /** Largest offset of a courier's clock in either direction. */
  private static final long MAX_SKEW_US = 3600 * SECOND_US;

  private final EventQueue events = new EventQueue(10 * MAX_SKEW_US);
  private final long startUs = events.nowUs();
  private final Schedule schedule;
  private final ReplicationSettings settings;
  private final SplittableRandom random;
  private final Courier[] couriers;
  private final Snapshot[] snapshots;
  private final long[] clockOffsetUs;
  private final long[] incarnations;
  private final int[][] cuts;
  private final List<String> eventLines = new ArrayList<>();
  private UnaryOperator<ReplicationMessage> messageTransform = message -> message;
  private boolean reusesIncarnation;
  private double loss;
  private double duplication;
  private long jitterUs;
  private long bytes;
  private long messages;

  /** The last stored state of a courier: the entries, the time of storing and of the last sync. */
  private record Snapshot(List<Delta> deltas, long savedUs, long lastSyncedUs) {}

  /** One simulated courier. */
  public final class Courier {
    private final int number;
    private final ReplicationProtocol replicas;
    private final Deque<Runnable> deferred = new ArrayDeque<>();
    private final Set<Integer> knownPeers = new HashSet<>();
    private final Map<String, Long> firstDisabledUs = new HashMap<>();
    private boolean paused;
    private boolean ended;

    private Courier(final int number) {
      this.number = number;
      incarnations[number] =
          reusesIncarnation && incarnations[number] > 0
              ? incarnations[number]
              : Math.max(incarnations[number] + 1, nowUs());
      this.replicas =
          new ReplicationProtocol(
              settings,
              new WriterId(name(number), incarnations[number]),
              random.nextLong(),
              nowUs(),
              new SimulatedNetwork(this));
      if (snapshots[number] != null) {
        replicas.restore(snapshots[number].deltas, snapshots[number].lastSyncedUs, nowUs());
      }
      events.in(random.nextLong(settings.tickIntervalUs()), this::tick);
      events.in(random.nextLong(SNAPSHOT_INTERVAL_US), this::saveSnapshot);
      events.in(
          DETECTION_DELAY_US,
          () ->
              forEachRunning(
                  other -> {
                    if (!ended && other != this) {
                      other.knownPeers.add(number);
                      knownPeers.add(other.number);
                    }
                  }));
    }

    /** Time on the courier's own clock, us. */
    public long nowUs() {
      return events.nowUs() + clockOffsetUs[number];
    }

    /** The courier's replica. */
    public ReplicationProtocol replicas() {
      return replicas;
    }

    /** Index of the courier. */
    public int number() {
      return number;
    }

    /** When the courier first regarded the endpoint as disabled, ms of the schedule; -1: never. */
    public long disabledAtMs(final String endpoint) {
      final Long us = firstDisabledUs.get(endpoint);
      return us == null ? -1 : (us - startUs) / MS;
    }

    private void tick() {
      if (ended) {
        return;
      }
      events.in(settings.tickIntervalUs(), this::tick);
      if (!paused) {
        replicas.setReachablePeers(knownPeers.stream().sorted().map(String::valueOf).toList());
        replicas.tick(nowUs());
      }
    }

    private void saveSnapshot() {
      if (!ended) {
        events.in(SNAPSHOT_INTERVAL_US, this::saveSnapshot);
        if (!paused) {
          snapshots[number] = new Snapshot(replicas.allDeltas(), nowUs(), replicas.lastSyncedUs());
        }
      }
    }

    private void run(final Runnable action) {
      if (!ended && paused) {
        deferred.add(action);
      } else if (!ended) {
        action.run();
      }
    }

    private void setPaused(final boolean pause) {
      paused = pause;
      while (!paused && !deferred.isEmpty() && !ended) {
        deferred.poll().run();
      }
    }

    private void end() {
      ended = true;
      events.in(
          DETECTION_DELAY_US,
          () ->
              forEachRunning(
                  other -> {
                    if (couriers[number] == null || couriers[number].ended) {
                      other.knownPeers.remove(number);
                    }
                  }));
    }
  }

  /** The simulated network as seen by one courier. */
  private final class SimulatedNetwork implements ReplicationActions {
    private final Courier from;

    private SimulatedNetwork(final Courier from) {
      this.from = from;
    }

    @Override
    public void send(final String to, final ReplicationMessage message) {
      final int target = Integer.parseInt(to);
      countSent(message);
      if (cuts[from.number][target] > 0 || random.nextDouble() < loss) {
        return;
      }
      final int copies = duplication > 0 && random.nextDouble() < duplication ? 2 : 1;
      final long sentUs = from.nowUs();
      for (int copy = 0; copy < copies; copy++) {
        events.in(delayUs(), () -> arrive(target, message, sentUs));
      }
    }

    /**
     * Sends over a connection: lost segments are retransmitted, and a message that meets a cut is
     * lost.
     */
    @Override
    public void sendOverConnection(final String to, final ReplicationMessage message) {
      final int target = Integer.parseInt(to);
      countSent(message);
      long delayUs = delayUs();
      while (random.nextDouble() < loss) {
        delayUs += RETRANSMIT_US;
      }
      final long sentUs = from.nowUs();
      if (cuts[from.number][target] == 0) {
        events.in(delayUs, () -> arrive(target, message, sentUs));
      }
    }

    private void countSent(final ReplicationMessage message) {
      messages++;
      bytes += message.estimatedBytes();
    }

    private void arrive(final int target, final ReplicationMessage message, final long sentUs) {
      final Courier receiver = couriers[target];
      if (receiver != null && cuts[from.number][target] == 0) {
        // Entries carry ages, since clocks differ. Time in transit or in the receiver's queue is
        // not
        // counted, so entries appear younger by that time.
        receiver.run(
            () ->
                receiver.replicas.onMessage(
                    String.valueOf(from.number),
                    shiftTimes(messageTransform.apply(message), receiver.nowUs() - sentUs),
                    receiver.nowUs()));
      }
    }

    @Override
    public void onSubjectChanged(final EntryType kind, final String subject) {
      if (kind == EntryType.MAINTENANCE
          && from.replicas != null
          && from.replicas.mergedValue(kind, subject).state().equals("left out")) {
        from.firstDisabledUs.putIfAbsent(subject, events.nowUs());
      }
    }

    @Override
    public void onEvent(final String text) {
      eventLines.add(name(from.number) + ": " + text);
    }
  }

  /** Creates a simulation of a schedule; all couriers start without entries. */
  public VirtualReplicas(final Schedule schedule, final ReplicationSettings settings) {
    this.schedule = schedule;
    this.settings = settings;
    this.random = new SplittableRandom(schedule.seed());
    final int members = schedule.members();
    this.couriers = new Courier[members];
    this.snapshots = new Snapshot[members];
    this.incarnations = new long[members];
    this.cuts = new int[members][members];
    this.clockOffsetUs = new long[members];
    for (int number = 0; number < members; number++) {
      clockOffsetUs[number] = random.nextLong(-MAX_SKEW_US, MAX_SKEW_US);
    }
    for (int number = 0; number < members; number++) {
      couriers[number] = new Courier(number);
    }
  }

  /** Applies the function to each message received, to plant faults. */
  public VirtualReplicas transformingMessages(final UnaryOperator<ReplicationMessage> transform) {
    messageTransform = transform;
    return this;
  }

  /** Planted fault: a restarted courier writes under the incarnation of its predecessor. */
  public VirtualReplicas reusingIncarnations() {
    reusesIncarnation = true;
    return this;
  }

  private static String name(final int number) {
    return String.format("n%03d", number);
  }

  private long delayUs() {
    return MIN_DELAY_US
        + random.nextLong(EXTRA_DELAY_US)
        + (jitterUs > 0 ? random.nextLong(jitterUs) : 0);
  }

  /** Shifts the creation times of a message's entries to another courier's clock. */
  private static ReplicationMessage shiftTimes(
      final ReplicationMessage message, final long offsetUs) {
    if (message instanceof ReplicationMessage.EntryBroadcast broadcast) {
      return new ReplicationMessage.EntryBroadcast(shiftAll(broadcast.deltas(), offsetUs));
    }
    return message instanceof ReplicationMessage.DeltaBatch batch
        ? new ReplicationMessage.DeltaBatch(
            batch.partition(),
            batch.partitionCount(),
            shiftAll(batch.deltas(), offsetUs),
            batch.hasMore())
        : message;
  }

  private static List<Delta> shiftAll(final List<Delta> deltas, final long offsetUs) {
    return deltas.stream()
        .map(
            delta ->
                new Delta(
                    delta.writer(),
                    delta.afterVersion(),
                    delta.upToVersion(),
                    delta.entries().stream()
                        .map(
                            entry ->
                                new Entry(
                                    entry.typeCode(),
                                    entry.subject(),
                                    entry.writer(),
                                    entry.version(),
                                    entry.ttlUs(),
                                    entry.createdUs() + offsetUs,
                                    entry.fields()))
                        .toList()))
        .toList();
  }

  /** Schedules an action at a time of the schedule, ms. */
  public void at(final long ms, final Runnable action) {
    events.at(startUs + ms * MS, action);
  }

  /** Runs the schedule to its end. */
  public void play() {
    for (final Fault fault : schedule.faults()) {
      events.at(startUs + fault.atMs() * MS, () -> applyFault(fault));
    }
    final long endUs = startUs + schedule.endMs() * MS;
    while (events.step(endUs)) {}
  }

  /**
   * Continues until all running couriers hold the same entries, for at most the given time; returns
   * the time that took, ms, or -1.
   */
  public long settle(final long maxMs) {
    final long fromUs = events.nowUs();
    while (!isEqual() && events.nowUs() - fromUs < maxMs * MS) {
      events.step(events.nowUs() + 10 * MS);
    }
    return isEqual() ? (events.nowUs() - fromUs) / MS : -1;
  }

  private void applyFault(final Fault fault) {
    final long untilUs = fault.forMs() == 0 ? Long.MAX_VALUE : events.nowUs() + fault.forMs() * MS;
    switch (fault.kind()) {
      case KILL, LEAVE -> forEachTarget(fault, Courier::end);
      case START ->
          fault
              .targets()
              .forEach(
                  number -> {
                    if (couriers[number] == null || couriers[number].ended) {
                      couriers[number] = new Courier(number);
                    }
                  });
      case PAUSE, STARVE ->
          forEachTarget(
              fault,
              courier -> {
                courier.setPaused(true);
                events.at(untilUs, () -> courier.setPaused(false));
              });
      case CUT -> {
        changeCuts(fault, 1);
        events.at(untilUs, () -> changeCuts(fault, -1));
      }
      case LOSS -> loss = fault.value();
      case DOUBLE -> duplication = fault.value();
      case DELAY -> jitterUs = (long) (fault.value() * MS);
      // A connection reset loses one batch at most, which cuts already cover.
      case BREAK -> {}
    }
    if (fault.forMs() > 0 && fault.targets().isEmpty()) {
      events.at(untilUs, () -> applyFault(new Fault(0, 0, fault.kind(), List.of(), List.of(), 0)));
    }
  }

  private void changeCuts(final Fault fault, final int delta) {
    fault.targets().forEach(one -> fault.others().forEach(other -> cuts[one][other] += delta));
  }

  private void forEachTarget(final Fault fault, final Consumer<Courier> action) {
    for (final int number : fault.targets()) {
      if (couriers[number] != null && !couriers[number].ended) {
        action.accept(couriers[number]);
      }
    }
  }

  private void forEachRunning(final Consumer<Courier> action) {
    for (final Courier courier : couriers) {
      if (courier != null && !courier.ended) {
        action.accept(courier);
      }
    }
  }

  /** A courier that runs or is paused, or null. */
  public Courier courier(final int number) {
    return couriers[number] == null || couriers[number].ended ? null : couriers[number];
  }

  /** The couriers that run or are paused. */
  public List<Courier> running() {
    final List<Courier> running = new ArrayList<>();
    forEachRunning(running::add);
    return running;
  }

  /** Deletes the snapshot of a courier that does not run. */
  public void wipe(final int number) {
    snapshots[number] = null;
  }

  /** Returns true if all running couriers hold the same entries. */
  public boolean isEqual() {
    return running().stream().map(courier -> courier.replicas.checksum()).distinct().count() <= 1;
  }

  /** Number of couriers by checksum. */
  public Map<Long, Integer> checksums() {
    final Map<Long, Integer> checksums = new TreeMap<>();
    running().forEach(courier -> checksums.merge(courier.replicas.checksum(), 1, Integer::sum));
    return checksums;
  }

  /** Time since the start of the schedule, ms. */
  public long nowMs() {
    return (events.nowUs() - startUs) / MS;
  }

  /** Estimated number of bytes sent. */
  public long bytes() {
    return bytes;
  }

  /** Number of messages sent. */
  public long messages() {
    return messages;
  }

  /** The events reported by all couriers. */
  public List<String> eventLines() {
    return eventLines;
  }
}
