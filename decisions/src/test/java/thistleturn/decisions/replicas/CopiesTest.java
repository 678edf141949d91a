package thistleturn.decisions.replicas;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Copies end in the same whatever the order, however often; nothing that was taken back comes
 * again.
 */
@Tag("replicas")
@org.junit.jupiter.api.Tag("replicas")
final class CopiesTest {
  private static final long NOW = 1_000_000_000L;
  private static final long SECOND = 1_000_000;
  private static final Writer A = new Writer("a", 1);
  private static final Writer B = new Writer("b", 1);
  private static final Writer C = new Writer("c", 7);
  private static final ReplicaRules RULES = ReplicaRules.usual();

  private static Entry entry(
      final Writer writer,
      final long version,
      final Kind kind,
      final String subject,
      final long lifeUs,
      final Object... fields) {
    return new Entry(kind.code(), subject, writer, version, lifeUs, NOW, List.of(fields));
  }

  private static Entry ban(
      final Writer writer,
      final long version,
      final String subject,
      final boolean out,
      final Map<Writer, Long> seen) {
    return new Entry(
        Kind.MAINTENANCE.code(),
        subject,
        writer,
        version,
        0,
        NOW,
        new Ban(out, "o", seen).fields());
  }

  private static Delta alone(final Entry entry) {
    return new Delta(entry.writer(), entry.version() - 1, entry.version(), List.of(entry));
  }

  private static void merge(final Copies copies, final Delta delta) {
    copies.merge(delta, NOW, new HashSet<>());
  }

  /** A history of three writers, in which words by hand know of those before them now and then. */
  private static List<Entry> history(final Random random) {
    final List<Entry> all = new ArrayList<>();
    final long[] versions = new long[3];
    final Writer[] writers = {A, B, C};
    for (int number = 0; number < 40; number++) {
      final int which = random.nextInt(3);
      final String subject = String.valueOf(random.nextInt(3));
      final long version = ++versions[which];
      switch (random.nextInt(4)) {
        case 0 -> {
          // It knows of its own last word, and of some of the others'.
          final List<Entry> known = new ArrayList<>();
          all.stream()
              .filter(entry -> entry.subject().equals("e" + subject))
              .forEach(
                  entry -> {
                    if (entry.writer().equals(writers[which]) || random.nextBoolean()) {
                      known.add(entry);
                    }
                  });
          all.add(
              ban(
                  writers[which],
                  version,
                  "e" + subject,
                  random.nextBoolean(),
                  Ban.after(known, writers[which], true, "o").seen()));
        }
        case 1 ->
            all.add(
                entry(
                    writers[which],
                    version,
                    Kind.WAIT,
                    subject,
                    SECOND * (1 + random.nextInt(50))));
        case 2 ->
            all.add(
                entry(
                    writers[which],
                    version,
                    Kind.OUTAGE,
                    subject,
                    Kind.OUTAGE.mostUs(),
                    random.nextBoolean()));
        default ->
            all.add(
                entry(
                    writers[which],
                    version,
                    Kind.LIMIT,
                    subject,
                    Kind.LIMIT.mostUs(),
                    1.0 + random.nextInt(9)));
      }
    }
    return all;
  }

  @Property(tries = 2000)
  void anyOrderAndAnyDoublingEndInTheSame(@ForAll final long seed) {
    final Random random = new Random(seed);
    final List<Entry> all = history(random);
    final Copies inOrder = new Copies(RULES);
    all.forEach(entry -> merge(inOrder, alone(entry)));
    final List<Entry> shuffled = new ArrayList<>(all);
    for (int number = 0; number < 20; number++) {
      shuffled.add(all.get(random.nextInt(all.size())));
    }
    Collections.shuffle(shuffled, random);
    final Copies other = new Copies(RULES);
    shuffled.forEach(entry -> merge(other, alone(entry)));
    assertEquals(texts(inOrder), texts(other));
    assertEquals(inOrder.sum(), other.sum());
    for (final Kind kind : Kind.values()) {
      for (final String subject : inOrder.subjects(kind)) {
        assertEquals(
            Rule.of(kind, subject, inOrder.words(kind, subject)),
            Rule.of(kind, subject, other.words(kind, subject)));
      }
    }
  }

