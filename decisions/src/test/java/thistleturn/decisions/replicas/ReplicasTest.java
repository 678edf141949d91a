package thistleturn.decisions.replicas;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** One courier's part: what it says when, and how it takes what it cannot trust. */
@Tag("replicas")
final class ReplicasTest {
  private static final long SECOND = 1_000_000;
  private static final long BEGAN = 1000 * SECOND;
  private static final Writer SELF = new Writer("n0", 5);
  private static final Writer OTHER = new Writer("n1", 3);
  private static final ReplicaRules RULES = ReplicaRules.usual();

  private record Sent(String to, Message message) {}

  private final List<Sent> sent = new ArrayList<>();
  private final List<String> changed = new ArrayList<>();
  private final List<String> happened = new ArrayList<>();
  private final Replicas replicas =
      new Replicas(
          RULES,
          SELF,
          1,
          BEGAN,
          new Replicas.Out() {
            @Override
            public void send(final String to, final Message message) {
              sent.add(new Sent(to, message));
            }

            @Override
            public void piece(final String to, final Message message) {
              sent.add(new Sent(to, message));
            }

            @Override
            public void changed(final Kind kind, final String subject) {
              changed.add(kind + " " + subject);
            }

            @Override
            public void happened(final String text) {
              happened.add(text);
            }
          });
  private long nowUs = BEGAN;

  private void pass(final long us) {
    for (final long untilUs = nowUs + us; nowUs < untilUs; ) {
      nowUs += RULES.tickUs();
      replicas.tick(nowUs);
    }
  }

  private static Entry ban(
      final Writer writer, final long version, final boolean out, final long madeUs) {
    return new Entry(
        Kind.MAINTENANCE.code(),
        "e1",
        writer,
        version,
        0,
        madeUs,
        new Ban(out, "o", Map.of()).fields());
  }

  private void tell(final Entry entry) {
    replicas.onMessage(
        "n1",
        new Message.News(
            List.of(
                new Delta(entry.writer(), entry.version() - 1, entry.version(), List.of(entry)))),
        nowUs);
  }

  @Test
  void aWordGoesToAllAtOnceAndIsReadHereAtOnce() {
    replicas.others(List.of("n1", "n2"));
    replicas.maintain("e1", true, "o", nowUs);
    assertEquals(List.of("MAINTENANCE e1"), changed);
    assertEquals("left out", replicas.verdict(Kind.MAINTENANCE, "e1").state());
    pass(2 * RULES.tickUs());
    for (final String to : List.of("n1", "n2")) {
      assertEquals(
          2,
          sent.stream()
              .filter(one -> one.to().equals(to) && one.message() instanceof Message.News)
              .count(),
          "twice, for one may be lost");
    }
    pass(2 * SECOND);
    assertEquals(
        4,
        sent.stream().filter(one -> one.message() instanceof Message.News).count(),
        "and no more");
    assertTrue(
        sent.stream().anyMatch(one -> one.message() instanceof Message.Mark),
        "what is lost is found by comparing");
  }

  @Test
  void anOperatorWhoKnowsOfAWordTakesItsPlace() {
    tell(ban(OTHER, 1, true, nowUs));
    replicas.maintain("e1", false, "o", nowUs);
    assertEquals("may serve", replicas.verdict(Kind.MAINTENANCE, "e1").state());
    assertFalse(replicas.verdict(Kind.MAINTENANCE, "e1").conflict());
    tell(ban(OTHER, 1, true, nowUs));
    assertEquals(
        "may serve",
        replicas.verdict(Kind.MAINTENANCE, "e1").state(),
        "told again, it is still the older one");
    tell(ban(OTHER, 2, true, nowUs));
    assertEquals("left out", replicas.verdict(Kind.MAINTENANCE, "e1").state());
    assertTrue(
        replicas.verdict(Kind.MAINTENANCE, "e1").conflict(), "that one did not know of this one");
  }

