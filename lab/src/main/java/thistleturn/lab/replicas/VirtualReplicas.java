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
 * Plays a schedule of faults on virtual couriers that hold the fleet's state. Each has a clock of
 * its own; messages are lost, doubled, late and cut off as the schedule says; a killed one starts
 * again from what it had put down, which may be some seconds old, torn (then nothing), or from a
 * folder that was wiped.
 */
public final class VirtualReplicas {
  private static final long MS = 1000;
  private static final long SECOND_US = 1_000_000;
  private static final long LEAST_DELAY_US = 200;
  private static final long MORE_DELAY_US = 2 * MS;
  private static final long AGAIN_US = 200 * MS;

  /** How soon it is known that one began or ended: what peers take for it. */
  private static final long KNOWN_US = 900 * MS;

  private static final long PUT_DOWN_US = 2 * SECOND_US;

  /** Clocks differ by up to so long. */
  private static final long SKEW_US = 3600 * SECOND_US;

  private final EventQueue agenda = new EventQueue(10 * SKEW_US);
  private final long beganUs = agenda.nowUs();
  private final Schedule schedule;
  private final ReplicationSettings rules;
  private final SplittableRandom random;
  private final Courier[] couriers;
  private final PutDown[] folders;
  private final long[] skewUs;
  private final long[] births;
  private final int[][] cuts;
  private final List<String> happened = new ArrayList<>();
  private UnaryOperator<ReplicationMessage> says = message -> message;
  private boolean keepsBirth;
  private double loss;
  private double doubled;
  private long jitterUs;
  private long bytes;
  private long messages;

  /** What a courier last put down: entries with the age that they had, and when that was. */
  private record PutDown(List<Delta> deltas, long atUs, long togetherUs) {}

  /** One courier. */
  public final class Courier {
    private final int number;
    private final ReplicationProtocol replicas;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private final Set<Integer> knows = new HashSet<>();
    private final Map<String, Long> firstOutUs = new HashMap<>();
    private boolean stopped;
    private boolean over;

    private Courier(final int number) {
      this.number = number;
      births[number] =
          keepsBirth && births[number] > 0 ? births[number] : Math.max(births[number] + 1, nowUs());
      this.replicas =
          new ReplicationProtocol(
              rules,
              new WriterId(name(number), births[number]),
              random.nextLong(),
              nowUs(),
              new Out(this));
      if (folders[number] != null) {
        replicas.restore(folders[number].deltas, folders[number].togetherUs, nowUs());
      }
      agenda.in(random.nextLong(rules.tickIntervalUs()), this::tick);
      agenda.in(random.nextLong(PUT_DOWN_US), this::putDown);
      agenda.in(
          KNOWN_US,
          () ->
              everyone(
                  other -> {
                    if (!over && other != this) {
                      other.knows.add(number);
                      knows.add(other.number);
                    }
                  }));
    }

    /** Its own clock. */
    public long nowUs() {
      return agenda.nowUs() + skewUs[number];
    }

    /** What it holds. */
    public ReplicationProtocol replicas() {
      return replicas;
    }

    /** Its number. */
    public int number() {
      return number;
    }

    /** When it first held an endpoint for left out, by the time of the schedule, ms; -1: never. */
    public long leftOutMs(final String endpoint) {
      final Long us = firstOutUs.get(endpoint);
      return us == null ? -1 : (us - beganUs) / MS;
    }

    private void tick() {
      if (over) {
        return;
      }
      agenda.in(rules.tickIntervalUs(), this::tick);
      if (!stopped) {
        replicas.setReachablePeers(knows.stream().sorted().map(String::valueOf).toList());
        replicas.tick(nowUs());
      }
    }

    private void putDown() {
      if (!over) {
        agenda.in(PUT_DOWN_US, this::putDown);
        if (!stopped) {
          folders[number] = new PutDown(replicas.allDeltas(), nowUs(), replicas.lastSyncedUs());
        }
      }
    }

    private void run(final Runnable what) {
      if (!over && stopped) {
        waiting.add(what);
      } else if (!over) {
        what.run();
      }
    }

    private void stop(final boolean stop) {
      stopped = stop;
      while (!stopped && !waiting.isEmpty() && !over) {
        waiting.poll().run();
      }
    }