  /**
   * Two copies that each know a part, and tell each other what is lacking in pieces of any size,
   * end in the same.
   */
  @Property(tries = 1000)
  void whatIsLackingMakesCopiesEqual(@ForAll final long seed) {
    final Random random = new Random(seed);
    final List<Entry> all = history(random);
    final Copies one = new Copies(RULES);
    final Copies other = new Copies(RULES);
    all.forEach(
        entry -> {
          if (random.nextInt(3) > 0) {
            merge(one, alone(entry));
          }
          if (random.nextInt(3) > 0) {
            merge(other, alone(entry));
          }
        });
    final int parts = 1 + random.nextInt(4);
    for (int turn = 0; turn < 2; turn++) {
      for (int part = 0; part < parts; part++) {
        tell(one, other, part, parts, 1 + random.nextInt(200));
        tell(other, one, part, parts, 1 + random.nextInt(200));
      }
    }
    assertEquals(texts(one), texts(other));
  }

  /** One conversation, in pieces of so many bytes: each goes on where the one before left off. */
  private static void tell(
      final Copies from, final Copies to, final int part, final int parts, final int bytes) {
    final Map<Writer, Long> upTo = new TreeMap<>(to.known(part, parts));
    boolean more = true;
    for (int piece = 0; more; piece++) {
      assertTrue(piece < 1000, "it never ends");
      final List<Delta> deltas = new ArrayList<>();
      more = from.lacking(upTo, part, parts, bytes, NOW, deltas);
      for (final Delta delta : deltas) {
        merge(to, delta);
        delta.entries().forEach(entry -> upTo.merge(entry.writer(), entry.version(), Math::max));
        upTo.merge(delta.writer(), delta.to(), Math::max);
      }
    }
  }

  private static Set<String> texts(final Copies copies) {
    final Set<String> texts = new HashSet<>();
    copies.all().forEach(entry -> texts.add(entry.toString()));
    return texts;
  }

  @Test
  void aWordThatWasKnownOfDoesNotComeBack() {
    final Copies copies = new Copies(RULES);
    final Entry out = ban(A, 1, "e1", true, Map.of());
    final Entry back = ban(B, 1, "e1", false, Map.of(A, 1L));
    merge(copies, alone(out));
    merge(copies, alone(back));
    assertEquals(List.of(back), copies.words(Kind.MAINTENANCE, "e1"));
    merge(copies, alone(out));
    merge(copies, new Delta(A, 0, 1, List.of(out)));
    assertEquals(List.of(back), copies.words(Kind.MAINTENANCE, "e1"));
    // A copy that knows nothing of A's shelf any more: the word that took its place still stands.
    final Copies wiped = new Copies(RULES);
    merge(wiped, alone(back));
    merge(wiped, alone(out));
    assertEquals(
        "may serve", Rule.of(Kind.MAINTENANCE, "e1", wiped.words(Kind.MAINTENANCE, "e1")).state());
  }

  @Test
  void whatHasEndedIsNotTakenOverAgain() {
    final Copies copies = new Copies(RULES);
    final Entry wait = entry(A, 1, Kind.WAIT, "7", SECOND);
    merge(copies, alone(wait));
    final Set<Changed> changed = new HashSet<>();
    copies.expire(NOW + SECOND, changed);
    assertEquals(Set.of(new Changed(Kind.WAIT.code(), "7")), changed);
    assertEquals(0, copies.size());
    copies.merge(alone(wait), NOW + SECOND / 2, new HashSet<>());
    assertEquals(0, copies.size(), "its version is known to be past");
  }

  @Test
  void aCopyThatTravelledLessEndsSooner() {
    final Copies copies = new Copies(RULES);
    merge(copies, alone(entry(A, 1, Kind.WAIT, "7", 10 * SECOND)));
    merge(copies, alone(entry(A, 1, Kind.WAIT, "7", 10 * SECOND).madeAt(NOW - SECOND)));
    assertEquals(NOW + 9 * SECOND, copies.words(Kind.WAIT, "7").get(0).endUs());
    merge(copies, alone(entry(A, 1, Kind.WAIT, "7", 10 * SECOND)));
    assertEquals(
        NOW + 9 * SECOND, copies.words(Kind.WAIT, "7").get(0).endUs(), "and never later again");
    assertEquals(1, copies.size());
  }

