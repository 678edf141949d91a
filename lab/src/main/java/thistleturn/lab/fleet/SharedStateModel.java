package thistleturn.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.replicas.Delta;
import thistleturn.decisions.replicas.Entry;
import thistleturn.decisions.replicas.Kind;
import thistleturn.decisions.replicas.Message;
import thistleturn.decisions.replicas.ReplicaRules;
import thistleturn.decisions.replicas.Replicas;
import thistleturn.decisions.replicas.Verdict;
import thistleturn.decisions.replicas.Writer;

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
          copy -> fleet.agenda.in(random.nextLong(ReplicaRules.usual().tickUs()), copy::tick));
    }
  }

  private static String name(final int index) {
    return String.format("n%03d", index);
  }

  /** One courier's copy; it outlives the courier's processes, as its folder does. */
  private final class Copy implements Replicas.Out {
    private final int index;
    private final Replicas replicas;
    private final List<String> others = new ArrayList<>();

    Copy(final int index) {
      this.index = index;
      this.replicas =
          new Replicas(
              ReplicaRules.usual(),
              new Writer(name(index), 1),
              random.nextLong(),
              fleet.agenda.nowUs(),
              this);
    }

    private void tick() {
      fleet.agenda.in(ReplicaRules.usual().tickUs(), this::tick);
      if (others.isEmpty()) {
        for (int other = 0; other < copies.size(); other++) {
          if (other != index) {
            others.add(String.valueOf(other));
          }
        }
        replicas.others(others);
      }
      if (fleet.isRunning(index)) {
        replicas.tick(fleet.agenda.nowUs());
      }
    }

    @Override
    public void send(final String to, final Message message) {
      if (sharing.loss() == 0 || random.nextDouble() >= sharing.loss()) {
        piece(to, message);
      }
    }

    @Override
    public void piece(final String to, final Message message) {
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
    public void changed(final Kind kind, final String subject) {
      if (!sharing.perfect()) {
        tell(index, replicas.verdict(kind, subject), replicas.self());
      }
    }

    @Override
    public void happened(final String text) {
      throw new IllegalStateException(text);
    }
  }

  /** One clock for all here; what was on its way is thought to be as much younger. */
  private static Message later(final Message message, final long byUs) {
    if (message instanceof Message.News news) {
      return new Message.News(news.deltas().stream().map(delta -> later(delta, byUs)).toList());
    }
    return message instanceof Message.Piece piece
        ? new Message.Piece(
            piece.part(),
            piece.parts(),
            piece.deltas().stream().map(delta -> later(delta, byUs)).toList(),
            piece.more())
        : message;
  }

  private static Delta later(final Delta delta, final long byUs) {
    return new Delta(
        delta.writer(),
        delta.from(),
        delta.to(),
        delta.entries().stream()
            .map(
                entry ->
                    new Entry(
                        entry.kind(),
                        entry.subject(),
                        entry.writer(),
                        entry.version(),
                        entry.lifeUs(),
                        entry.madeUs() + byUs,
                        entry.fields()))
            .toList());
  }

  /** Says to a courier's decisions what counts, unless it comes from itself. */
  private void tell(final int courier, final Verdict verdict, final Writer self) {
    if (!verdict.isSomething()
        || verdict.by().contains(self)
        || !sharing.kinds().contains(verdict.kind())) {
      return;
    }
    final String by = BY + verdict.by().get(0).name();
    final int destination = Integer.parseInt(verdict.subject());
    switch (verdict.kind()) {
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
      final int courier, final Kind kind, final int destination, final Consumer<Replicas> what) {
    if (!sharing.kinds().contains(kind)) {
      return;
    }
    final Replicas own = copies.get(courier).replicas;
    what.accept(own);
    if (sharing.perfect()) {
      final List<Delta> all = own.all();
      final List<Verdict> verdicts = new ArrayList<>();
      for (final Copy other : copies) {
        if (other.index != courier) {
          other.replicas.onMessage(
              String.valueOf(courier), new Message.Piece(0, 1, all, false), fleet.agenda.nowUs());
        }
        verdicts.add(other.replicas.verdict(kind, String.valueOf(destination)));
      }
      for (final Copy other : copies) {
        tell(other.index, verdicts.get(other.index), other.replicas.self());
      }
    }
  }

  void waits(final int courier, final int destination, final long untilUs) {
    write(
        courier,
        Kind.WAIT,
        destination,
        own -> own.waits(String.valueOf(destination), untilUs, fleet.agenda.nowUs()));
  }

  void turned(final int courier, final int destination, final boolean isOut) {
    write(
        courier,
        Kind.OUTAGE,
        destination,
        own -> own.turned(String.valueOf(destination), isOut, fleet.agenda.nowUs()));
  }

  void learnt(final int courier, final int destination, final double perSecond) {
    write(
        courier,
        Kind.LEARNT,
        destination,
        own -> own.learnt(String.valueOf(destination), perSecond, fleet.agenda.nowUs()));
  }

  /** What counts is said again to a courier that began anew. */
  void begins(final int courier) {
    final Replicas own = copies.get(courier).replicas;
    final TreeMap<String, Kind> subjects = new TreeMap<>();
    for (final Kind kind : sharing.kinds()) {
      own.subjects(kind).forEach(subject -> subjects.put(subject + ' ' + kind, kind));
    }
    subjects.forEach(
        (key, kind) ->
            tell(courier, own.verdict(kind, key.split(" ")[0]), new Writer("nobody", 1)));
  }

  /** Bytes that all copies sent. */
  long bytes() {
    return copies.stream().mapToLong(copy -> copy.replicas.sentBytes()).sum();
  }
}
