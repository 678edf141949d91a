package thistleturn.decisions.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.health.LocalHealth;

/**
 * Feeds packets and ticks to the protocol of one courier: stale, duplicated and implausible
 * packets, conflicts over its own name, and the status that it reports.
 */
@Tag("peers")
final class MembershipProtocolTest {
  private static final long START_INCARNATION = 1_000_000_000_000L;
  private static final PeerId SELF = new PeerId("b", START_INCARNATION);
  private static final PeerId PEER_A = new PeerId("a", START_INCARNATION);
  private static final PeerId PEER_D = new PeerId("d", START_INCARNATION);
  private static final PeerId PEER_E = new PeerId("e", START_INCARNATION);
  private static final long DAY_US = 86_400_000_000L;
  private static final PeerId EARLIER_PEER_D = new PeerId("d", START_INCARNATION - DAY_US);
  private static final long TICK_US = GossipSettings.defaults().tickIntervalUs();

  private long nowUs = 50_000_000;
  private final List<Packet> sent = new ArrayList<>();
  private final List<String> sentTo = new ArrayList<>();
  private final List<PeerEvent> events = new ArrayList<>();
  private final MembershipProtocol protocol =
      new MembershipProtocol(
          GossipSettings.defaults(),
          SELF,
          "b:1",
          List.of("b:1", "a:1"),
          7,
          nowUs,
          new PeerActions() {
            @Override
            public void send(final String to, final Packet packet) {
              sent.add(packet);
              sentTo.add(to);
            }

            @Override
            public void connect(final String to) {}

            @Override
            public void disconnect(final String to) {}

            @Override
            public void sendFullState(final String to, final FullStateMessage full) {}

            @Override
            public void onEvent(final PeerEvent event) {
              events.add(event);
            }
          });

  private void runFor(final long us) {
    for (final long untilUs = nowUs + us; nowUs < untilUs; nowUs += TICK_US) {
      protocol.tick(nowUs);
    }
  }

  private static Packet packetFrom(
      final PeerId id, final String address, final long sequence, final GossipItem... items) {
    return new Packet(
        id,
        address,
        sequence,
        sequence,
        ViewId.NONE,
        0,
        PeerStatus.UNREPORTED,
        Packet.Type.GOSSIP,
        0,
        List.of(items));
  }

  private PeerSnapshot snapshotOf(final String name) {
    return protocol.snapshots(nowUs).stream()
        .filter(snapshot -> snapshot.id().name().equals(name))
        .findFirst()
        .orElse(null);
  }

  /** Receives a packet of an incarnation with each tick for that duration. */
  private void receiveFrom(
      final PeerId id, final String address, final long us, final long firstSequence) {
    long sequence = firstSequence;
    for (final long untilUs = nowUs + us; nowUs < untilUs; nowUs += TICK_US) {
      protocol.onPacket(packetFrom(id, address, sequence++), nowUs);
      protocol.tick(nowUs);
    }
  }

  @Test
  void unansweredSeeds_areProbedAndThenViewIsFounded() {
    runFor(1_000_000);
    assertTrue(sentTo.stream().allMatch("a:1"::equals) && sent.size() >= 2);
    assertNull(protocol.view());
    assertEquals(MembershipStatus.FORMING, protocol.status());
    runFor(2_000_000);
    assertEquals(List.of(new ViewMember(SELF, "b:1")), protocol.view().members());
    assertEquals(MembershipStatus.MAJORITY, protocol.status());
  }

  @Test
  void peerReceivedDirectly_joinsViewButPeerKnownByGossipDoesNot() {
    protocol.onPacket(
        packetFrom(
            PEER_D,
            "d:1",
            1,
            new GossipItem.MemberUpdate(PEER_E, "e:1", GossipItem.Liveness.ALIVE)),
        nowUs);
    receiveFrom(PEER_D, "d:1", 6_000_000, 2);
    assertTrue(protocol.view().contains(PEER_D));
    assertFalse(protocol.view().contains(PEER_E));
    assertEquals(PeerState.SUSPECT, snapshotOf("e").state());
  }

  /** Stale and duplicated packets do not show that a peer is alive, and do not let it join. */
  @Test
  void duplicatePackets_doNotShowThatPeerIsAlive() {
    for (int times = 0; times < 50; times++) {
      protocol.onPacket(packetFrom(EARLIER_PEER_D, "d:1", 900), nowUs);
      runFor(TICK_US);
    }
    assertFalse(protocol.view().contains(EARLIER_PEER_D));
    assertEquals(Reachability.SILENT, snapshotOf("d").localReachability());
    assertEquals(49, protocol.rejectedPackets());
    // A later incarnation starts with a new state, and packets of the earlier one are ignored.
    receiveFrom(PEER_D, "d:2", 2_000_000, 1);
    protocol.onPacket(packetFrom(EARLIER_PEER_D, "d:1", 901), nowUs);
    assertEquals("d:2", snapshotOf("d").address());
    assertEquals(PeerState.ALIVE, snapshotOf("d").state());
  }

