package thistleturn.decisions.replicas;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Where writers differ, the more cautious entry counts as long as it may still hold. */
@Tag("replicas")
final class MergeRuleTest {
  private static final long SECOND_US = 1_000_000;
  private static final long NOW_US = 100 * SECOND_US;
  private static final WriterId A = new WriterId("a", 1);
  private static final WriterId B = new WriterId("b", 1);
  private static final WriterId C = new WriterId("c", 1);

  private static Entry disableEntry(
      final WriterId writer,
      final long version,
      final boolean disabled,
      final Map<WriterId, Long> superseded) {
    return new Entry(
        EntryType.MAINTENANCE.code(),
        "e1",
        writer,
        version,
        0,
        NOW_US,
        new DisableEntry(disabled, "o", superseded).toFields());
  }

  private static Entry entry(
      final EntryType type,
      final WriterId writer,
      final long ttlUs,
      final long createdUs,
      final Object... fields) {
    return new Entry(type.code(), "7", writer, 1, ttlUs, createdUs, List.of(fields));
  }

  private static MergedValue merge(final EntryType type, final Entry... entries) {
    return MergeRule.merge(type, "7", List.of(entries));
  }

  @Test
  void concurrentDisableAndEnable_staysDisabledWithConflict() {
    final MergedValue merged =
        merge(
            EntryType.MAINTENANCE,
            disableEntry(A, 1, true, Map.of()),
            disableEntry(B, 1, false, Map.of()));
    assertEquals("left out", merged.state());
    assertTrue(merged.conflict());
    assertEquals(List.of(A), merged.writers());
  }

  @Test
  void entryThatSupersedesBoth_resolvesConflict() {
    final MergedValue merged =
        merge(
            EntryType.MAINTENANCE,
            disableEntry(A, 1, true, Map.of()),
            disableEntry(B, 1, false, Map.of()),
            disableEntry(C, 1, false, Map.of(A, 1L, B, 1L)));
    assertEquals("may serve", merged.state());
    assertFalse(merged.conflict());
    assertEquals(List.of(C), merged.writers());
    // C's decision does not supersede a later one of A's.
    assertEquals(
        "left out",
        merge(
                EntryType.MAINTENANCE,
                disableEntry(A, 2, true, Map.of()),
                disableEntry(C, 1, false, Map.of(A, 1L, B, 1L)))
            .state());
  }

  @Test
  void twoWaits_laterEndWins() {
    final MergedValue merged =
        merge(
            EntryType.WAIT,
            entry(EntryType.WAIT, A, 9 * SECOND_US, NOW_US - 5 * SECOND_US),
            entry(EntryType.WAIT, B, 2 * SECOND_US, NOW_US));
    assertEquals(NOW_US + 4 * SECOND_US, merged.untilUs());
    assertEquals(List.of(A), merged.writers());
  }

  @Test
  void recovery_isDatedByFirstObserverAfterOutage() {
    final Entry outage = entry(EntryType.OUTAGE, A, 60 * SECOND_US, NOW_US - 9 * SECOND_US, true);
    final Entry firstRecovery =
        entry(EntryType.OUTAGE, B, 60 * SECOND_US, NOW_US - 4 * SECOND_US, false);
    final Entry laterRecovery =
        entry(EntryType.OUTAGE, C, 60 * SECOND_US, NOW_US - SECOND_US, false);
    assertEquals("out", merge(EntryType.OUTAGE, outage).state());
    final MergedValue merged = merge(EntryType.OUTAGE, outage, firstRecovery, laterRecovery);
    assertEquals("returned", merged.state());
    assertEquals(NOW_US - 4 * SECOND_US, merged.sinceUs());
    // An outage found after the recoveries counts again: it is the more cautious entry, and may
    // still hold.
    assertEquals(
        "out",
        merge(
                EntryType.OUTAGE,
                entry(EntryType.OUTAGE, A, 60 * SECOND_US, NOW_US, true),
                firstRecovery,
                laterRecovery)
            .state());
  }

  @Test
  void rateLimit_latestWinsAndLearnedRateIsWeightedMean() {
    assertEquals(
        4,
        merge(
                EntryType.LIMIT,
                entry(EntryType.LIMIT, A, 60 * SECOND_US, NOW_US - 1, 9.0),
                entry(EntryType.LIMIT, B, 60 * SECOND_US, NOW_US, 4.0))
            .value());
    final long ttlUs = EntryType.LEARNT.maxTtlUs();
    final MergedValue learned =
        merge(
            EntryType.LEARNT,
            entry(EntryType.LEARNT, A, ttlUs, NOW_US, 2.0),
            entry(EntryType.LEARNT, B, ttlUs, NOW_US, 4.0),
            entry(EntryType.LEARNT, C, ttlUs, NOW_US - ttlUs, 900.0));
    assertEquals(3, learned.value(), 1e-9);
    assertEquals("nothing", merge(EntryType.LEARNT).state());
  }
}
