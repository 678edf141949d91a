package thistleturn.decisions.rejections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.rejections.RejectionClassifier.Cause;

/** What refusals are read as, and what bounds the harm of a wrong reading. */
@Tag("noise")
@net.jqwik.api.Tag("noise")
final class RejectionClassifierTest {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;

  /** Refusals that strike one call in ten, at 50 calls a second. */
  private static RejectionClassifier noisy(final long seed, final double share, final int calls) {
    final Random random = new Random(seed);
    final RejectionClassifier reading = new RejectionClassifier();
    for (int call = 0; call < calls; call++) {
      final long sentUs = SECOND + call * 20L * MS;
      if (random.nextDouble() < share) {
        reading.recordRejected(sentUs, sentUs + MS);
      } else {
        reading.recordServed(sentUs, sentUs + 5 * MS);
      }
    }
    return reading;
  }

  @Test
  void randomRejections_areNoise() {
    int noise = 0;
    for (long seed = 1; seed <= 50; seed++) {
      noise += noisy(seed, 0.1, 200).cause(5 * SECOND) == Cause.NOISE ? 1 : 0;
    }
    assertTrue(noise >= 45, noise + " of 50 read as noise");
  }

  @Test
  void rejectionsUntilTheEndOfAWindow_areLoad() {
    final RejectionClassifier reading = new RejectionClassifier();
    for (int call = 0; call < 500; call++) {
      final long sentUs = SECOND + call * 20L * MS;
      // 40 calls a span are taken, 50 come.
      if (call % 50 < 40) {
        reading.recordServed(sentUs, sentUs + 5 * MS);
      } else {
        reading.recordRejected(sentUs, sentUs + MS);
      }
      assertFalse(reading.cause(sentUs + 5 * MS) == Cause.NOISE, "call " + call);
    }
    assertEquals(Cause.LOAD, reading.cause(11 * SECOND));
  }

  @Test
  void tooLargeARejectedShare_isNeverNoise() {
    assertEquals(Cause.LOAD, noisy(3, 0.6, 400).cause(9 * SECOND));
  }

  @Test
  void noiseThatBecomesALimit_isReclassified() {
    final RejectionClassifier reading = noisy(4, 0.1, 300);
    assertEquals(Cause.NOISE, reading.cause(7 * SECOND));
    for (int call = 0; call < 20; call++) {
      final long sentUs = 8 * SECOND + call * 20L * MS;
      reading.recordRejected(sentUs, sentUs + MS);
    }
    assertEquals(Cause.LOAD, reading.cause(9 * SECOND));
  }

  /** One refusal is asked once: all that is served after room has come back says nothing more. */
  @Test
  void manyServedCallsAfterOneRejection_countAsOneObservation() {
    final RejectionClassifier reading = new RejectionClassifier();
    reading.recordRejected(SECOND, SECOND + MS);
    reading.recordServed(SECOND + 20 * MS, SECOND + 30 * MS);
    final double once = reading.evidence(SECOND + 30 * MS);
    for (int call = 2; call < 10; call++) {
      reading.recordServed(SECOND + call * 20L * MS, SECOND + call * 20L * MS + MS);
    }
    assertEquals(once, reading.evidence(SECOND + 30 * MS), 0.02);
    assertEquals(Cause.UNSURE, reading.cause(SECOND + 200 * MS));
  }

  @Test
  void callsFarApart_areNoEvidence() {
    final RejectionClassifier reading = new RejectionClassifier();
    for (int call = 0; call < 50; call++) {
      final long sentUs = SECOND + call * 10L * SECOND;
      if (call % 3 == 0) {
        reading.recordRejected(sentUs, sentUs + MS);
      } else {
        reading.recordServed(sentUs, sentUs + MS);
      }
      assertEquals(0, reading.evidence(sentUs + MS), 1e-9);
    }
  }

