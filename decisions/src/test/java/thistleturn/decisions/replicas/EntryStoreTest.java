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
final class EntryStoreTest {
  private static final long NOW_US = 1_000_000_000L;
  private static final long SECOND_US = 1_000_000;
  private static final WriterId A = new WriterId("a", 1);
  private static final WriterId B = new WriterId("b", 1);
  private static final WriterId C = new WriterId("c", 7);
  private static final ReplicationSettings SETTINGS = ReplicationSettings.defaults();

  private static Entry entry(
      final WriterId writer,
      final long version,
      final EntryType kind,
      final String subject,
      final long lifeUs,
      final Object... fields) {
    return new Entry(kind.code(), subject, writer, version, lifeUs, NOW_US, List.of(fields));
  }

  private static Entry disableEntry(
      final WriterId writer,
      final long version,
      final String subject,
      final boolean out,
      final Map<WriterId, Long> seen) {
    return new Entry(
        EntryType.MAINTENANCE.code(),
        subject,
        writer,
        version,
        0,
        NOW_US,
        new DisableEntry(out, "o", seen).toFields());
  }

  private static Delta singleEntryDelta(final Entry entry) {
    return new Delta(entry.writer(), entry.version() - 1, entry.version(), List.of(entry));
  }

  private static void merge(final EntryStore copies, final Delta delta) {
    copies.merge(delta, NOW_US, new HashSet<>());
  }