  @Test
  void implausibleIncarnations_areIgnored() {
    for (final long implausible :
        new long[] {0, -1, Long.MIN_VALUE, Long.MAX_VALUE, START_INCARNATION + 2 * DAY_US}) {
      protocol.onPacket(
          packetFrom(
              new PeerId("d", implausible),
              "d:1",
              1,
              new GossipItem.MemberUpdate(
                  new PeerId("b", implausible), "b:1", GossipItem.Liveness.DEAD)),
          nowUs);
      protocol.onPacket(
          packetFrom(
              PEER_A,
              "a:1",
              nowUs,
              new GossipItem.MemberUpdate(
                  new PeerId("b", implausible), "b:1", GossipItem.Liveness.DEAD)),
          nowUs);
    }
    assertNull(snapshotOf("d"));
    assertEquals(SELF, protocol.self());
  }

  /**
   * The state folder is lost and the clock was set back an hour: the fleet knows a later
   * incarnation than this one.
   */
  @Test
  void rememberedLaterIncarnation_isSuperseded() {
    final PeerId earlierRun = new PeerId("b", START_INCARNATION + 3_600_000_000L);
    protocol.onPacket(
        packetFrom(
            PEER_A,
            "a:1",
            1,
            new GossipItem.MemberUpdate(earlierRun, "b:9", GossipItem.Liveness.ALIVE)),
        nowUs);
    assertEquals(earlierRun.incarnation() + 1, protocol.self().incarnation());
    assertEquals(MembershipStatus.FORMING, protocol.status());
  }

  @Test
  void declaredDead_startsNextIncarnation() {
    runFor(3_000_000);
    protocol.onPacket(
        packetFrom(
            PEER_A,
            "a:1",
            1,
            new GossipItem.MemberUpdate(protocol.self(), "b:1", GossipItem.Liveness.DEAD)),
        nowUs);
    assertEquals(new PeerId("b", START_INCARNATION + 1), protocol.self());
    assertEquals(
        MembershipStatus.MAJORITY,
        protocol.status(),
        "in its own view of one member, until it receives a preferred view");
  }

  /**
   * Two processes use one name: the one that started first stays out of the fleet, probes its
   * rival, and rejoins once the rival has ended.
   */
  @Test
  void laterRivalOfSameName_keepsNameUntilItEnds() {
    runFor(3_000_000);
    final PeerId rival = new PeerId("b", START_INCARNATION + 10_000_000);
    protocol.onPacket(packetFrom(rival, "x:1", 1), nowUs);
    assertEquals(MembershipStatus.CONFLICT, protocol.status());
    assertTrue(
        events.stream()
            .anyMatch(
                event ->
                    event.type() == PeerEvent.Type.NAME_CONFLICT
                        && event.message().contains("x:1")));
    sent.clear();
    runFor(12_000_000);
    assertFalse(sent.isEmpty());
    assertTrue(
        sent.stream().allMatch(packet -> packet.sender() == null),
        "sends no packet under the name");
    protocol.onPacket(
        packetFrom(
            PEER_A, "a:1", 5, new GossipItem.MemberUpdate(rival, "x:1", GossipItem.Liveness.DEAD)),
        nowUs);
    assertEquals(rival.incarnation() + 1, protocol.self().incarnation());
    assertEquals(MembershipStatus.MAJORITY, protocol.status());
  }

  @Test
  void anonymousProbe_isAnsweredWithRequestedName() {
    receiveFrom(PEER_D, "d:1", 500_000, 1);
    sent.clear();
    protocol.onPacket(
        new Packet(
            null,
            "z:1",
            1,
            0,
            ViewId.NONE,
            0,
            PeerStatus.UNREPORTED,
            Packet.Type.PING,
            0,
            List.of(
                new GossipItem.MemberUpdate(new PeerId("d", 1), "z:1", GossipItem.Liveness.ALIVE))),
        nowUs);
    assertEquals("z:1", sentTo.get(sentTo.size() - 1));
    assertTrue(
        sent.get(0)
            .items()
            .contains(new GossipItem.MemberUpdate(PEER_D, "d:1", GossipItem.Liveness.ALIVE)));
    assertNull(snapshotOf("z"));
  }

