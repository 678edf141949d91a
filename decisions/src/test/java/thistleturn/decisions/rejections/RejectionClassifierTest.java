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

/** The classification of rejections, and the retry budget that bounds a wrong classification. */
@Tag("noise")
@net.jqwik.api.Tag("noise")
final class RejectionClassifierTest {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;

  /** Returns a classifier after random rejections of that share of calls, at 50 calls a second. */
  private static RejectionClassifier classifierAfter(
      final long seed, final double share, final int calls) {
    final Random random = new Random(seed);
    final RejectionClassifier classifier = new RejectionClassifier();
    for (int call = 0; call < calls; call++) {
      final long sentUs = SECOND + call * 20L * MS;
      if (random.nextDouble() < share) {
        classifier.recordRejected(sentUs, sentUs + MS);
      } else {
        classifier.recordServed(sentUs, sentUs + 5 * MS);
      }
    }
    return classifier;
  }

  @Test
  void randomRejections_areNoise() {
    int noise = 0;
    for (long seed = 1; seed <= 50; seed++) {
      noise += classifierAfter(seed, 0.1, 200).cause(5 * SECOND) == Cause.NOISE ? 1 : 0;
    }
    assertTrue(noise >= 45, noise + " of 50 classified as noise");
  }

  @Test
  void rejectionsUntilEndOfWindow_areLoad() {
    final RejectionClassifier classifier = new RejectionClassifier();
    for (int call = 0; call < 500; call++) {
      final long sentUs = SECOND + call * 20L * MS;
      // 40 calls are accepted in each window, 50 are sent.
      if (call % 50 < 40) {
        classifier.recordServed(sentUs, sentUs + 5 * MS);
      } else {
        classifier.recordRejected(sentUs, sentUs + MS);
      }
      assertFalse(classifier.cause(sentUs + 5 * MS) == Cause.NOISE, "call " + call);
    }
    assertEquals(Cause.LOAD, classifier.cause(11 * SECOND));
  }

  @Test
  void largeRejectedShare_isNeverNoise() {
    assertEquals(Cause.LOAD, classifierAfter(3, 0.6, 400).cause(9 * SECOND));
  }

  @Test
  void noiseThatBecomesLimit_isReclassifiedAsLoad() {
    final RejectionClassifier classifier = classifierAfter(4, 0.1, 300);
    assertEquals(Cause.NOISE, classifier.cause(7 * SECOND));
    for (int call = 0; call < 20; call++) {
      final long sentUs = 8 * SECOND + call * 20L * MS;
      classifier.recordRejected(sentUs, sentUs + MS);
    }
    assertEquals(Cause.LOAD, classifier.cause(9 * SECOND));
  }

  /** Once a limit has capacity again, all calls are served, which is no further evidence. */
  @Test
  void manyServedCallsAfterOneRejection_countAsOneObservation() {
    final RejectionClassifier classifier = new RejectionClassifier();
    classifier.recordRejected(SECOND, SECOND + MS);
    classifier.recordServed(SECOND + 20 * MS, SECOND + 30 * MS);
    final double once = classifier.evidence(SECOND + 30 * MS);
    for (int call = 2; call < 10; call++) {
      classifier.recordServed(SECOND + call * 20L * MS, SECOND + call * 20L * MS + MS);
    }
    assertEquals(once, classifier.evidence(SECOND + 30 * MS), 0.02);
    assertEquals(Cause.UNSURE, classifier.cause(SECOND + 200 * MS));
  }

  @Test
  void callsFarApart_addNoEvidence() {
    final RejectionClassifier classifier = new RejectionClassifier();
    for (int call = 0; call < 50; call++) {
      final long sentUs = SECOND + call * 10L * SECOND;
      if (call % 3 == 0) {
        classifier.recordRejected(sentUs, sentUs + MS);
      } else {
        classifier.recordServed(sentUs, sentUs + MS);
      }
      assertEquals(0, classifier.evidence(sentUs + MS), 1e-9);
    }
  }

  @Test
  void exhaustedRetryBudget_countsAsLoadForLongerEachTime() {
    final RejectionClassifier classifier = classifierAfter(1, 0.1, 300);
    assertEquals(Cause.NOISE, classifier.cause(7 * SECOND));
    classifier.onRetryBudgetExhausted(7 * SECOND);
    assertEquals(Cause.LOAD, classifier.cause(11 * SECOND));
    assertEquals(Cause.UNSURE, classifier.cause(12 * SECOND));
    classifier.onRetryBudgetExhausted(12 * SECOND);
    assertEquals(Cause.LOAD, classifier.cause(21 * SECOND));
  }

  @Test
  void rejectedProbes_backOff() {
    final RejectionClassifier classifier = new RejectionClassifier();
    long probeUs = SECOND;
    long intervalUs = 0;
    for (int probe = 0; probe < 5; probe++) {
      classifier.recordProbe(false, probeUs);
      assertTrue(classifier.nextProbeUs() - probeUs > intervalUs);
      intervalUs = classifier.nextProbeUs() - probeUs;
      probeUs = classifier.nextProbeUs();
    }
    classifier.recordProbe(true, probeUs);
    assertEquals(100 * MS, classifier.nextProbeUs() - probeUs);
  }

  /** Retries are bounded by a share of the calls served plus the burst, for any events. */
  @Property(tries = 500)
  void retries_neverExceedTheBudget(
      @ForAll final long seed, @ForAll @IntRange(min = 1, max = 500) final int events) {
    final Random random = new Random(seed);
    final RetryBudget budget = new RetryBudget();
    int served = 0;
    int retries = 0;
    for (int event = 0; event < events; event++) {
      if (random.nextBoolean()) {
        served++;
        budget.recordServed();
      } else if (budget.tryAcquire()) {
        retries++;
      }
      assertTrue(
          retries <= RetryBudget.MAX_BURST + RetryBudget.RETRIES_PER_SERVED_CALL * served + 1e-9);
    }
  }

  @Test
  void slowStart_continuesAfterOneRejectionAndEndsAtTwo() {
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
    int moreCalls = 0;
    while (growth.recordServed(6) && moreCalls < 50) {
      moreCalls++;
    }
    assertTrue(moreCalls < 20, "a queue was detected after " + moreCalls + " calls");
  }

  @Test
  void timeout_isLearnedFromTheLatencyTail() {
    final EndpointClassStatistics statistics = new EndpointClassStatistics();
    assertEquals(2 * SECOND, statistics.timeoutUs(2 * SECOND, 1));
    for (int call = 0; call < 100; call++) {
      statistics.recordServed(call % 10 == 0 ? 250 * MS : 10 * MS);
    }
    final long learnedUs = statistics.timeoutUs(2 * SECOND, 1);
    assertTrue(learnedUs >= 650 * MS && learnedUs <= 750 * MS, "learned " + learnedUs);
    assertEquals(2 * SECOND, statistics.timeoutUs(2 * SECOND, 3));
  }

  @Test
  void classRejectedAtOneEndpointOnly_isExcludedUnlessOthersAreRejectedToo() {
    final EndpointClassStatistics onlyClassRejected = new EndpointClassStatistics();
    long served = 100;
    long exclusionUs = 0;
    for (int call = 1; call <= 4; call++) {
      served += 5;
      exclusionUs = onlyClassRejected.recordRejected(served, call);
    }
    assertTrue(exclusionUs > 0);
    final EndpointClassStatistics othersRejectedToo = new EndpointClassStatistics();
    for (int call = 1; call <= 10; call++) {
      assertEquals(0, othersRejectedToo.recordRejected(100 + call, 5L * call));
    }
  }
}
