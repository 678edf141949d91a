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
 * Stores converge to the same entries whatever the order and duplication of what they merge;
 * superseded and expired entries do not return.
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
      final EntryType type,
      final String subject,
      final long ttlUs,
      final Object... fields) {
    return new Entry(type.code(), subject, writer, version, ttlUs, NOW_US, List.of(fields));
  }

  private static Entry disableEntry(
      final WriterId writer,
      final long version,
      final String subject,
      final boolean disabled,
      final Map<WriterId, Long> superseded) {
    return new Entry(
        EntryType.MAINTENANCE.code(),
        subject,
        writer,
        version,
        0,
        NOW_US,
        new DisableEntry(disabled, "o", superseded).toFields());
  }

  private static Delta singleEntryDelta(final Entry entry) {
    return new Delta(entry.writer(), entry.version() - 1, entry.version(), List.of(entry));
  }

  private static void merge(final EntryStore store, final Delta delta) {
    store.merge(delta, NOW_US, new HashSet<>());
  }

  /**
   * Returns a history of three writers, in which some of the operators' decisions supersede earlier
   * ones.
   */
  private static List<Entry> history(final Random random) {
    final List<Entry> all = new ArrayList<>();
    final long[] versions = new long[3];
    final WriterId[] writers = {A, B, C};
    for (int number = 0; number < 40; number++) {
      final int writer = random.nextInt(3);
      final String subject = String.valueOf(random.nextInt(3));
      versions[writer]++;
      all.add(randomEntry(random, writers[writer], versions[writer], subject, all));
    }
    return all;
  }

  private static Entry randomEntry(
      final Random random,
      final WriterId writer,
      final long version,
      final String subject,
      final List<Entry> earlier) {
    return switch (random.nextInt(4)) {
      case 0 -> randomDecision(random, writer, version, "e" + subject, earlier);
      case 1 ->
          entry(writer, version, EntryType.WAIT, subject, SECOND_US * (1 + random.nextInt(50)));
      case 2 ->
          entry(
              writer,
              version,
              EntryType.OUTAGE,
              subject,
              EntryType.OUTAGE.maxTtlUs(),
              random.nextBoolean());
      default ->
          entry(
              writer,
              version,
              EntryType.LIMIT,
              subject,
              EntryType.LIMIT.maxTtlUs(),
              1.0 + random.nextInt(9));
    };
  }

  /** Returns a decision that supersedes the writer's own last one, and some of the others'. */
  private static Entry randomDecision(
      final Random random,
      final WriterId writer,
      final long version,
      final String endpoint,
      final List<Entry> earlier) {
    final List<Entry> known = new ArrayList<>();
    for (final Entry entry : earlier) {
      if (entry.subject().equals(endpoint)
          && (entry.writer().equals(writer) || random.nextBoolean())) {
        known.add(entry);
      }
    }
    final boolean disabled = random.nextBoolean();
    return disableEntry(
        writer,
        version,
        endpoint,
        disabled,
        DisableEntry.superseding(known, writer, true, "o").supersededVersions());
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
    for (final EntryType type : EntryType.values()) {
      for (final String subject : inOrder.subjects(type)) {
        assertEquals(
            MergeRule.merge(type, subject, inOrder.entries(type, subject)),
            MergeRule.merge(type, subject, other.entries(type, subject)));
      }
    }
  }

  /**
   * Two stores that each have some of the entries, and send each other the missing ones in batches
   * of any size, become equal.
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
    final int partitions = 1 + random.nextInt(4);
    for (int round = 0; round < 2; round++) {
      for (int index = 0; index < partitions; index++) {
        final Partition partition = new Partition(index, partitions);
        exchangeMissing(one, other, partition, 1 + random.nextInt(200));
        exchangeMissing(other, one, partition, 1 + random.nextInt(200));
      }
    }
    assertEquals(entryTexts(one), entryTexts(other));
  }

  /** Sends all missing entries in batches; each continues where the previous one ended. */
  private static void exchangeMissing(
      final EntryStore from, final EntryStore to, final Partition partition, final int maxBytes) {
    final Map<WriterId, Long> covered = new TreeMap<>(to.knownVersions(partition));
    boolean hasMore = true;
    for (int batch = 0; hasMore; batch++) {
      assertTrue(batch < 1000, "the exchange does not end");
      final MissingEntries missing = from.collectMissing(covered, partition, maxBytes, NOW_US);
      hasMore = missing.hasMore();
      for (final Delta delta : missing.deltas()) {
        merge(to, delta);
        delta.entries().forEach(entry -> covered.merge(entry.writer(), entry.version(), Math::max));
        covered.merge(delta.writer(), delta.upToVersion(), Math::max);
      }
    }
  }

  private static Set<String> entryTexts(final EntryStore store) {
    final Set<String> texts = new HashSet<>();
    store.all().forEach(entry -> texts.add(entry.toString()));
    return texts;
  }

  @Test
  void supersededDisableEntry_isNotStoredAgain() {
    final EntryStore store = new EntryStore(SETTINGS);
    final Entry disabled = disableEntry(A, 1, "e1", true, Map.of());
    final Entry enabled = disableEntry(B, 1, "e1", false, Map.of(A, 1L));
    merge(store, singleEntryDelta(disabled));
    merge(store, singleEntryDelta(enabled));
    assertEquals(List.of(enabled), store.entries(EntryType.MAINTENANCE, "e1"));
    merge(store, singleEntryDelta(disabled));
    merge(store, new Delta(A, 0, 1, List.of(disabled)));
    assertEquals(List.of(enabled), store.entries(EntryType.MAINTENANCE, "e1"));
    // In a store that no longer knows writer A, the decision that superseded A's still counts.
    final EntryStore wiped = new EntryStore(SETTINGS);
    merge(wiped, singleEntryDelta(enabled));
    merge(wiped, singleEntryDelta(disabled));
    assertEquals(
        "may serve",
        MergeRule.merge(EntryType.MAINTENANCE, "e1", wiped.entries(EntryType.MAINTENANCE, "e1"))
            .state());
  }

  @Test
  void expiredEntry_isNotStoredAgain() {
    final EntryStore store = new EntryStore(SETTINGS);
    final Entry wait = entry(A, 1, EntryType.WAIT, "7", SECOND_US);
    merge(store, singleEntryDelta(wait));
    final Set<SubjectChanged> changed = new HashSet<>();
    store.expire(NOW_US + SECOND_US, changed);
    assertEquals(Set.of(new SubjectChanged(EntryType.WAIT.code(), "7")), changed);
    assertEquals(0, store.size());
    store.merge(singleEntryDelta(wait), NOW_US + SECOND_US / 2, new HashSet<>());
    assertEquals(0, store.size(), "its version is already known");
  }

  @Test
  void sameEntryWithEarlierCreation_expiresSooner() {
    final EntryStore store = new EntryStore(SETTINGS);
    merge(store, singleEntryDelta(entry(A, 1, EntryType.WAIT, "7", 10 * SECOND_US)));
    merge(
        store,
        singleEntryDelta(
            entry(A, 1, EntryType.WAIT, "7", 10 * SECOND_US).withCreatedUs(NOW_US - SECOND_US)));
    assertEquals(NOW_US + 9 * SECOND_US, store.entries(EntryType.WAIT, "7").get(0).expiresUs());
    merge(store, singleEntryDelta(entry(A, 1, EntryType.WAIT, "7", 10 * SECOND_US)));
    assertEquals(
        NOW_US + 9 * SECOND_US,
        store.entries(EntryType.WAIT, "7").get(0).expiresUs(),
        "a later copy does not postpone it");
    assertEquals(1, store.size());
  }

  @Test
  void invalidEntries_areRejectedAndCounted() {
    final EntryStore store = new EntryStore(SETTINGS);
    final List<Entry> invalid =
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
    invalid.forEach(entry -> merge(store, new Delta(A, 0, 1, List.of(entry))));
    merge(store, new Delta(A, 0, Long.MAX_VALUE, List.of()));
    merge(store, new Delta(A, 9, 3, List.of()));
    merge(store, new Delta(new WriterId("", 3), 0, 3, List.of()));
    merge(store, new Delta(A, 0, 3, List.of(entry(B, 1, EntryType.WAIT, "7", SECOND_US))));
    assertEquals(0, store.size());
    assertEquals(invalid.size() + 4, store.rejected());
  }

  @Test
  void entriesBeyondBounds_areRejected() {
    final ReplicationSettings smallSettings =
        new ReplicationSettings(1, 1, 1, 1, 1, 1000, 600, 1, 1);
    final EntryStore store = new EntryStore(smallSettings);
    for (int number = 1; number <= 5000; number++) {
      merge(
          store,
          singleEntryDelta(entry(A, number, EntryType.WAIT, String.valueOf(number), SECOND_US)));
      merge(
          store,
          singleEntryDelta(entry(B, number, EntryType.WAIT, String.valueOf(number), SECOND_US)));
    }
    assertTrue(store.size() <= 1000, "stored entries: " + store.size());
    assertEquals(
        600,
        store.entries(EntryType.WAIT, "1").size() * 600 / 2,
        "both writers have an entry on the first subject");
    assertTrue(store.rejected() >= 9000);
  }

  @Test
  void entriesOfUnknownTypes_areStoredAndForwarded() {
    final EntryStore store = new EntryStore(SETTINGS);
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
    merge(store, new Delta(A, 0, 2, List.of(later, longer)));
    final MissingEntries missing = store.collectMissing(Map.of(), Partition.ALL, 10_000, NOW_US);
    assertEquals(List.of(later, longer), missing.deltas().get(0).entries());
  }

  @Test
  void enableEntry_isCompactedOnlyAfterRetention() {
    final EntryStore store = new EntryStore(SETTINGS);
    merge(store, singleEntryDelta(disableEntry(A, 1, "e1", false, Map.of())));
    merge(store, singleEntryDelta(disableEntry(B, 1, "e2", true, Map.of())));
    store.compact(NOW_US + SETTINGS.tombstoneRetentionUs());
    assertEquals(2, store.size());
    store.compact(NOW_US + SETTINGS.tombstoneRetentionUs() + 1);
    assertEquals(1, store.size());
    assertEquals(
        "left out",
        MergeRule.merge(EntryType.MAINTENANCE, "e2", store.entries(EntryType.MAINTENANCE, "e2"))
            .state());
    assertTrue(
        SETTINGS.tombstoneRetentionUs() > SETTINGS.maxSeparationUs(),
        "a courier that was separated for longer adopts the state of others");
  }
}
