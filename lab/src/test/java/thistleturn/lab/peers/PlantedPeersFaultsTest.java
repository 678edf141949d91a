package thistleturn.lab.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import thistleturn.decisions.peers.FullStateMessage;
import thistleturn.decisions.peers.GossipItem;
import thistleturn.decisions.peers.GossipSettings;
import thistleturn.decisions.peers.Packet;
import thistleturn.decisions.peers.PeerId;
import thistleturn.decisions.peers.Reachability;
import thistleturn.decisions.peers.View;
import thistleturn.decisions.peers.ViewChange;
import thistleturn.decisions.peers.ViewId;
import thistleturn.testkit.rig.FleetChecker;
import thistleturn.testkit.rig.Schedule;

/**
 * One judge over one schedule of faults; each of the faults planted in what a courier does is
 * caught by it.
 */
@Tag("peers")
final class PlantedPeersFaultsTest {
  private static final long MS = 1000;
  private static final Schedule SCHEDULE =
      Schedule.parse(
          """
            members 7
            seed 21
            end 50s
            at 0s loss 0.02
            at 6s pause 2 for 4s
            at 14s kill 3
            at 19s pause 4 for 11s
            at 20s start 3
            at 33s kill 0
            """);

  /** What goes wrong. */
  enum Fault {
    SUSPICION_NEVER_CLEARED,
    ROW_NOT_COUNTED,
    INCARNATION_NOT_RAISED,
    VIEW_NUMBER_REUSED,
    VIEW_TOLD_SHORT,
    WAKES_AND_ACCUSES,
    SIGNS_FOR_THE_DEAD,
    ENDS_BY_FORGED_VOICES,
    DATAGRAMS_NOT_COUNTED,
    DECISIONS_LOST,
    OTHERS_VIEWS_UNSEEN
  }

  /**
   * A courier with that fault, or (null) without one; the fault is in the third of the names where
   * one is enough.
   */
  private static final class Planted implements Contestant {
    private final Fault fault;
    private final boolean here;
    private final Contestant inner;
    private final PeerId first;
    private long ranUs;

    Planted(
        final Fault fault,
        final int number,
        final int life,
        final List<String> names,
        final long seed,
        final long nowUs,
        final Wire wire) {
      this.fault = fault;
      this.here = number == 2;
      this.first = new PeerId(names.get(number), nowUs + life);
      this.ranUs = nowUs;
      this.inner =
          PeersContestant.maker(GossipSettings.defaults(), true, event -> {})
              .make(
                  number,
                  life,
                  names,
                  seed,
                  nowUs,
                  new Wire() {
                    @Override
                    public void send(final String to, final Object message, final int bytes) {
                      wire.send(to, spoilt((Packet) message), bytes);
                    }

                    @Override
                    public void connect(final String to) {
                      wire.connect(to);
                    }

                    @Override
                    public void disconnect(final String to) {
                      wire.disconnect(to);
                    }

                    @Override
                    public void pass(final String to, final Object message, final int bytes) {
                      if (fault != Fault.DECISIONS_LOST || number != 5) {
                        wire.pass(to, spoilt((FullStateMessage) message), bytes);
                      }
                    }
                  });
    }

    private Packet spoilt(final Packet packet) {
      final List<GossipItem> items = new ArrayList<>();
      for (final GossipItem item : packet.items()) {
        if (fault == Fault.ROW_NOT_COUNTED
            && item instanceof GossipItem.ReachabilityReport report) {
          items.add(
              new GossipItem.ReachabilityReport(
                  report.observer(), report.subject(), 1, report.reachability(), report.ageUs()));
        } else if (!(fault == Fault.SUSPICION_NEVER_CLEARED
            && item instanceof GossipItem.ReachabilityReport report
            && report.reachability() == Reachability.HEARD)) {
          items.add(item);
        }
      }
      if (fault == Fault.SIGNS_FOR_THE_DEAD && here) {
        for (final String name : List.of("n000", "n003")) {
          inner.members().stream()
              .filter(life -> life.startsWith(name))
              .forEach(
                  life ->
                      items.add(
                          new GossipItem.Heartbeat(
                              new PeerId(name, Long.parseLong(life.substring(5))),
                              packet.heartbeat() + 1_000_000)));
        }
      }
      if (fault == Fault.ENDS_BY_FORGED_VOICES && here) {
        inner.members().stream()
            .filter(life -> life.startsWith("n004"))
            .forEach(
                life -> {
                  final PeerId subject = new PeerId("n004", Long.parseLong(life.substring(5)));
                  inner.members().stream()
                      .filter(other -> !other.equals(life))
                      .forEach(
                          other ->
                              items.add(
                                  new GossipItem.ReachabilityReport(
                                      new PeerId(
                                          other.substring(0, 4),
                                          Long.parseLong(other.substring(5))),
                                      subject,
                                      1_000_000,
                                      Reachability.ENDED,
                                      0)));
                });
      }
      final PeerId sender = fault == Fault.INCARNATION_NOT_RAISED ? first : packet.sender();
      return new Packet(
          sender,
          packet.address(),
          fault == Fault.DATAGRAMS_NOT_COUNTED ? 1 : packet.sequence(),
          packet.heartbeat(),
          fault == Fault.OTHERS_VIEWS_UNSEEN ? ViewId.NONE : packet.viewId(),
          packet.statusVersion(),
          packet.status(),
          packet.type(),
          packet.echoedSequence(),
          items);
    }