  @Test
  void exhaustedRetryBudget_meansLoadForALongerTimeEachTime() {
    final RejectionClassifier reading = noisy(1, 0.1, 300);
    assertEquals(Cause.NOISE, reading.cause(7 * SECOND));
    reading.onRetryBudgetExhausted(7 * SECOND);
    assertEquals(Cause.LOAD, reading.cause(11 * SECOND));
    assertEquals(Cause.UNSURE, reading.cause(12 * SECOND));
    reading.onRetryBudgetExhausted(12 * SECOND);
    assertEquals(Cause.LOAD, reading.cause(21 * SECOND));
  }

  @Test
  void failedProbes_backOff() {
    final RejectionClassifier reading = new RejectionClassifier();
    long atUs = SECOND;
    long gapUs = 0;
    for (int probe = 0; probe < 5; probe++) {
      reading.recordProbe(false, atUs);
      assertTrue(reading.nextProbeUs() - atUs > gapUs);
      gapUs = reading.nextProbeUs() - atUs;
      atUs = reading.nextProbeUs();
    }
    reading.recordProbe(true, atUs);
    assertEquals(100 * MS, reading.nextProbeUs() - atUs);
  }

  /** Whatever comes: no more than the share of what was served, and the burst. */
  @Property(tries = 500)
  void retries_neverExceedTheBudget(
      @ForAll final long seed, @ForAll @IntRange(min = 1, max = 500) final int events) {
    final Random random = new Random(seed);
    final RetryBudget budget = new RetryBudget();
    int served = 0;
    int taken = 0;
    for (int event = 0; event < events; event++) {
      if (random.nextBoolean()) {
        served++;
        budget.recordServed();
      } else if (budget.tryAcquire()) {
        taken++;
      }
      assertTrue(
          taken <= RetryBudget.MAX_BURST + RetryBudget.RETRIES_PER_SERVED_CALL * served + 1e-9);
    }
  }

  @Test
  void slowStart_survivesOneRejectionAndEndsAtTwo() {
    final InitialWindowGrowth growth = new InitialWindowGrowth();
    assertTrue(growth.recordServed(1));
    assertFalse(growth.recordRejected());
    assertTrue(growth.isGrowing());
    assertTrue(growth.recordRejected());
    assertFalse(growth.recordServed(1));
    growth.restart();
    assertTrue(growth.recordServed(1));
  }

  @Test
  void slowStart_endsWhenServiceTimesDouble() {
    final InitialWindowGrowth growth = new InitialWindowGrowth();
    for (int call = 0; call < 50; call++) {
      assertTrue(growth.recordServed(1));
    }
    int more = 0;
    while (growth.recordServed(6) && more < 50) {
      more++;
    }
    assertTrue(more < 20, "a queue was seen after " + more + " calls");
  }

  @Test
  void timeout_isLearnedFromTheLatencyTail() {
    final EndpointClassStatistics cell = new EndpointClassStatistics();
    assertEquals(2 * SECOND, cell.timeoutUs(2 * SECOND, 1));
    for (int call = 0; call < 100; call++) {
      cell.recordServed(call % 10 == 0 ? 250 * MS : 10 * MS);
    }
    final long learnt = cell.timeoutUs(2 * SECOND, 1);
    assertTrue(learnt >= 650 * MS && learnt <= 750 * MS, "learnt " + learnt);
    assertEquals(2 * SECOND, cell.timeoutUs(2 * SECOND, 3));
  }

  @Test
  void classRejectedAtOneEndpointAlone_isRestedAndOneAmongOthersIsNot() {
    final EndpointClassStatistics alone = new EndpointClassStatistics();
    long served = 100;
    long restUs = 0;
    for (int call = 1; call <= 4; call++) {
      served += 5;
      restUs = alone.recordRejected(served, call);
    }
    assertTrue(restUs > 0);
    final EndpointClassStatistics among = new EndpointClassStatistics();
    for (int call = 1; call <= 10; call++) {
      assertEquals(0, among.recordRejected(100 + call, 5L * call));
    }
  }
}
