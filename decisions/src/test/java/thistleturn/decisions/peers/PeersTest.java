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
 * One courier's part, told by hand: old, doubled and strange datagrams, its own name, and what it
 * says of itself.
 */
@Tag("peers")
final class PeersTest {
  private static final long BEGAN = 1_000_000_000_000L;
  private static final long TICK = PeerRules.usual().tickUs();

  private long nowUs = 50_000_000;
  private final List<Packet> sent = new ArrayList<>();
  private final List<String> sentTo = new ArrayList<>();
  private final List<PeerEvent> events = new ArrayList<>();
  private final Peers peers =
      new Peers(
          PeerRules.usual(),
          new PeerId("b", BEGAN),
          "b:1",
          List.of("b:1", "a:1"),
          7,
          nowUs,
          new Peers.Out() {
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
            public void full(final String to, final Full full) {}

            @Override
            public void happened(final PeerEvent event) {
              events.add(event);
            }
          });

  private void run(final long us) {
    for (final long untilUs = nowUs + us; nowUs < untilUs; nowUs += TICK) {
      peers.tick(nowUs);
    }
  }

  private static Packet from(
      final PeerId id, final String address, final long seq, final Item... items) {
    return new Packet(
        id,
        address,
        seq,
        seq,
        ViewMark.NONE,
        0,
        PeerWord.WELL,
        Packet.Kind.NEWS,
        0,
        List.of(items));
  }

  private Known known(final String name) {
    return peers.known(nowUs).stream()
        .filter(known -> known.id().name().equals(name))
        .findFirst()
        .orElse(null);
  }

  /** Hears that life for so long. */
  private void hear(final PeerId id, final String address, final long us, final long firstSeq) {
    long seq = firstSeq;
    for (final long untilUs = nowUs + us; nowUs < untilUs; nowUs += TICK) {
      peers.onPacket(from(id, address, seq++), nowUs);
      peers.tick(nowUs);
    }
  }

  @Test
  void itKnocksAtItsSeedsAndFoundsAFleetWhereNobodyAnswers() {
    run(1_000_000);
    assertTrue(sentTo.stream().allMatch("a:1"::equals) && sent.size() >= 2);
    assertNull(peers.view());
    assertEquals(Standing.FORMING, peers.standing());
    run(2_000_000);
    assertEquals(List.of(new Member(new PeerId("b", BEGAN), "b:1")), peers.view().members());
    assertEquals(Standing.MAJORITY, peers.standing());
  }

  @Test
  void oneThatIsHeardIsLetInAndOneThatIsOnlyToldOfIsNot() {
    peers.onPacket(
        from(
            new PeerId("d", BEGAN),
            "d:1",
            1,
            new Item.Fact(new PeerId("e", BEGAN), "e:1", Item.Life.ALIVE)),
        nowUs);
    hear(new PeerId("d", BEGAN), "d:1", 6_000_000, 2);
    assertTrue(peers.view().has(new PeerId("d", BEGAN)));
    assertFalse(peers.view().has(new PeerId("e", BEGAN)));
    assertEquals(PeerState.SUSPECT, known("e").state());
  }

  /** An old or doubled datagram is no sign of life, and lets nobody in. */
  @Test
  void whatIsOldIsNoSignOfLife() {
    for (int times = 0; times < 50; times++) {
      peers.onPacket(from(new PeerId("d", BEGAN - 86_400_000_000L), "d:1", 900), nowUs);
      run(TICK);
    }
    assertFalse(peers.view().has(new PeerId("d", BEGAN - 86_400_000_000L)));
    assertEquals(Sight.SILENT, known("d").here());
    assertEquals(49, peers.turnedDown());
    // The life that is there now has nothing to do with it, and what the old one said is over.
    hear(new PeerId("d", BEGAN), "d:2", 2_000_000, 1);
    peers.onPacket(from(new PeerId("d", BEGAN - 86_400_000_000L), "d:1", 901), nowUs);
    assertEquals("d:2", known("d").address());
    assertEquals(PeerState.ALIVE, known("d").state());
  }

