package thistleturn.decisions.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * A courier's part of a told rate, alone and with thirteen others against one partner that counts
 * refused calls too.
 */
@Tag("fleet")
final class FairShareTest {
  private static final long SECOND_US = 1_000_000;
  private static final long STEP_US = 5_000;
  private static final int COURIERS = 14;
  private static final double LIMIT = 28;

  /**
   * A partner that serves a call if fewer than its limit came, refused ones included, in the second
   * before.
   */
  private static final class Partner {
    private final ArrayDeque<Long> came = new ArrayDeque<>();
    private int served, refused;

    boolean call(final long nowUs) {
      while (!came.isEmpty() && came.peek() <= nowUs - SECOND_US) {
        came.poll();
      }
      came.add(nowUs);
      final boolean room = came.size() <= LIMIT;
      served += room ? 1 : 0;
      refused += room ? 0 : 1;
      return room;
    }
  }

  private static FairShare told(final double ratePerSecond) {
    final FairShare share = new FairShare(false);
    share.setEvenRate(ratePerSecond, 0);
    return share;
  }

  /**
   * Couriers that together are handed so many messages a second for a while, each by its part of
   * them.
   */
  private static Partner play(
      final double messagesPerSecond, final double[] parts, final int seconds) {
    final Random random = new Random(7);
    final Partner partner = new Partner();
    final List<FairShare> shares = new ArrayList<>();
    final int[] waiting = new int[parts.length];
    for (int index = 0; index < parts.length; index++) {
      shares.add(told(LIMIT / parts.length));
    }
    for (long nowUs = 0; nowUs < seconds * SECOND_US; nowUs += STEP_US) {
      for (int index = 0; index < parts.length; index++) {
        final FairShare share = shares.get(index);
        if (nowUs % SECOND_US == 0) {
          share.advance(waiting[index], nowUs);
        }
        final double due = messagesPerSecond * parts[index] * STEP_US / SECOND_US;
        waiting[index] = Math.min(20, waiting[index] + (random.nextDouble() < due ? 1 : 0));
        if (waiting[index] > 0 && share.earliestCallUs(nowUs) <= nowUs) {
          share.recordCall(nowUs);
          if (partner.call(nowUs)) {
            waiting[index]--;
          } else {
            share.recordRejected(nowUs);
          }
        }
      }
    }
    return partner;
  }

  private static double[] even() {
    final double[] parts = new double[COURIERS];
    Arrays.fill(parts, 1.0 / COURIERS);
    return parts;
  }

  /**
   * Fleet days: fourteen couriers, each under the whole rate, held a destination at its edge, where
   * it served nobody.
   */
  @Test
  void overloadedDestination_servesNearlyItsRateAndRejectsFew() {
    final int seconds = 120;
    final Partner partner = play(2 * LIMIT, even(), seconds);
    assertTrue(partner.served > 0.75 * LIMIT * seconds, "served " + partner.served);
    assertTrue(partner.refused < 0.1 * partner.served, "refused " + partner.refused);
  }

  @Test
  void arrivalsWellUnderTheRate_areServedWithoutRejections() {
    final int seconds = 120;
    final Partner partner = play(0.5 * LIMIT, even(), seconds);
    assertTrue(partner.served > 0.45 * LIMIT * seconds, "served " + partner.served);
    assertTrue(partner.refused < 0.01 * partner.served, "refused " + partner.refused);
  }

  /**
   * A courier that is handed most of the traffic takes what the others leave, though nobody tells
   * it of them.
   */
  @Test
  void courierWithMostOfTheTraffic_usesWhatOthersLeave() {
    final double[] parts = new double[COURIERS];
    Arrays.fill(parts, 0.2 / (COURIERS - 1));
    parts[0] = 0.8;
    final int seconds = 120;
    final Partner partner = play(0.7 * LIMIT, parts, seconds);
    assertTrue(partner.served > 0.6 * 0.7 * LIMIT * seconds, "served " + partner.served);
    assertTrue(partner.refused < 0.1 * partner.served, "refused " + partner.refused);
  }

  /**
   * After a kill of most couriers all began with a second's worth at once, and the destination
   * refused for a second.
   */
  @Test
  void couriersThatStartTogether_makeNoBurst() {
    final Partner partner = new Partner();
    final List<FairShare> shares = new ArrayList<>();
    for (int index = 0; index < COURIERS; index++) {
      shares.add(told(LIMIT / COURIERS));
    }
    for (long nowUs = 0; nowUs < SECOND_US; nowUs += STEP_US) {
      for (final FairShare share : shares) {
        while (share.earliestCallUs(nowUs) <= nowUs) {
          share.recordCall(nowUs);
          partner.call(nowUs);
        }
      }
    }
    assertEquals(0, partner.refused);
    assertTrue(partner.served >= COURIERS, "one each: " + partner.served);
  }

  @Test
  void unknownRate_limitsNothing() {
    assertFalse(new FairShare(false).isLimited());
    final FairShare share = told(2);
    assertTrue(share.isLimited());
    share.setEvenRate(0, SECOND_US);
    assertFalse(share.isLimited());
  }