  /**
   * A courier that answers its peers but delivers no messages reports that itself, and the report
   * is forwarded.
   */
  @Test
  void stalledDelivery_isReportedAndForwarded() {
    final PeerStatus stalled = new PeerStatus(LocalHealth.State.WELL, 0, 40, true);
    receiveFrom(PEER_D, "d:1", 500_000, 1);
    protocol.onPacket(
        new Packet(
            PEER_D, "d:1", 100, 100, ViewId.NONE, 1, stalled, Packet.Type.GOSSIP, 0, List.of()),
        nowUs);
    assertEquals(stalled, snapshotOf("d").status());
    sent.clear();
    runFor(300_000);
    assertTrue(
        sent.stream()
            .anyMatch(
                packet ->
                    packet.items().contains(new GossipItem.StatusUpdate(PEER_D, 1, stalled))));
    protocol.updateOwnStatus(new PeerStatus(LocalHealth.State.STARVED, 5, 3, false), nowUs);
    runFor(600_000);
    assertEquals(LocalHealth.State.STARVED, sent.get(sent.size() - 1).status().health());
  }

  @Test
  void processPause_reportsPauseAndAccusesNoPeer() {
    receiveFrom(PEER_D, "d:1", 4_000_000, 1);
    nowUs += 7_000_000;
    sent.clear();
    runFor(1_500_000);
    assertEquals(Reachability.HEARD, snapshotOf("d").localReachability());
    assertTrue(events.stream().anyMatch(event -> event.type() == PeerEvent.Type.PROCESS_PAUSED));
    assertTrue(
        sent.stream()
            .noneMatch(
                packet ->
                    packet.items().stream()
                        .anyMatch(item -> item instanceof GossipItem.ReachabilityReport)));
    protocol.updateOwnStatus(PeerStatus.UNREPORTED, nowUs);
    runFor(600_000);
    assertTrue(sent.get(sent.size() - 1).status().pauseMs() > 6500);
  }

  @Test
  void silentPeerInTwoMemberFleet_isNeverDeclaredDead() {
    receiveFrom(PEER_D, "d:1", 4_000_000, 1);
    runFor(60_000_000);
    assertEquals(PeerState.SUSPECT, snapshotOf("d").state());
    assertEquals(MembershipStatus.ALONE, protocol.status());
    assertEquals(2, protocol.view().members().size());
  }

  /**
   * Another courier listens at a peer's address, so the peer has ended there; it rejoins at its new
   * address.
   */
  @Test
  void addressTakenOverByAnotherPeer_endsPreviousOwner() {
    receiveFrom(PEER_D, "d:1", 4_000_000, 1);
    protocol.onConnectionGreeted("d:1", PEER_D, nowUs);
    protocol.onConnectionClosed("d:1", nowUs);
    for (int times = 0; times < 3; times++) {
      runFor(1_500_000);
      protocol.onConnectionGreeted("d:1", PEER_E, nowUs);
    }
    runFor(500_000);
    assertEquals(Reachability.ENDED, snapshotOf("d").localReachability());
    assertEquals(PeerState.SUSPECT, snapshotOf("d").state());
    receiveFrom(new PeerId("d", START_INCARNATION + 1), "d:7", 2_500_000, 1);
    assertEquals("d:7", snapshotOf("d").address());
    assertEquals(Reachability.HEARD, snapshotOf("d").localReachability());
    assertTrue(protocol.view().contains(new PeerId("d", START_INCARNATION + 1)));
  }

  @Test
  void afterLeave_sendsNothingMore() {
    receiveFrom(PEER_D, "d:1", 4_000_000, 1);
    sent.clear();
    protocol.leave(nowUs);
    assertEquals(2, sent.size());
    assertTrue(
        sent.get(0)
            .items()
            .contains(new GossipItem.MemberUpdate(SELF, "b:1", GossipItem.Liveness.LEFT)));
    runFor(2_000_000);
    assertEquals(2, sent.size());
  }

  /** Memory and sent bytes are bounded, regardless of what is received. */
  @Test
  void floodOfMembers_isBoundedInMemoryAndBytes() {
    long sequence = 1;
    for (int number = 0; number < 5000; number++) {
      protocol.onPacket(
          packetFrom(
              PEER_D,
              "d:1",
              sequence++,
              new GossipItem.MemberUpdate(
                  new PeerId("x" + number, START_INCARNATION), "d:1", GossipItem.Liveness.ALIVE)),
          nowUs);
    }
    assertTrue(protocol.snapshots(nowUs).size() <= MembershipTable.MAX_PEERS);
    sent.clear();
    runFor(10_000_000);
    final int bytes =
        sent.stream()
            .mapToInt(packet -> packet.items().stream().mapToInt(GossipItem::maxBytes).sum())
            .sum();
    assertTrue(bytes < 200_000, () -> bytes + " bytes of items in 10 s");
    assertTrue(
        sent.stream()
            .allMatch(
                packet ->
                    packet.items().stream().mapToInt(GossipItem::maxBytes).sum()
                        <= Packet.MAX_ITEM_BYTES));
  }
}
