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
 * Mutation tests of the checks: one schedule of faults runs without violations, and each fault
 * planted in a courier's behavior is detected.
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

  /** The planted faults. */
  enum Fault {
    SUSPICION_NEVER_CLEARED,
    REPORT_VERSION_NOT_RAISED,
    INCARNATION_NOT_RAISED,
    VIEW_NUMBER_REUSED,
    VIEW_SENT_INCOMPLETE,
    REPORTS_PEERS_AFTER_PAUSE,
    FORGES_HEARTBEATS,
    FORGES_END_REPORTS,
    SEQUENCE_NOT_RAISED,
    DECISIONS_LOST,
    VIEW_ID_OMITTED
  }

  /**
   * A node with the given planted fault, or without one if null. Where a single faulty node is
   * enough, it is the third one.
   */
  private static final class FaultyNode implements MembershipNode {
    private final Fault fault;
    private final boolean faulty;
    private final MembershipNode inner;
    private final PeerId firstId;
    private long lastTickUs;

    FaultyNode(
        final Fault fault,
        final int number,
        final int restarts,
        final List<String> names,
        final long seed,
        final long nowUs,
        final Network network) {
      this.fault = fault;
      this.faulty = number == 2;
      this.firstId = new PeerId(names.get(number), nowUs + restarts);
      this.lastTickUs = nowUs;
      this.inner =
          ProtocolNode.factory(GossipSettings.defaults(), true, event -> {})
              .create(
                  number,
                  restarts,
                  names,
                  seed,
                  nowUs,
                  new Network() {
                    @Override
                    public void send(final String to, final Object message, final int bytes) {
                      network.send(to, corrupt((Packet) message), bytes);
                    }

                    @Override
                    public void connect(final String to) {
                      network.connect(to);
                    }

                    @Override
                    public void disconnect(final String to) {
                      network.disconnect(to);
                    }

                    @Override
                    public void sendOverConnection(
                        final String to, final Object message, final int bytes) {
                      if (fault != Fault.DECISIONS_LOST || number != 5) {
                        network.sendOverConnection(to, corrupt((FullStateMessage) message), bytes);
                      }
                    }
                  });
    }

    private Packet corrupt(final Packet packet) {
      final List<GossipItem> items = new ArrayList<>();
      for (final GossipItem item : packet.items()) {
        if (fault == Fault.REPORT_VERSION_NOT_RAISED
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
      if (fault == Fault.FORGES_HEARTBEATS && faulty) {
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
      if (fault == Fault.FORGES_END_REPORTS && faulty) {
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
      final PeerId sender = fault == Fault.INCARNATION_NOT_RAISED ? firstId : packet.sender();
      return new Packet(
          sender,
          packet.address(),
          fault == Fault.SEQUENCE_NOT_RAISED ? 1 : packet.sequence(),
          packet.heartbeat(),
          fault == Fault.VIEW_ID_OMITTED ? ViewId.NONE : packet.viewId(),
          packet.statusVersion(),
          packet.status(),
          packet.type(),
          packet.echoedSequence(),
          items);
    }

    private FullStateMessage corrupt(final FullStateMessage full) {
      final View view = full.view();
      if (fault == Fault.VIEW_SENT_INCOMPLETE && view != null && view.members().size() > 2) {
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
      return fault == Fault.SUSPICION_NEVER_CLEARED || fault == Fault.REPORT_VERSION_NOT_RAISED
          ? new FullStateMessage(full.sender(), full.address(), view, List.of())
          : full;
    }

    @Override
    public void tick(final long nowUs) {
      if (fault == Fault.REPORTS_PEERS_AFTER_PAUSE && faulty) {
        // Catches up on the ticks of the pause, as if the process had run all the time.
        while (nowUs - lastTickUs > 200 * MS) {
          lastTickUs += 100 * MS;
          inner.tick(lastTickUs);
        }
      }
      lastTickUs = nowUs;
      inner.tick(nowUs);
    }

    @Override
    public void receive(final Object message, final long nowUs) {
      if (message instanceof Packet packet && fault == Fault.VIEW_NUMBER_REUSED && faulty) {
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
      } else if (message instanceof Packet packet && fault == Fault.DECISIONS_LOST && faulty) {
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
          || !faulty
          || inner.viewLineage().isEmpty()) {
        inner.receive(message, nowUs);
      }
    }

    @Override
    public void onConnected(final String to, final String incarnation, final long nowUs) {
      inner.onConnected(to, incarnation, nowUs);
    }

    @Override
    public void onConnectionClosed(final String to, final long nowUs) {
      inner.onConnectionClosed(to, nowUs);
    }

    @Override
    public void onConnectTimeout(final String to, final long nowUs) {
      inner.onConnectTimeout(to, nowUs);
    }

    @Override
    public String id() {
      return inner.id();
    }

    @Override
    public String viewLineage() {
      return inner.viewLineage();
    }

    @Override
    public long viewNumber() {
      return inner.viewNumber();
    }

    @Override
    public Set<String> members() {
      return inner.members();
    }
  }

  /** Runs the schedule and returns all violations of the guarantees. */
  private static List<String> runAndCheck(final Fault fault) {
    final List<String> violations = new ArrayList<>();
    final List<Long> checkedAtMs = new ArrayList<>();
    final VirtualPeers world =
        new VirtualPeers(
            SCHEDULE,
            (number, restarts, names, seed, nowUs, network) ->
                new FaultyNode(fault, number, restarts, names, seed, nowUs, network),
            5000);
    world.onEachStep(
        at -> {
          final boolean calm = at.nowMs() > 13_500 && checkedAtMs.isEmpty();
          final boolean waking = at.nowMs() > 10_050 && at.nowMs() < 10_300;
          if (calm || waking) {
            if (calm) {
              checkedAtMs.add(at.nowMs());
            }
            for (final MembershipNode one : at.running()) {
              ((ProtocolNode) ((FaultyNode) one).inner)
                  .protocol()
                  .snapshots(1_000_000_000L + at.nowMs() * MS)
                  .forEach(
                      known -> {
                        if (calm && !known.unreachableReports().isEmpty()) {
                          violations.add(
                              "reported unreachable without a fault: "
                                  + known.id().name()
                                  + " at "
                                  + one.id());
                        }
                        if (waking
                            && !known.id().name().equals("n002")
                            && known.unreachableReports().stream()
                                .anyMatch(cell -> cell.observer().equals("n002"))) {
                          violations.add(
                              "reported unreachable after its observer's pause: "
                                  + known.id().name());
                        }
                      });
            }
          }
        });
    final FleetChecker checker = world.play();
    violations.addAll(checker.violations());
    if (!checker.isAgreed()) {
      violations.add("views differ at the end");
    }
    if (checker.detectionTimesMs().size() < checker.endedCount()
        || checker.detectionTimesMs().stream().anyMatch(ms -> ms > 3000)) {
      violations.add("process ends detected after " + checker.detectionTimesMs());
    }
    return violations;
  }

  @Test
  void withoutPlantedFault_noViolation() {
    assertEquals(List.of(), runAndCheck(null));
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void plantedFault_isDetected(final Fault fault) {
    assertNotEquals(List.of(), runAndCheck(fault));
  }
}
