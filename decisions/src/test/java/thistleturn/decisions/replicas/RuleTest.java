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
final class RuleTest {
  private static final long SECOND = 1_000_000;
  private static final long NOW = 100 * SECOND;
  private static final Writer A = new Writer("a", 1);
  private static final Writer B = new Writer("b", 1);
  private static final Writer C = new Writer("c", 1);

  private static Entry ban(
      final Writer writer, final long version, final boolean out, final Map<Writer, Long> seen) {
    return new Entry(
        Kind.MAINTENANCE.code(), "e1", writer, version, 0, NOW, new Ban(out, "o", seen).fields());
  }

  private static Entry word(
      final Kind kind,
      final Writer writer,
      final long lifeUs,
      final long madeUs,
      final Object... fields) {
    return new Entry(kind.code(), "7", writer, 1, lifeUs, madeUs, List.of(fields));
  }

  private static Verdict of(final Kind kind, final Entry... words) {
    return Rule.of(kind, "7", List.of(words));
  }

  @Test
  void leftOutAndLetServeAtOnceStaysLeftOutAndIsDisputed() {
    final Verdict verdict =
        of(Kind.MAINTENANCE, ban(A, 1, true, Map.of()), ban(B, 1, false, Map.of()));
    assertEquals("left out", verdict.state());
    assertTrue(verdict.conflict());
    assertEquals(List.of(A), verdict.by());
  }

  @Test
  void whoeverKnowsOfBothSettlesIt() {
    final Verdict verdict =
        of(
            Kind.MAINTENANCE,
            ban(A, 1, true, Map.of()),
            ban(B, 1, false, Map.of()),
            ban(C, 1, false, Map.of(A, 1L, B, 1L)));
    assertEquals("may serve", verdict.state());
    assertFalse(verdict.conflict());
    assertEquals(List.of(C), verdict.by());
    // Of a later word of A's nobody knew.
    assertEquals(
        "left out",
        of(Kind.MAINTENANCE, ban(A, 2, true, Map.of()), ban(C, 1, false, Map.of(A, 1L, B, 1L)))
            .state());
  }

  @Test
  void theLaterEndOfTwoWaitsCounts() {
    final Verdict verdict =
        of(
            Kind.WAIT,
            word(Kind.WAIT, A, 9 * SECOND, NOW - 5 * SECOND),
            word(Kind.WAIT, B, 2 * SECOND, NOW));
    assertEquals(NOW + 4 * SECOND, verdict.untilUs());
    assertEquals(List.of(A), verdict.by());
  }

  @Test
  void aReturnIsOneForAllFromTheFirstWhoFoundIt() {
    final Entry out = word(Kind.OUTAGE, A, 60 * SECOND, NOW - 9 * SECOND, true);
    final Entry first = word(Kind.OUTAGE, B, 60 * SECOND, NOW - 4 * SECOND, false);
    final Entry later = word(Kind.OUTAGE, C, 60 * SECOND, NOW - SECOND, false);
    assertEquals("out", of(Kind.OUTAGE, out).state());
    final Verdict verdict = of(Kind.OUTAGE, out, first, later);
    assertEquals("returned", verdict.state());
    assertEquals(NOW - 4 * SECOND, verdict.sinceUs());
    // Found out again by the first after that: more careful, and it can still be true.
    assertEquals(
        "out", of(Kind.OUTAGE, word(Kind.OUTAGE, A, 60 * SECOND, NOW, true), first, later).state());
  }

  @Test
  void theLastLimitToldCountsAndWhatWasLearntIsAMeanOfThoseRefusedOfLate() {
    assertEquals(
        4,
        of(
                Kind.LIMIT,
                word(Kind.LIMIT, A, 60 * SECOND, NOW - 1, 9.0),
                word(Kind.LIMIT, B, 60 * SECOND, NOW, 4.0))
            .value());
    final long life = Kind.LEARNT.mostUs();
    final Verdict learnt =
        of(
            Kind.LEARNT,
            word(Kind.LEARNT, A, life, NOW, 2.0),
            word(Kind.LEARNT, B, life, NOW, 4.0),
            word(Kind.LEARNT, C, life, NOW - life, 900.0));
    assertEquals(3, learnt.value(), 1e-9);
    assertEquals("nothing", of(Kind.LEARNT).state());
  }
}