  @Test
  void incarnationsThatCannotBeMoveNothing() {
    for (final long strange :
        new long[] {0, -1, Long.MIN_VALUE, Long.MAX_VALUE, BEGAN + 2 * 86_400_000_000L}) {
      peers.onPacket(
          from(
              new PeerId("d", strange),
              "d:1",
              1,
              new Item.Fact(new PeerId("b", strange), "b:1", Item.Life.DEAD)),
          nowUs);
      peers.onPacket(
          from(
              new PeerId("a", BEGAN),
              "a:1",
              nowUs,
              new Item.Fact(new PeerId("b", strange), "b:1", Item.Life.DEAD)),
          nowUs);
    }
    assertNull(known("d"));
    assertEquals(new PeerId("b", BEGAN), peers.self());
  }

  /**
   * Its folder is gone and the clock went back an hour: the fleet remembers a later life of this
   * name than this one.
   */
  @Test
  void aPastThatIsLaterThanThePresentIsOvertaken() {
    final PeerId past = new PeerId("b", BEGAN + 3_600_000_000L);
    peers.onPacket(
        from(new PeerId("a", BEGAN), "a:1", 1, new Item.Fact(past, "b:9", Item.Life.ALIVE)), nowUs);
    assertEquals(past.incarnation() + 1, peers.self().incarnation());
    assertEquals(Standing.FORMING, peers.standing());
  }

  @Test
  void whoIsDeadByAgreementBeginsAnotherLife() {
    run(3_000_000);
    peers.onPacket(
        from(new PeerId("a", BEGAN), "a:1", 1, new Item.Fact(peers.self(), "b:1", Item.Life.DEAD)),
        nowUs);
    assertEquals(new PeerId("b", BEGAN + 1), peers.self());
    assertEquals(
        Standing.MAJORITY,
        peers.standing(),
        "of its own fleet of one, until it is told of a better one");
  }

  /**
   * Two processes of one name: the one that began first keeps out, looks now and then, and is back
   * when the other is gone.
   */
  @Test
  void aRivalOfTheSameNameIsLeftTheName() {
    run(3_000_000);
    final PeerId rival = new PeerId("b", BEGAN + 10_000_000);
    peers.onPacket(from(rival, "x:1", 1), nowUs);
    assertEquals(Standing.CONFLICT, peers.standing());
    assertTrue(
        events.stream()
            .anyMatch(
                event -> event.kind() == PeerEvent.Kind.CONFLICT && event.text().contains("x:1")));
    sent.clear();
    run(12_000_000);
    assertFalse(sent.isEmpty());
    assertTrue(
        sent.stream().allMatch(packet -> packet.sender() == null),
        "it says nothing under the name");
    peers.onPacket(
        from(new PeerId("a", BEGAN), "a:1", 5, new Item.Fact(rival, "x:1", Item.Life.DEAD)), nowUs);
    assertEquals(rival.incarnation() + 1, peers.self().incarnation());
    assertEquals(Standing.MAJORITY, peers.standing());
  }

  @Test
  void oneThatOnlyLooksIsToldOfTheNameItAsksFor() {
    hear(new PeerId("d", BEGAN), "d:1", 500_000, 1);
    sent.clear();
    peers.onPacket(
        new Packet(
            null,
            "z:1",
            1,
            0,
            ViewMark.NONE,
            0,
            PeerWord.WELL,
            Packet.Kind.PING,
            0,
            List.of(new Item.Fact(new PeerId("d", 1), "z:1", Item.Life.ALIVE))),
        nowUs);
    assertEquals("z:1", sentTo.get(sentTo.size() - 1));
    assertTrue(
        sent.get(0)
            .items()
            .contains(new Item.Fact(new PeerId("d", BEGAN), "d:1", Item.Life.ALIVE)));
    assertNull(known("z"));
  }