  @Test
  void liesMoveNothingAndAreCounted() {
    final Copies copies = new Copies(RULES);
    final List<Entry> lies =
        List.of(
            entry(A, 1, Kind.WAIT, "7", Long.MAX_VALUE),
            entry(A, 2, Kind.WAIT, "7", -1),
            entry(A, 3, Kind.LIMIT, "7", SECOND, 0.0),
            entry(A, 4, Kind.LIMIT, "7", SECOND, Double.POSITIVE_INFINITY),
            entry(A, 5, Kind.LIMIT, "7", SECOND, Double.NaN),
            entry(A, 6, Kind.LIMIT, "x7", SECOND, 3.0),
            entry(A, 7, Kind.OUTAGE, "9".repeat(19), SECOND, true),
            entry(A, 8, Kind.MAINTENANCE, "e", SECOND, true, "o"),
            entry(A, 9, Kind.MAINTENANCE, "e", 0, "true", "o"),
            entry(A, 10, Kind.WAIT, "n".repeat(300), SECOND),
            entry(A, 11, Kind.WAIT, "7", SECOND).madeAt(NOW + 1),
            entry(A, Long.MAX_VALUE, Kind.WAIT, "7", SECOND));
    lies.forEach(lie -> merge(copies, new Delta(A, 0, 1, List.of(lie))));
    merge(copies, new Delta(A, 0, Long.MAX_VALUE, List.of()));
    merge(copies, new Delta(A, 9, 3, List.of()));
    merge(copies, new Delta(new Writer("", 3), 0, 3, List.of()));
    merge(copies, new Delta(A, 0, 3, List.of(entry(B, 1, Kind.WAIT, "7", SECOND))));
    assertEquals(0, copies.size());
    assertEquals(lies.size() + 4, copies.turnedDown());
  }

  @Test
  void tenMillionKeysCostNoMoreThanTheBound() {
    final ReplicaRules few = new ReplicaRules(1, 1, 1, 1, 1, 1000, 600, 1, 1);
    final Copies copies = new Copies(few);
    for (int number = 1; number <= 5000; number++) {
      merge(copies, alone(entry(A, number, Kind.WAIT, String.valueOf(number), SECOND)));
      merge(copies, alone(entry(B, number, Kind.WAIT, String.valueOf(number), SECOND)));
    }
    assertTrue(copies.size() <= 1000, "holds " + copies.size());
    assertEquals(
        600, copies.words(Kind.WAIT, "1").size() * 600 / 2, "both writers had a word on the first");
    assertTrue(copies.turnedDown() >= 9000);
  }

  @Test
  void entriesOfALaterVersionAreKeptAndPassedOn() {
    final Copies copies = new Copies(RULES);
    final Entry later = new Entry(77, "whatever", A, 1, SECOND, NOW, List.of("x", 3L, true));
    final Entry longer =
        new Entry(Kind.LIMIT.code(), "7", A, 2, SECOND, NOW, List.of(5.0, "of a later version"));
    merge(copies, new Delta(A, 0, 2, List.of(later, longer)));
    final List<Delta> told = new ArrayList<>();
    copies.lacking(Map.of(), 0, 1, 10_000, NOW, told);
    assertEquals(List.of(later, longer), told.get(0).entries());
  }

  @Test
  void aWordThatLetsServeIsForgottenOnlyWhenNobodyCanLackIt() {
    final Copies copies = new Copies(RULES);
    merge(copies, alone(ban(A, 1, "e1", false, Map.of())));
    merge(copies, alone(ban(B, 1, "e2", true, Map.of())));
    copies.forget(NOW + RULES.tombUs());
    assertEquals(2, copies.size());
    copies.forget(NOW + RULES.tombUs() + 1);
    assertEquals(1, copies.size());
    assertEquals(
        "left out", Rule.of(Kind.MAINTENANCE, "e2", copies.words(Kind.MAINTENANCE, "e2")).state());
    assertTrue(
        RULES.tombUs() > RULES.apartUs(),
        "whoever was apart for longer takes over what others hold");
  }
}