    private void end() {
      over = true;
      agenda.in(
          KNOWN_US,
          () ->
              everyone(
                  other -> {
                    if (couriers[number] == null || couriers[number].over) {
                      other.knows.remove(number);
                    }
                  }));
    }
  }

  /** What a courier sends. */
  private final class Out implements ReplicationActions {
    private final Courier from;

    private Out(final Courier from) {
      this.from = from;
    }

    @Override
    public void send(final String to, final ReplicationMessage message) {
      final int target = Integer.parseInt(to);
      count(message);
      if (cuts[from.number][target] > 0 || random.nextDouble() < loss) {
        return;
      }
      final int times = doubled > 0 && random.nextDouble() < doubled ? 2 : 1;
      final long sentUs = from.nowUs();
      for (int copy = 0; copy < times; copy++) {
        agenda.in(delayUs(), () -> arrive(target, message, sentUs));
      }
    }

    /**
     * Over a connection: what is lost is sent again, and what is cut off waits for the cut to end
     * or is lost with it.
     */
    @Override
    public void sendOverConnection(final String to, final ReplicationMessage message) {
      final int target = Integer.parseInt(to);
      count(message);
      long delayUs = delayUs();
      while (random.nextDouble() < loss) {
        delayUs += AGAIN_US;
      }
      final long sentUs = from.nowUs();
      if (cuts[from.number][target] == 0) {
        agenda.in(delayUs, () -> arrive(target, message, sentUs));
      }
    }

    private void count(final ReplicationMessage message) {
      messages++;
      bytes += message.estimatedBytes();
    }

    private void arrive(final int target, final ReplicationMessage message, final long sentUs) {
      final Courier there = couriers[target];
      if (there != null && cuts[from.number][target] == 0) {
        // Ages are what passes between clocks; what was on its way, or lay unread, is thought to be
        // as much younger.
        there.run(
            () ->
                there.replicas.onMessage(
                    String.valueOf(from.number),
                    moved(says.apply(message), there.nowUs() - sentUs),
                    there.nowUs()));
      }
    }

    @Override
    public void onSubjectChanged(final EntryType kind, final String subject) {
      if (kind == EntryType.MAINTENANCE
          && from.replicas != null
          && from.replicas.mergedValue(kind, subject).state().equals("left out")) {
        from.firstOutUs.putIfAbsent(subject, agenda.nowUs());
      }
    }

    @Override
    public void onEvent(final String text) {
      happened.add(name(from.number) + ": " + text);
    }
  }

  /** A schedule for couriers that begin with nothing. */
  public VirtualReplicas(final Schedule schedule, final ReplicationSettings rules) {
    this.schedule = schedule;
    this.rules = rules;
    this.random = new SplittableRandom(schedule.seed());
    final int members = schedule.members();
    this.couriers = new Courier[members];
    this.folders = new PutDown[members];
    this.births = new long[members];
    this.cuts = new int[members][members];
    this.skewUs = new long[members];
    for (int number = 0; number < members; number++) {
      skewUs[number] = random.nextLong(-SKEW_US, SKEW_US);
    }
    for (int number = 0; number < members; number++) {
      couriers[number] = new Courier(number);
    }
  }

  /** Has that done to whatever is said: faults that are planted. */
  public VirtualReplicas saying(final UnaryOperator<ReplicationMessage> how) {
    says = how;
    return this;
  }

  /** A fault that is planted: a life that starts again writes on as the one before. */
  public VirtualReplicas keepingBirths() {
    keepsBirth = true;
    return this;
  }

  private static String name(final int number) {
    return String.format("n%03d", number);
  }

  private long delayUs() {
    return LEAST_DELAY_US
        + random.nextLong(MORE_DELAY_US)
        + (jitterUs > 0 ? random.nextLong(jitterUs) : 0);
  }

  /** The same entries on another's clock. */
  private static ReplicationMessage moved(final ReplicationMessage message, final long byUs) {
    if (message instanceof ReplicationMessage.EntryBroadcast news) {
      return new ReplicationMessage.EntryBroadcast(movedAll(news.deltas(), byUs));
    }
    return message instanceof ReplicationMessage.DeltaBatch piece
        ? new ReplicationMessage.DeltaBatch(
            piece.partition(),
            piece.partitionCount(),
            movedAll(piece.deltas(), byUs),
            piece.hasMore())
        : message;
  }

