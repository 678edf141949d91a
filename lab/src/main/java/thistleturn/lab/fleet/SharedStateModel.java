package thistleturn.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.replicas.Delta;
import thistleturn.decisions.replicas.Entry;
import thistleturn.decisions.replicas.EntryType;
import thistleturn.decisions.replicas.MergedValue;
import thistleturn.decisions.replicas.ReplicationActions;
import thistleturn.decisions.replicas.ReplicationMessage;
import thistleturn.decisions.replicas.ReplicationProtocol;
import thistleturn.decisions.replicas.ReplicationSettings;
import thistleturn.decisions.replicas.WriterId;

/**
 * Exchanges state about destinations between the couriers of a virtual fleet: through replicas over
 * a simulated network, or through one shared memory.
 */
final class SharedStateModel {
  private static final long MS = 1000;
  private static final long MIN_DELAY_US = 200;
  private static final long DELAY_SPREAD_US = 2 * MS;
  private static final String ISSUER_PREFIX = "fleet: ";

  /**
   * A learned rate is passed on as this multiple of the mean over the couriers that were refused.
   */
  private static final double LEARNED_RATE_SLACK = 1.1;

  private final VirtualFleet fleet;
  private final Sharing sharing;
  private final SplittableRandom random;
  private final List<Copy> copies = new ArrayList<>();

  SharedStateModel(
      final VirtualFleet fleet, final Sharing sharing, final int couriers, final long seed) {
    this.fleet = fleet;
    this.sharing = sharing;
    this.random = new SplittableRandom(seed);
    for (int index = 0; index < couriers; index++) {
      copies.add(new Copy(index));
    }
    if (!sharing.sharedMemory()) {
      copies.forEach(
          copy ->
              fleet.events.in(
                  random.nextLong(ReplicationSettings.defaults().tickIntervalUs()), copy::tick));
    }
  }

  private static String name(final int index) {
    return String.format("n%03d", index);
  }

  /** One courier's replica; it outlives the courier's processes, as its state folder does. */
  private final class Copy implements ReplicationActions {
    private final int index;
    private final ReplicationProtocol replicas;
    private final List<String> others = new ArrayList<>();

    Copy(final int index) {
      this.index = index;
      this.replicas =
          new ReplicationProtocol(
              ReplicationSettings.defaults(),
              new WriterId(name(index), 1),
              random.nextLong(),
              fleet.events.nowUs(),
              this);
    }

    private void tick() {
      fleet.events.in(ReplicationSettings.defaults().tickIntervalUs(), this::tick);
      if (others.isEmpty()) {
        for (int other = 0; other < copies.size(); other++) {
          if (other != index) {
            others.add(String.valueOf(other));
          }
        }
        replicas.setReachablePeers(others);
      }
      if (fleet.isRunning(index)) {
        replicas.tick(fleet.events.nowUs());
      }
    }

    @Override
    public void send(final String to, final ReplicationMessage message) {
      if (sharing.loss() == 0 || random.nextDouble() >= sharing.loss()) {
        sendOverConnection(to, message);
      }
    }

    @Override
    public void sendOverConnection(final String to, final ReplicationMessage message) {
      final long sentUs = fleet.events.nowUs();
      fleet.events.in(
          MIN_DELAY_US + random.nextLong(DELAY_SPREAD_US),
          () -> {
            final int target = Integer.parseInt(to);
            if (fleet.isRunning(target)) {
              copies
                  .get(target)
                  .replicas
                  .onMessage(
                      String.valueOf(index),
                      withCreationShifted(message, fleet.events.nowUs() - sentUs),
                      fleet.events.nowUs());
            }
          });
    }

    @Override
    public void onSubjectChanged(final EntryType kind, final String subject) {
      if (!sharing.sharedMemory()) {
        notifyCourier(index, replicas.mergedValue(kind, subject), replicas.self());
      }
    }

    @Override
    public void onEvent(final String text) {
      throw new IllegalStateException(text);
    }
  }