  /** It answers, and delivers nothing: its own word says so, and travels. */
  @Test
  void whoAnswersAndDeliversNothingSaysSo() {
    final PeerWord stuck = new PeerWord(LocalHealth.State.WELL, 0, 40, true);
    hear(new PeerId("d", BEGAN), "d:1", 500_000, 1);
    peers.onPacket(
        new Packet(
            new PeerId("d", BEGAN),
            "d:1",
            100,
            100,
            ViewMark.NONE,
            1,
            stuck,
            Packet.Kind.NEWS,
            0,
            List.of()),
        nowUs);
    assertEquals(stuck, known("d").word());
    sent.clear();
    run(300_000);
    assertTrue(
        sent.stream()
            .anyMatch(
                packet ->
                    packet.items().contains(new Item.Said(new PeerId("d", BEGAN), 1, stuck))));
    peers.say(new PeerWord(LocalHealth.State.STARVED, 5, 3, false), nowUs);
    run(600_000);
    assertEquals(LocalHealth.State.STARVED, sent.get(sent.size() - 1).word().health());
  }

  @Test
  void afterAnAbsenceItAccusesNobodyAndSaysThatItWasAway() {
    hear(new PeerId("d", BEGAN), "d:1", 4_000_000, 1);
    nowUs += 7_000_000;
    sent.clear();
    run(1_500_000);
    assertEquals(Sight.HEARD, known("d").here());
    assertTrue(events.stream().anyMatch(event -> event.kind() == PeerEvent.Kind.AWAY));
    assertTrue(
        sent.stream()
            .noneMatch(
                packet -> packet.items().stream().anyMatch(item -> item instanceof Item.Report)));
    peers.say(PeerWord.WELL, nowUs);
    run(600_000);
    assertTrue(sent.get(sent.size() - 1).word().awayMs() > 6500);
  }

  @Test
  void aPeerThatIsSilentAloneIsNeverDeadForATwoMemberFleet() {
    hear(new PeerId("d", BEGAN), "d:1", 4_000_000, 1);
    run(60_000_000);
    assertEquals(PeerState.SUSPECT, known("d").state());
    assertEquals(Standing.ALONE, peers.standing());
    assertEquals(2, peers.view().members().size());
  }

  /**
   * Another courier listens where one did: that one is over there, and is found where it says that
   * it is now.
   */
  @Test
  void anAddressThatChangesHandsIsNobodysOldOne() {
    hear(new PeerId("d", BEGAN), "d:1", 4_000_000, 1);
    peers.onGreeted("d:1", new PeerId("d", BEGAN), nowUs);
    peers.onClosed("d:1", nowUs);
    for (int times = 0; times < 3; times++) {
      run(1_500_000);
      peers.onGreeted("d:1", new PeerId("e", BEGAN), nowUs);
    }
    run(500_000);
    assertEquals(Sight.ENDED, known("d").here());
    assertEquals(PeerState.SUSPECT, known("d").state());
    hear(new PeerId("d", BEGAN + 1), "d:7", 2_500_000, 1);
    assertEquals("d:7", known("d").address());
    assertEquals(Sight.HEARD, known("d").here());
    assertTrue(peers.view().has(new PeerId("d", BEGAN + 1)));
  }

  @Test
  void afterItsFarewellItSaysNothing() {
    hear(new PeerId("d", BEGAN), "d:1", 4_000_000, 1);
    sent.clear();
    peers.leave(nowUs);
    assertEquals(2, sent.size());
    assertTrue(
        sent.get(0).items().contains(new Item.Fact(new PeerId("b", BEGAN), "b:1", Item.Life.LEFT)));
    run(2_000_000);
    assertEquals(2, sent.size());
  }

  /** Whatever the others say, what it keeps and sends is bounded. */
  @Test
  void whatOthersSayCostsABoundedPart() {
    long seq = 1;
    for (int number = 0; number < 5000; number++) {
      peers.onPacket(
          from(
              new PeerId("d", BEGAN),
              "d:1",
              seq++,
              new Item.Fact(new PeerId("x" + number, BEGAN), "d:1", Item.Life.ALIVE)),
          nowUs);
    }
    assertTrue(peers.known(nowUs).size() <= Roll.MOST);
    sent.clear();
    run(10_000_000);
    final int bytes =
        sent.stream().mapToInt(packet -> packet.items().stream().mapToInt(Item::bytes).sum()).sum();
    assertTrue(bytes < 200_000, () -> bytes + " bytes of items in 10 s");
    assertTrue(
        sent.stream()
            .allMatch(
                packet ->
                    packet.items().stream().mapToInt(Item::bytes).sum() <= Packet.MOST_ITEM_BYTES));
  }
}