  @Test
  void shortBurst_isAllowedThenTheRateHolds() {
    final FairShare share = told(2);
    long nowUs = 10 * SECOND_US;
    int calls = 0;
    while (nowUs < 20 * SECOND_US) {
      nowUs = share.earliestCallUs(nowUs);
      share.recordCall(nowUs);
      calls++;
    }
    assertEquals(20, calls, 1, "two at once, then 1.8 a second for ten seconds");
  }

  @Test
  void rejection_lowersTheRateOnceAndQuietSecondsRestoreIt() {
    final FairShare share = told(10);
    share.advance(0, SECOND_US);
    final double before = share.ratePerSecond();
    share.recordRejected(2 * SECOND_US);
    final double after = share.ratePerSecond();
    share.recordRejected(2 * SECOND_US + 1000);
    assertEquals(after, share.ratePerSecond(), "those on their way say the same");
    assertTrue(after < 0.8 * before, after + " after " + before);
    assertTrue(
        share.earliestCallUs(2 * SECOND_US + 1000) > 2 * SECOND_US + 1000,
        "nothing is left to go at once");
    for (int second = 4; second < 12; second++) {
      share.advance(0, second * SECOND_US);
    }
    assertEquals(before, share.ratePerSecond(), 1e-9);
  }

  @Test
  void endlessRejections_leaveAProbingRate() {
    final FairShare share = told(1);
    for (int second = 1; second < 1000; second++) {
      share.recordRejected(second * SECOND_US);
    }
    assertTrue(share.ratePerSecond() >= 0.05, "it would never learn that there is room again");
  }

  @Test
  void changedEvenRate_countsAtOnceAndKeepsWhatWasLearned() {
    final FairShare share = told(10);
    share.recordRejected(SECOND_US);
    final double learnt = share.ratePerSecond();
    share.setEvenRate(5, 2 * SECOND_US);
    assertEquals(learnt / 2, share.ratePerSecond(), 1e-9);
  }

  /** It was idle for an hour: what comes then is no burst of an hour's calls. */
  @Test
  void idleTime_isNotAccumulated() {
    final FairShare share = told(2);
    final long nowUs = 3600 * SECOND_US;
    share.advance(0, nowUs);
    int calls = 0;
    while (share.earliestCallUs(nowUs) <= nowUs) {
      share.recordCall(nowUs);
      calls++;
    }
    assertEquals(2, calls);
  }

  /**
   * One that keeps to its part of a rate and is handed so many messages a second for a while; how
   * many waited at most.
   */
  private static int mostWaiting(final FairShare share, final double perSecond, final int seconds) {
    final Random random = new Random(3);
    int waiting = 0;
    int most = 0;
    for (long nowUs = 0; nowUs < seconds * SECOND_US; nowUs += STEP_US) {
      if (nowUs % SECOND_US == 0) {
        share.advance(waiting, nowUs);
      }
      waiting += random.nextDouble() < perSecond * STEP_US / SECOND_US ? 1 : 0;
      if (waiting > 0 && share.earliestCallUs(nowUs) <= nowUs) {
        share.recordCall(nowUs);
        waiting--;
      }
      most = Math.max(most, waiting);
    }
    return most;
  }

  /**
   * Days of 100 couriers: messages of the busier ones waited 9 s for a part of one call in 3 s, and
   * nothing was refused.
   */
  @Test
  void thinShare_doesNotDelayMessagesForLong() {
    final double even = 0.35;
    final FairShare strict = told(even);
    final FairShare thin = new FairShare(true);
    thin.setEvenRate(even, 0);
    final int strictly = mostWaiting(strict, 3 * even, 60);
    final int thinly = mostWaiting(thin, 3 * even, 60);
    assertTrue(strictly > 10, "kept to strictly, " + strictly + " wait");
    assertTrue(2 * thinly <= strictly, "three times the mean: " + thinly + " wait");
  }

  /**
   * A busy courier that learns of the limit gives up a share of what it sends, not all that is
   * above an even part.
   */
  @Test
  void rejectionOfAThinShare_scalesTheCurrentRate() {
    final FairShare thin = new FairShare(true);
    thin.setEvenRate(0.5, 0);
    for (long second = 1; second <= 10; second++) {
      thin.advance(3, second * SECOND_US);
    }
    final double before = thin.ratePerSecond();
    assertTrue(before > 1.5, "grown to " + before);
    thin.recordRejected(10 * SECOND_US);
    assertEquals(0.7 * before, thin.ratePerSecond(), 1e-9);
    thin.recordRejected(10 * SECOND_US + 1);
    assertEquals(0.7 * before, thin.ratePerSecond(), 1e-9, "those on their way say the same");
  }

  /** A part of several calls a second is kept to in a vast fleet as in any other. */
  @Test
  void thickShare_isEnforcedInAnyFleet() {
    final FairShare vast = new FairShare(true);
    vast.setEvenRate(5, 0);
    final FairShare other = told(5);
    for (long second = 1; second <= 20; second++) {
      vast.recordCall(second * SECOND_US);
      other.recordCall(second * SECOND_US);
      vast.advance(3, second * SECOND_US);
      other.advance(3, second * SECOND_US);
      assertEquals(other.ratePerSecond(), vast.ratePerSecond());
      assertEquals(
          other.earliestCallUs(second * SECOND_US), vast.earliestCallUs(second * SECOND_US));
    }
  }
}