    private FullStateMessage spoilt(final FullStateMessage full) {
      final View view = full.view();
      if (fault == Fault.VIEW_TOLD_SHORT && view != null && view.members().size() > 2) {
        return new FullStateMessage(
            full.sender(),
            full.address(),
            new View(
                view.generation(),
                view.founder(),
                view.number(),
                view.members().subList(0, view.members().size() - 1),
                view.committee()),
            full.items());
      }
      return fault == Fault.SUSPICION_NEVER_CLEARED || fault == Fault.ROW_NOT_COUNTED
          ? new FullStateMessage(full.sender(), full.address(), view, List.of())
          : full;
    }

    @Override
    public void tick(final long nowUs) {
      if (fault == Fault.WAKES_AND_ACCUSES && here) {
        // As if it had run all the time.
        while (nowUs - ranUs > 200 * MS) {
          ranUs += 100 * MS;
          inner.tick(ranUs);
        }
      }
      ranUs = nowUs;
      inner.tick(nowUs);
    }

    @Override
    public void receive(final Object message, final long nowUs) {
      if (message instanceof Packet packet && fault == Fault.VIEW_NUMBER_REUSED && here) {
        inner.receive(
            new Packet(
                packet.sender(),
                packet.address(),
                packet.sequence(),
                packet.heartbeat(),
                packet.viewId(),
                packet.statusVersion(),
                packet.status(),
                packet.type(),
                packet.echoedSequence(),
                packet.items().stream()
                    .map(
                        item ->
                            item instanceof GossipItem.ViewDecision decided
                                ? new GossipItem.ViewDecision(
                                    decided.viewId(),
                                    new ViewChange(List.of(), decided.change().added()))
                                : item)
                    .toList()),
            nowUs);
      } else if (message instanceof Packet packet && fault == Fault.DECISIONS_LOST && here) {
        inner.receive(
            new Packet(
                packet.sender(),
                packet.address(),
                packet.sequence(),
                packet.heartbeat(),
                packet.viewId(),
                packet.statusVersion(),
                packet.status(),
                packet.type(),
                packet.echoedSequence(),
                packet.items().stream()
                    .filter(
                        item ->
                            !(item instanceof GossipItem.ViewDecision)
                                && !(item instanceof GossipItem.PaxosMessage))
                    .toList()),
            nowUs);
      } else if (!(message instanceof FullStateMessage)
          || fault != Fault.DECISIONS_LOST
          || !here
          || inner.line().isEmpty()) {
        inner.receive(message, nowUs);
      }
    }

    @Override
    public void greeted(final String to, final String life, final long nowUs) {
      inner.greeted(to, life, nowUs);
    }

    @Override
    public void closed(final String to, final long nowUs) {
      inner.closed(to, nowUs);
    }

    @Override
    public void unanswered(final String to, final long nowUs) {
      inner.unanswered(to, nowUs);
    }

    @Override
    public String life() {
      return inner.life();
    }

    @Override
    public String line() {
      return inner.line();
    }

    @Override
    public long number() {
      return inner.number();
    }

    @Override
    public Set<String> members() {
      return inner.members();
    }
  }

  /** Everything that is promised, over the whole schedule. */
  private static List<String> judge(final Fault fault) {
    final List<String> broken = new ArrayList<>();
    final List<Long> looked = new ArrayList<>();
    final VirtualPeers world =
        new VirtualPeers(
            SCHEDULE,
            (number, life, names, seed, nowUs, wire) ->
                new Planted(fault, number, life, names, seed, nowUs, wire),
            5000);
    world.looking(
        at -> {
          final boolean calm = at.nowMs() > 13_500 && looked.isEmpty();
          final boolean waking = at.nowMs() > 10_050 && at.nowMs() < 10_300;
          if (calm || waking) {
            if (calm) {
              looked.add(at.nowMs());
            }
            for (final Contestant one : at.living()) {
              ((PeersContestant) ((Planted) one).inner)
                  .peers()
                  .snapshots(1_000_000_000L + at.nowMs() * MS)
                  .forEach(
                      known -> {
                        if (calm && !known.unreachableReports().isEmpty()) {
                          broken.add(
                              "in doubt with no trouble: "
                                  + known.id().name()
                                  + " at "
                                  + one.life());
                        }
                        if (waking
                            && !known.id().name().equals("n002")
                            && known.unreachableReports().stream()
                                .anyMatch(cell -> cell.observer().equals("n002"))) {
                          broken.add("accused on waking: " + known.id().name());
                        }
                      });
            }
          }
        });
    final FleetChecker judge = world.play();
    broken.addAll(judge.violations());
    if (!judge.isAgreed()) {
      broken.add("views differ at the end");
    }
    if (judge.detectionTimesMs().size() < judge.endedCount()
        || judge.detectionTimesMs().stream().anyMatch(ms -> ms > 3000)) {
      broken.add("ends are known after " + judge.detectionTimesMs());
    }
    return broken;
  }

  @Test
  void withoutAFaultAllIsAsPromised() {
    assertEquals(List.of(), judge(null));
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void eachFaultIsCaught(final Fault fault) {
    assertNotEquals(List.of(), judge(fault));
  }
}