  /** A history of three writers, in which words by hand know of those before them now and then. */
  private static List<Entry> history(final Random random) {
    final List<Entry> all = new ArrayList<>();
    final long[] versions = new long[3];
    final WriterId[] writers = {A, B, C};
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
              disableEntry(
                  writers[which],
                  version,
                  "e" + subject,
                  random.nextBoolean(),
                  DisableEntry.superseding(known, writers[which], true, "o").supersededVersions()));
        }
        case 1 ->
            all.add(
                entry(
                    writers[which],
                    version,
                    EntryType.WAIT,
                    subject,
                    SECOND_US * (1 + random.nextInt(50))));
        case 2 ->
            all.add(
                entry(
                    writers[which],
                    version,
                    EntryType.OUTAGE,
                    subject,
                    EntryType.OUTAGE.maxTtlUs(),
                    random.nextBoolean()));
        default ->
            all.add(
                entry(
                    writers[which],
                    version,
                    EntryType.LIMIT,
                    subject,
                    EntryType.LIMIT.maxTtlUs(),
                    1.0 + random.nextInt(9)));
      }
    }
    return all;
  }

  @Property(tries = 2000)
  void anyOrderAndDuplication_convergesToSameEntries(@ForAll final long seed) {
    final Random random = new Random(seed);
    final List<Entry> all = history(random);
    final EntryStore inOrder = new EntryStore(SETTINGS);
    all.forEach(entry -> merge(inOrder, singleEntryDelta(entry)));
    final List<Entry> shuffled = new ArrayList<>(all);
    for (int number = 0; number < 20; number++) {
      shuffled.add(all.get(random.nextInt(all.size())));
    }
    Collections.shuffle(shuffled, random);
    final EntryStore other = new EntryStore(SETTINGS);
    shuffled.forEach(entry -> merge(other, singleEntryDelta(entry)));
    assertEquals(entryTexts(inOrder), entryTexts(other));
    assertEquals(inOrder.checksum(), other.checksum());
    for (final EntryType kind : EntryType.values()) {
      for (final String subject : inOrder.subjects(kind)) {
        assertEquals(
            MergeRule.merge(kind, subject, inOrder.entries(kind, subject)),
            MergeRule.merge(kind, subject, other.entries(kind, subject)));
      }
    }
  }

  /**
   * Two copies that each know a part, and tell each other what is lacking in pieces of any size,
   * end in the same.
   */
  @Property(tries = 1000)
  void exchangeOfMissingEntries_makesStoresEqual(@ForAll final long seed) {
    final Random random = new Random(seed);
    final List<Entry> all = history(random);
    final EntryStore one = new EntryStore(SETTINGS);
    final EntryStore other = new EntryStore(SETTINGS);
    all.forEach(
        entry -> {
          if (random.nextInt(3) > 0) {
            merge(one, singleEntryDelta(entry));
          }
          if (random.nextInt(3) > 0) {
            merge(other, singleEntryDelta(entry));
          }
        });
    final int parts = 1 + random.nextInt(4);
    for (int turn = 0; turn < 2; turn++) {
      for (int part = 0; part < parts; part++) {
        exchangeMissing(one, other, part, parts, 1 + random.nextInt(200));
        exchangeMissing(other, one, part, parts, 1 + random.nextInt(200));
      }
    }
    assertEquals(entryTexts(one), entryTexts(other));
  }

  /** One conversation, in pieces of so many bytes: each goes on where the one before left off. */
  private static void exchangeMissing(
      final EntryStore from,
      final EntryStore to,
      final int part,
      final int parts,
      final int bytes) {
    final Map<WriterId, Long> upTo = new TreeMap<>(to.knownVersions(part, parts));
    boolean more = true;
    for (int piece = 0; more; piece++) {
      assertTrue(piece < 1000, "it never ends");
      final List<Delta> deltas = new ArrayList<>();
      more = from.collectMissing(upTo, part, parts, bytes, NOW_US, deltas);
      for (final Delta delta : deltas) {
        merge(to, delta);
        delta.entries().forEach(entry -> upTo.merge(entry.writer(), entry.version(), Math::max));
        upTo.merge(delta.writer(), delta.upToVersion(), Math::max);
      }
    }
  }

  private static Set<String> entryTexts(final EntryStore copies) {
    final Set<String> texts = new HashSet<>();
    copies.all().forEach(entry -> texts.add(entry.toString()));
    return texts;
  }

  @Test
  void supersededDisableEntry_isNotStoredAgain() {
    final EntryStore copies = new EntryStore(SETTINGS);
    final Entry out = disableEntry(A, 1, "e1", true, Map.of());
    final Entry back = disableEntry(B, 1, "e1", false, Map.of(A, 1L));
    merge(copies, singleEntryDelta(out));
    merge(copies, singleEntryDelta(back));
    assertEquals(List.of(back), copies.entries(EntryType.MAINTENANCE, "e1"));
    merge(copies, singleEntryDelta(out));
    merge(copies, new Delta(A, 0, 1, List.of(out)));
    assertEquals(List.of(back), copies.entries(EntryType.MAINTENANCE, "e1"));
    // A copy that knows nothing of A's shelf any more: the word that took its place still stands.
    final EntryStore wiped = new EntryStore(SETTINGS);
    merge(wiped, singleEntryDelta(back));
    merge(wiped, singleEntryDelta(out));
    assertEquals(
        "may serve",
        MergeRule.merge(EntryType.MAINTENANCE, "e1", wiped.entries(EntryType.MAINTENANCE, "e1"))
            .state());
  }

  @Test
  void expiredEntry_isNotStoredAgain() {
    final EntryStore copies = new EntryStore(SETTINGS);
    final Entry wait = entry(A, 1, EntryType.WAIT, "7", SECOND_US);
    merge(copies, singleEntryDelta(wait));
    final Set<SubjectChanged> changed = new HashSet<>();
    copies.expire(NOW_US + SECOND_US, changed);
    assertEquals(Set.of(new SubjectChanged(EntryType.WAIT.code(), "7")), changed);
    assertEquals(0, copies.size());
    copies.merge(singleEntryDelta(wait), NOW_US + SECOND_US / 2, new HashSet<>());
    assertEquals(0, copies.size(), "its version is known to be past");
  }

  @Test
  void sameEntryWithEarlierCreation_expiresSooner() {
    final EntryStore copies = new EntryStore(SETTINGS);
    merge(copies, singleEntryDelta(entry(A, 1, EntryType.WAIT, "7", 10 * SECOND_US)));
    merge(
        copies,
        singleEntryDelta(
            entry(A, 1, EntryType.WAIT, "7", 10 * SECOND_US).withCreatedUs(NOW_US - SECOND_US)));
    assertEquals(NOW_US + 9 * SECOND_US, copies.entries(EntryType.WAIT, "7").get(0).expiresUs());
    merge(copies, singleEntryDelta(entry(A, 1, EntryType.WAIT, "7", 10 * SECOND_US)));
    assertEquals(
        NOW_US + 9 * SECOND_US,
        copies.entries(EntryType.WAIT, "7").get(0).expiresUs(),
        "and never later again");
    assertEquals(1, copies.size());
  }

  @Test
  void invalidEntries_areRejectedAndCounted() {
    final EntryStore copies = new EntryStore(SETTINGS);
    final List<Entry> lies =
        List.of(
            entry(A, 1, EntryType.WAIT, "7", Long.MAX_VALUE),
            entry(A, 2, EntryType.WAIT, "7", -1),
            entry(A, 3, EntryType.LIMIT, "7", SECOND_US, 0.0),
            entry(A, 4, EntryType.LIMIT, "7", SECOND_US, Double.POSITIVE_INFINITY),
            entry(A, 5, EntryType.LIMIT, "7", SECOND_US, Double.NaN),
            entry(A, 6, EntryType.LIMIT, "x7", SECOND_US, 3.0),
            entry(A, 7, EntryType.OUTAGE, "9".repeat(19), SECOND_US, true),
            entry(A, 8, EntryType.MAINTENANCE, "e", SECOND_US, true, "o"),
            entry(A, 9, EntryType.MAINTENANCE, "e", 0, "true", "o"),
            entry(A, 10, EntryType.WAIT, "n".repeat(300), SECOND_US),
            entry(A, 11, EntryType.WAIT, "7", SECOND_US).withCreatedUs(NOW_US + 1),
            entry(A, Long.MAX_VALUE, EntryType.WAIT, "7", SECOND_US));
    lies.forEach(lie -> merge(copies, new Delta(A, 0, 1, List.of(lie))));
    merge(copies, new Delta(A, 0, Long.MAX_VALUE, List.of()));
    merge(copies, new Delta(A, 9, 3, List.of()));
    merge(copies, new Delta(new WriterId("", 3), 0, 3, List.of()));
    merge(copies, new Delta(A, 0, 3, List.of(entry(B, 1, EntryType.WAIT, "7", SECOND_US))));
    assertEquals(0, copies.size());
    assertEquals(lies.size() + 4, copies.rejected());
  }

  @Test
  void entriesBeyondBounds_areRejected() {
    final ReplicationSettings few = new ReplicationSettings(1, 1, 1, 1, 1, 1000, 600, 1, 1);
    final EntryStore copies = new EntryStore(few);
    for (int number = 1; number <= 5000; number++) {
      merge(
          copies,
          singleEntryDelta(entry(A, number, EntryType.WAIT, String.valueOf(number), SECOND_US)));
      merge(
          copies,
          singleEntryDelta(entry(B, number, EntryType.WAIT, String.valueOf(number), SECOND_US)));
    }
    assertTrue(copies.size() <= 1000, "holds " + copies.size());
    assertEquals(
        600,
        copies.entries(EntryType.WAIT, "1").size() * 600 / 2,
        "both writers had a word on the first");
    assertTrue(copies.rejected() >= 9000);
  }

  @Test
  void entriesOfUnknownTypes_areStoredAndForwarded() {
    final EntryStore copies = new EntryStore(SETTINGS);
    final Entry later = new Entry(77, "whatever", A, 1, SECOND_US, NOW_US, List.of("x", 3L, true));
    final Entry longer =
        new Entry(
            EntryType.LIMIT.code(),
            "7",
            A,
            2,
            SECOND_US,
            NOW_US,
            List.of(5.0, "of a later version"));
    merge(copies, new Delta(A, 0, 2, List.of(later, longer)));
    final List<Delta> told = new ArrayList<>();
    copies.collectMissing(Map.of(), 0, 1, 10_000, NOW_US, told);
    assertEquals(List.of(later, longer), told.get(0).entries());
  }

  @Test
  void enableEntry_isCompactedOnlyAfterRetention() {
    final EntryStore copies = new EntryStore(SETTINGS);
    merge(copies, singleEntryDelta(disableEntry(A, 1, "e1", false, Map.of())));
    merge(copies, singleEntryDelta(disableEntry(B, 1, "e2", true, Map.of())));
    copies.compact(NOW_US + SETTINGS.tombstoneRetentionUs());
    assertEquals(2, copies.size());
    copies.compact(NOW_US + SETTINGS.tombstoneRetentionUs() + 1);
    assertEquals(1, copies.size());
    assertEquals(
        "left out",
        MergeRule.merge(EntryType.MAINTENANCE, "e2", copies.entries(EntryType.MAINTENANCE, "e2"))
            .state());
    assertTrue(
        SETTINGS.tombstoneRetentionUs() > SETTINGS.maxSeparationUs(),
        "whoever was apart for longer takes over what others hold");
  }
}
