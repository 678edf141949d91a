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
 * What the couriers of a virtual fleet tell each other of their partners: by copies over a network,
 * or by one memory that all share.
 */
final class SharedStateModel {
  private static final long MS = 1000;
  private static final long LEAST_DELAY_US = 200;
  private static final long MORE_DELAY_US = 2 * MS;
  private static final String BY = "fleet: ";

  /**
   * What is said of a rate that was learnt: so much more than the mean of those who were refused.
   */
  private static final double LEARNT_SLACK = 1.1;

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
    if (!sharing.perfect()) {
      copies.forEach(
          copy ->
              fleet.agenda.in(
                  random.nextLong(ReplicationSettings.defaults().tickIntervalUs()), copy::tick));
    }
  }

  private static String name(final int index) {
    return String.format("n%03d", index);
  }

  /** One courier's copy; it outlives the courier's processes, as its folder does. */
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
              fleet.agenda.nowUs(),
              this);
    }

    private void tick() {
      fleet.agenda.in(ReplicationSettings.defaults().tickIntervalUs(), this::tick);
      if (others.isEmpty()) {
        for (int other = 0; other < copies.size(); other++) {
          if (other != index) {
            others.add(String.valueOf(other));
          }
        }
        replicas.setReachablePeers(others);
      }
      if (fleet.isRunning(index)) {
        replicas.tick(fleet.agenda.nowUs());
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
      final long sentUs = fleet.agenda.nowUs();
      fleet.agenda.in(
          LEAST_DELAY_US + random.nextLong(MORE_DELAY_US),
          () -> {
            final int target = Integer.parseInt(to);
            if (fleet.isRunning(target)) {
              copies
                  .get(target)
                  .replicas
                  .onMessage(
                      String.valueOf(index),
                      later(message, fleet.agenda.nowUs() - sentUs),
                      fleet.agenda.nowUs());
            }
          });
    }

    @Override
    public void onSubjectChanged(final EntryType kind, final String subject) {
      if (!sharing.perfect()) {
        tell(index, replicas.mergedValue(kind, subject), replicas.self());
      }
    }

    @Override
    public void onEvent(final String text) {
      throw new IllegalStateException(text);
    }
  }

  /** One clock for all here; what was on its way is thought to be as much younger. */
  private static ReplicationMessage later(final ReplicationMessage message, final long byUs) {
    if (message instanceof ReplicationMessage.EntryBroadcast news) {
      return new ReplicationMessage.EntryBroadcast(
          news.deltas().stream().map(delta -> later(delta, byUs)).toList());
    }
    return message instanceof ReplicationMessage.DeltaBatch piece
        ? new ReplicationMessage.DeltaBatch(
            piece.partition(),
            piece.partitionCount(),
            piece.deltas().stream().map(delta -> later(delta, byUs)).toList(),
            piece.hasMore())
        : message;
  }

  private static Delta later(final Delta delta, final long byUs) {
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

  /** Says to a courier's decisions what counts, unless it comes from itself. */
  private void tell(final int courier, final MergedValue verdict, final WriterId self) {
    if (!verdict.isPresent()
        || verdict.writers().contains(self)
        || !sharing.kinds().contains(verdict.type())) {
      return;
    }
    final String by = BY + verdict.writers().get(0).name();
    final int destination = Integer.parseInt(verdict.subject());
    switch (verdict.type()) {
      case WAIT ->
          fleet.say(courier, destination, Directive.of(Directive.Kind.WAIT, by, verdict.untilUs()));
      case OUTAGE ->
          fleet.say(
              courier,
              destination,
              new Directive(
                  verdict.state().equals("out") ? Directive.Kind.OUTAGE : Directive.Kind.RETURN,
                  verdict.sinceUs(),
                  by,
                  verdict.untilUs()));
      case LEARNT ->
          fleet.say(
              courier,
              destination,
              new Directive(
                  Directive.Kind.RATE, LEARNT_SLACK * verdict.value(), "fleet", verdict.untilUs()));
      default -> {}
    }
  }

  /** Writes something of one courier's; with one memory all read it at once. */
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
    if (sharing.perfect()) {
      final List<Delta> all = own.allDeltas();
      final List<MergedValue> verdicts = new ArrayList<>();
      for (final Copy other : copies) {
        if (other.index != courier) {
          other.replicas.onMessage(
              String.valueOf(courier),
              new ReplicationMessage.DeltaBatch(0, 1, all, false),
              fleet.agenda.nowUs());
        }
        verdicts.add(other.replicas.mergedValue(kind, String.valueOf(destination)));
      }
      for (final Copy other : copies) {
        tell(other.index, verdicts.get(other.index), other.replicas.self());
      }
    }
  }

  void waits(final int courier, final int destination, final long untilUs) {
    write(
        courier,
        EntryType.WAIT,
        destination,
        own -> own.recordWait(String.valueOf(destination), untilUs, fleet.agenda.nowUs()));
  }

  void turned(final int courier, final int destination, final boolean isOut) {
    write(
        courier,
        EntryType.OUTAGE,
        destination,
        own -> own.recordOutage(String.valueOf(destination), isOut, fleet.agenda.nowUs()));
  }

  void learnt(final int courier, final int destination, final double perSecond) {
    write(
        courier,
        EntryType.LEARNT,
        destination,
        own -> own.recordLearnedRate(String.valueOf(destination), perSecond, fleet.agenda.nowUs()));
  }

  /** What counts is said again to a courier that began anew. */
  void begins(final int courier) {
    final ReplicationProtocol own = copies.get(courier).replicas;
    final TreeMap<String, EntryType> subjects = new TreeMap<>();
    for (final EntryType kind : sharing.kinds()) {
      own.subjects(kind).forEach(subject -> subjects.put(subject + ' ' + kind, kind));
    }
    subjects.forEach(
        (key, kind) ->
            tell(courier, own.mergedValue(kind, key.split(" ")[0]), new WriterId("nobody", 1)));
  }

  /** Bytes that all copies sent. */
  long bytes() {
    return copies.stream().mapToLong(copy -> copy.replicas.sentBytes()).sum();
  }
}