  @Test
  void aShorterWaitSaysNothingNew() {
    replicas.waits("7", nowUs + 5 * SECOND, nowUs);
    replicas.waits("7", nowUs + 4 * SECOND, nowUs);
    replicas.waits("7", nowUs - 1, nowUs);
    assertEquals(1, replicas.words(Kind.WAIT, "7").get(0).version());
    replicas.waits("7", nowUs + 6 * SECOND, nowUs);
    assertEquals(2, replicas.words(Kind.WAIT, "7").get(0).version());
    replicas.waits("8", Long.MAX_VALUE, nowUs);
    assertEquals(
        nowUs + Kind.WAIT.mostUs(),
        replicas.verdict(Kind.WAIT, "8").untilUs(),
        "a wait of centuries is an hour");
    pass(7 * SECOND);
    assertEquals("nothing", replicas.verdict(Kind.WAIT, "7").state());
  }

  @Test
  void copiesThatAreEqualSayNoMoreThanThat() {
    replicas.others(List.of("n1"));
    pass(10 * SECOND);
    assertTrue(sent.stream().allMatch(one -> one.message() instanceof Message.Mark));
    assertTrue(sent.size() <= 60, "marks in 10 s: " + sent.size());
    replicas.onMessage("n1", new Message.Mark(replicas.sum(), 0), nowUs);
    assertTrue(replicas.isCaughtUp());
  }

  @Test
  void whatIsAskedForIsBoundedInBytesASecond() {
    for (int number = 1; number <= 20_000; number++) {
      replicas.limited(String.valueOf(number), 5, nowUs);
    }
    pass(SECOND);
    sent.clear();
    final long fromUs = nowUs;
    for (int turn = 0; turn < 2000; turn++) {
      replicas.onMessage("n1", new Message.Page(0, 1, Map.of(), false), nowUs);
    }
    pass(SECOND);
    for (int turn = 0; turn < 2000; turn++) {
      replicas.onMessage("n1", new Message.Page(0, 1, Map.of(), false), nowUs);
    }
    final long bytes =
        sent.stream()
            .filter(one -> one.message() instanceof Message.Piece)
            .mapToLong(one -> one.message().bytes())
            .sum();
    final double seconds = 1 + (nowUs - fromUs) / (double) SECOND;
    assertTrue(
        bytes <= seconds * RULES.pieceBytesPerS() + 2.0 * Replicas.MOST_PIECE_BYTES,
        bytes + " bytes in " + seconds + " s");
    assertTrue(
        sent.stream().allMatch(one -> one.message().bytes() <= Replicas.MOST_PIECE_BYTES + 1000));
  }

  @Test
  void whoeverWasApartForWeeksTakesOverWhatOthersHold() {
    replicas.restore(
        List.of(
            new Delta(
                OTHER, 0, 1, List.of(ban(OTHER, 1, true, nowUs - RULES.apartUs() - 10 * SECOND)))),
        nowUs - RULES.apartUs() - SECOND,
        nowUs);
    assertEquals(
        "left out",
        replicas.verdict(Kind.MAINTENANCE, "e1").state(),
        "as long as nobody says otherwise");
    replicas.maintain("e2", true, "o", nowUs);
    replicas.onMessage("n1", new Message.Mark(0, 0), nowUs);
    assertEquals(
        "nothing",
        replicas.verdict(Kind.MAINTENANCE, "e1").state(),
        "others have forgotten why that was taken back");
    assertEquals(
        "left out",
        replicas.verdict(Kind.MAINTENANCE, "e2").state(),
        "what was said here meanwhile stands");
    assertNotEquals(SELF, replicas.self());
    assertEquals(1, happened.size());
  }

  @Test
  void whoeverWritesUnderOurNameIsNotMixedUpWithUs() {
    replicas.waits("7", nowUs + SECOND, nowUs);
    replicas.onMessage("n1", new Message.Page(0, 1, Map.of(SELF, 9L), false), nowUs);
    assertNotEquals(SELF, replicas.self());
    assertEquals(1, happened.size(), happened::toString);
  }

  @Test
  void pagesThatCannotBeMeantAreCounted() {
    final long before = replicas.turnedDown();
    replicas.onMessage("n1", new Message.Page(3, 2, Map.of(), true), nowUs);
    replicas.onMessage("n1", new Message.Page(0, 1 << 30, Map.of(), true), nowUs);
    replicas.onMessage("n1", new Message.Page(-1, 4, Map.of(), true), nowUs);
    assertEquals(before + 3, replicas.turnedDown());
    assertEquals(List.of(), sent);
  }
}