  /**
   * Adds the network delay to the creation times: all couriers share one clock here, while a real
   * receiver dates an entry by its age at sending.
   */
  private static ReplicationMessage withCreationShifted(
      final ReplicationMessage message, final long byUs) {
    if (message instanceof ReplicationMessage.EntryBroadcast broadcast) {
      return new ReplicationMessage.EntryBroadcast(
          broadcast.deltas().stream().map(delta -> withCreationShifted(delta, byUs)).toList());
    }
    return message instanceof ReplicationMessage.DeltaBatch batch
        ? new ReplicationMessage.DeltaBatch(
            batch.partition(),
            batch.partitionCount(),
            batch.deltas().stream().map(delta -> withCreationShifted(delta, byUs)).toList(),
            batch.hasMore())
        : message;
  }

  private static Delta withCreationShifted(final Delta delta, final long byUs) {
    return new Delta(
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
            .toList());
  }

  /**
   * Passes a merged value to a courier's decisions as a directive, unless the courier wrote it
   * itself.
   */
  private void notifyCourier(final int courier, final MergedValue merged, final WriterId self) {
    if (!merged.isPresent()
        || merged.writers().contains(self)
        || !sharing.kinds().contains(merged.type())) {
      return;
    }
    final String by = ISSUER_PREFIX + merged.writers().get(0).name();
    final int destination = Integer.parseInt(merged.subject());
    switch (merged.type()) {
      case WAIT ->
          fleet.onDirective(
              courier, destination, Directive.of(Directive.Kind.WAIT, by, merged.untilUs()));
      case OUTAGE ->
          fleet.onDirective(
              courier,
              destination,
              new Directive(
                  merged.state().equals("out") ? Directive.Kind.OUTAGE : Directive.Kind.RETURN,
                  merged.sinceUs(),
                  by,
                  merged.untilUs()));
      case LEARNT ->
          fleet.onDirective(
              courier,
              destination,
              new Directive(
                  Directive.Kind.RATE,
                  LEARNED_RATE_SLACK * merged.value(),
                  "fleet",
                  merged.untilUs()));
      default -> {}
    }
  }

  /** Writes an entry for one courier; with shared memory, every other courier reads it at once. */
  private void write(
      final int courier,
      final EntryType kind,
      final int destination,
      final Consumer<ReplicationProtocol> what) {
    if (!sharing.kinds().contains(kind)) {
      return;
    }
    final ReplicationProtocol own = copies.get(courier).replicas;
    what.accept(own);
    if (sharing.sharedMemory()) {
      final List<Delta> all = own.allDeltas();
      final List<MergedValue> mergedValues = new ArrayList<>();
      for (final Copy other : copies) {
        if (other.index != courier) {
          other.replicas.onMessage(
              String.valueOf(courier),
              new ReplicationMessage.DeltaBatch(0, 1, all, false),
              fleet.events.nowUs());
        }
        mergedValues.add(other.replicas.mergedValue(kind, String.valueOf(destination)));
      }
      for (final Copy other : copies) {
        notifyCourier(other.index, mergedValues.get(other.index), other.replicas.self());
      }
    }
  }

  void recordWait(final int courier, final int destination, final long untilUs) {
    write(
        courier,
        EntryType.WAIT,
        destination,
        own -> own.recordWait(String.valueOf(destination), untilUs, fleet.events.nowUs()));
  }

  void recordOutage(final int courier, final int destination, final boolean isOut) {
    write(
        courier,
        EntryType.OUTAGE,
        destination,
        own -> own.recordOutage(String.valueOf(destination), isOut, fleet.events.nowUs()));
  }

  void recordLearnedRate(final int courier, final int destination, final double perSecond) {
    write(
        courier,
        EntryType.LEARNT,
        destination,
        own -> own.recordLearnedRate(String.valueOf(destination), perSecond, fleet.events.nowUs()));
  }

  /** Passes all merged values to a courier that has restarted. */
  void onCourierStarted(final int courier) {
    final ReplicationProtocol own = copies.get(courier).replicas;
    final TreeMap<String, EntryType> subjects = new TreeMap<>();
    for (final EntryType kind : sharing.kinds()) {
      own.subjects(kind).forEach(subject -> subjects.put(subject + ' ' + kind, kind));
    }
    subjects.forEach(
        (key, kind) ->
            notifyCourier(
                courier, own.mergedValue(kind, key.split(" ")[0]), new WriterId("nobody", 1)));
  }

  /** Bytes sent by all replicas. */
  long bytes() {
    return copies.stream().mapToLong(copy -> copy.replicas.sentBytes()).sum();
  }
}
