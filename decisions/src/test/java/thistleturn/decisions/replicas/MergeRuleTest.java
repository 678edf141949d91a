package thistleturn.decisions.replicas;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Where writers differ, the more careful word counts, while it can still be true. */
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
      final boolean out,
      final Map<WriterId, Long> seen) {
    return new Entry(
        EntryType.MAINTENANCE.code(),
        "e1",
        writer,
        version,
        0,
        NOW_US,
        new DisableEntry(out, "o", seen).toFields());
  }

  private static Entry entry(
      final EntryType kind,
      final WriterId writer,
      final long lifeUs,
      final long madeUs,
      final Object... fields) {
    return new Entry(kind.code(), "7", writer, 1, lifeUs, madeUs, List.of(fields));
  }

  private static MergedValue merge(final EntryType kind, final Entry... words) {
    return MergeRule.merge(kind, "7", List.of(words));
  }

  @Test
  void concurrentDisableAndEnable_staysDisabledWithConflict() {
    final MergedValue verdict =
        merge(
            EntryType.MAINTENANCE,
            disableEntry(A, 1, true, Map.of()),
            disableEntry(B, 1, false, Map.of()));
    assertEquals("left out", verdict.state());
    assertTrue(verdict.conflict());
    assertEquals(List.of(A), verdict.writers());
  }

  @Test
  void entryThatSupersedesBoth_resolvesConflict() {
    final MergedValue verdict =
        merge(
            EntryType.MAINTENANCE,
            disableEntry(A, 1, true, Map.of()),
            disableEntry(B, 1, false, Map.of()),
            disableEntry(C, 1, false, Map.of(A, 1L, B, 1L)));
    assertEquals("may serve", verdict.state());
    assertFalse(verdict.conflict());
    assertEquals(List.of(C), verdict.writers());
    // Of a later word of A's nobody knew.
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
    final MergedValue verdict =
        merge(
            EntryType.WAIT,
            entry(EntryType.WAIT, A, 9 * SECOND_US, NOW_US - 5 * SECOND_US),
            entry(EntryType.WAIT, B, 2 * SECOND_US, NOW_US));
    assertEquals(NOW_US + 4 * SECOND_US, verdict.untilUs());
    assertEquals(List.of(A), verdict.writers());
  }

  @Test
  void recovery_isDatedByFirstObserverAfterOutage() {
    final Entry out = entry(EntryType.OUTAGE, A, 60 * SECOND_US, NOW_US - 9 * SECOND_US, true);
    final Entry first = entry(EntryType.OUTAGE, B, 60 * SECOND_US, NOW_US - 4 * SECOND_US, false);
    final Entry later = entry(EntryType.OUTAGE, C, 60 * SECOND_US, NOW_US - SECOND_US, false);
    assertEquals("out", merge(EntryType.OUTAGE, out).state());
    final MergedValue verdict = merge(EntryType.OUTAGE, out, first, later);
    assertEquals("returned", verdict.state());
    assertEquals(NOW_US - 4 * SECOND_US, verdict.sinceUs());
    // Found out again by the first after that: more careful, and it can still be true.
    assertEquals(
        "out",
        merge(
                EntryType.OUTAGE,
                entry(EntryType.OUTAGE, A, 60 * SECOND_US, NOW_US, true),
                first,
                later)
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
    final long life = EntryType.LEARNT.maxTtlUs();
    final MergedValue learnt =
        merge(
            EntryType.LEARNT,
            entry(EntryType.LEARNT, A, life, NOW_US, 2.0),
            entry(EntryType.LEARNT, B, life, NOW_US, 4.0),
            entry(EntryType.LEARNT, C, life, NOW_US - life, 900.0));
    assertEquals(3, learnt.value(), 1e-9);
    assertEquals("nothing", merge(EntryType.LEARNT).state());
  }
}