  private static List<Delta> movedAll(final List<Delta> deltas, final long byUs) {
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
                                    entry.createdUs() + byUs,
                                    entry.fields()))
                        .toList()))
        .toList();
  }

  /** Plans something for a moment of the schedule. */
  public void at(final long ms, final Runnable what) {
    agenda.at(beganUs + ms * MS, what);
  }

  /** Plays it to its end. */
  public void play() {
    for (final Fault fault : schedule.faults()) {
      agenda.at(beganUs + fault.atMs() * MS, () -> begin(fault));
    }
    final long endUs = beganUs + schedule.endMs() * MS;
    while (agenda.step(endUs)) {}
  }

  /** Goes on until all that run hold the same, at most so long; the time that took, ms, or -1. */
  public long settle(final long mostMs) {
    final long fromUs = agenda.nowUs();
    while (!isEqual() && agenda.nowUs() - fromUs < mostMs * MS) {
      agenda.step(agenda.nowUs() + 10 * MS);
    }
    return isEqual() ? (agenda.nowUs() - fromUs) / MS : -1;
  }

  private void begin(final Fault fault) {
    final long untilUs = fault.forMs() == 0 ? Long.MAX_VALUE : agenda.nowUs() + fault.forMs() * MS;
    switch (fault.kind()) {
      case KILL, LEAVE -> each(fault, Courier::end);
      case START ->
          fault
              .targets()
              .forEach(
                  number -> {
                    if (couriers[number] == null || couriers[number].over) {
                      couriers[number] = new Courier(number);
                    }
                  });
      case PAUSE, STARVE ->
          each(
              fault,
              courier -> {
                courier.stop(true);
                agenda.at(untilUs, () -> courier.stop(false));
              });
      case CUT -> {
        cut(fault, 1);
        agenda.at(untilUs, () -> cut(fault, -1));
      }
      case LOSS -> loss = fault.value();
      case DOUBLE -> doubled = fault.value();
      case DELAY -> jitterUs = (long) (fault.value() * MS);
      // A connection that is reset loses one piece at most: as many are lost by cuts.
      case BREAK -> {}
    }
    if (fault.forMs() > 0 && fault.targets().isEmpty()) {
      agenda.at(untilUs, () -> begin(new Fault(0, 0, fault.kind(), List.of(), List.of(), 0)));
    }
  }

  private void cut(final Fault fault, final int by) {
    fault.targets().forEach(one -> fault.others().forEach(other -> cuts[one][other] += by));
  }

  private void each(final Fault fault, final Consumer<Courier> what) {
    for (final int number : fault.targets()) {
      if (couriers[number] != null && !couriers[number].over) {
        what.accept(couriers[number]);
      }
    }
  }

  private void everyone(final Consumer<Courier> what) {
    for (final Courier courier : couriers) {
      if (courier != null && !courier.over) {
        what.accept(courier);
      }
    }
  }

  /** A courier that runs or stands still, or null. */
  public Courier courier(final int number) {
    return couriers[number] == null || couriers[number].over ? null : couriers[number];
  }

  /** Those that run or stand still. */
  public List<Courier> running() {
    final List<Courier> running = new ArrayList<>();
    everyone(running::add);
    return running;
  }

  /** Loses what a courier that does not run had put down. */
  public void wipe(final int number) {
    folders[number] = null;
  }

  /** True if all that run hold the same. */
  public boolean isEqual() {
    return running().stream().map(courier -> courier.replicas.checksum()).distinct().count() <= 1;
  }

  /** How many hold which sum. */
  public Map<Long, Integer> sums() {
    final Map<Long, Integer> sums = new TreeMap<>();
    running().forEach(courier -> sums.merge(courier.replicas.checksum(), 1, Integer::sum));
    return sums;
  }

  /** The time of the schedule, ms. */
  public long nowMs() {
    return (agenda.nowUs() - beganUs) / MS;
  }

  /** Bytes that were sent, about. */
  public long bytes() {
    return bytes;
  }

  /** Messages that were sent. */
  public long messages() {
    return messages;
  }

  /** What couriers told their operators. */
  public List<String> happened() {
    return happened;
  }
}
