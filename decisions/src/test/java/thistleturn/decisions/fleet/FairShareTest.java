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
 * A courier's share of a rate, alone and with thirteen others against one destination that counts
 * rejected calls too.
 */
@Tag("fleet")
final class FairShareTest {
  private static final long SECOND_US = 1_000_000;
  private static final long STEP_US = 5_000;
  private static final int COURIERS = 14;
  private static final double LIMIT = 28;

  /**
   * A destination that serves a call if fewer than its limit came in the second before, rejected
   * ones included.
   */
  private static final class SimulatedDestination {
    private final ArrayDeque<Long> callsUs = new ArrayDeque<>();
    private int served;
    private int rejected;

    boolean call(final long nowUs) {
      while (!callsUs.isEmpty() && callsUs.peek() <= nowUs - SECOND_US) {
        callsUs.poll();
      }
      callsUs.add(nowUs);
      final boolean accepted = callsUs.size() <= LIMIT;
      served += accepted ? 1 : 0;
      rejected += accepted ? 0 : 1;
      return accepted;
    }
  }

  private static FairShare shareOf(final double ratePerSecond) {
    final FairShare share = new FairShare(false);
    share.setEvenRate(ratePerSecond, 0);
    return share;
  }

  /** Runs couriers that together accept that many messages a second, each its share of them. */
  private static SimulatedDestination simulate(
      final double messagesPerSecond, final double[] trafficShares, final int seconds) {
    final Random random = new Random(7);
    final SimulatedDestination destination = new SimulatedDestination();
    final List<FairShare> shares = new ArrayList<>();
    final int[] waiting = new int[trafficShares.length];
    for (int index = 0; index < trafficShares.length; index++) {
      shares.add(shareOf(LIMIT / trafficShares.length));
    }
    for (long nowUs = 0; nowUs < seconds * SECOND_US; nowUs += STEP_US) {
      for (int index = 0; index < trafficShares.length; index++) {
        final FairShare share = shares.get(index);
        if (nowUs % SECOND_US == 0) {
          share.advance(waiting[index], nowUs);
        }
        final double due = messagesPerSecond * trafficShares[index] * STEP_US / SECOND_US;
        waiting[index] = Math.min(20, waiting[index] + (random.nextDouble() < due ? 1 : 0));
        if (waiting[index] > 0 && share.earliestCallUs(nowUs) <= nowUs) {
          share.recordCall(nowUs);
          if (destination.call(nowUs)) {
            waiting[index]--;
          } else {
            share.recordRejected(nowUs);
          }
        }
      }
    }
    return destination;
  }

  private static double[] even() {
    final double[] trafficShares = new double[COURIERS];
    Arrays.fill(trafficShares, 1.0 / COURIERS);
    return trafficShares;
  }

  /**
   * In simulations of a fleet, fourteen couriers that each stayed under the whole rate overloaded a
   * destination so that it served nobody.
   */
  @Test
  void overloadedDestination_servesNearlyItsRateAndRejectsFew() {
    final int seconds = 120;
    final SimulatedDestination destination = simulate(2 * LIMIT, even(), seconds);
    assertTrue(destination.served > 0.75 * LIMIT * seconds, "served " + destination.served);
    assertTrue(destination.rejected < 0.1 * destination.served, "rejected " + destination.rejected);
  }

  @Test
  void arrivalsWellUnderTheRate_areServedWithoutRejections() {
    final int seconds = 120;
    final SimulatedDestination destination = simulate(0.5 * LIMIT, even(), seconds);
    assertTrue(destination.served > 0.45 * LIMIT * seconds, "served " + destination.served);
    assertTrue(
        destination.rejected < 0.01 * destination.served, "rejected " + destination.rejected);
  }

  /**
   * A courier that accepts most of the traffic uses what the others leave, though it knows nothing
   * of them.
   */
  @Test
  void courierWithMostOfTheTraffic_usesWhatOthersLeave() {
    final double[] trafficShares = new double[COURIERS];
    Arrays.fill(trafficShares, 0.2 / (COURIERS - 1));
    trafficShares[0] = 0.8;
    final int seconds = 120;
    final SimulatedDestination destination = simulate(0.7 * LIMIT, trafficShares, seconds);
    assertTrue(destination.served > 0.6 * 0.7 * LIMIT * seconds, "served " + destination.served);
    assertTrue(destination.rejected < 0.1 * destination.served, "rejected " + destination.rejected);
  }

  /**
   * After a crash of most couriers all started with a second's calls at once, and the destination
   * rejected calls for a second.
   */
  @Test
  void couriersThatStartTogether_makeNoBurst() {
    final SimulatedDestination destination = new SimulatedDestination();
    final List<FairShare> shares = new ArrayList<>();
    for (int index = 0; index < COURIERS; index++) {
      shares.add(shareOf(LIMIT / COURIERS));
    }
    for (long nowUs = 0; nowUs < SECOND_US; nowUs += STEP_US) {
      for (final FairShare share : shares) {
        while (share.earliestCallUs(nowUs) <= nowUs) {
          share.recordCall(nowUs);
          destination.call(nowUs);
        }
      }
    }
    assertEquals(0, destination.rejected);
    assertTrue(destination.served >= COURIERS, "one each: " + destination.served);
  }

  @Test
  void unknownRate_limitsNothing() {
    assertFalse(new FairShare(false).isLimited());
    final FairShare share = shareOf(2);
    assertTrue(share.isLimited());
    share.setEvenRate(0, SECOND_US);
    assertFalse(share.isLimited());
  }

  @Test
  void shortBurst_isAllowedThenTheRateHolds() {
    final FairShare share = shareOf(2);
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
    final FairShare share = shareOf(10);
    share.advance(0, SECOND_US);
    final double before = share.ratePerSecond();
    share.recordRejected(2 * SECOND_US);
    final double after = share.ratePerSecond();
    share.recordRejected(2 * SECOND_US + 1000);
    assertEquals(after, share.ratePerSecond(), "those in flight say the same");
    assertTrue(after < 0.8 * before, after + " after " + before);
    assertTrue(
        share.earliestCallUs(2 * SECOND_US + 1000) > 2 * SECOND_US + 1000, "no token is left");
    for (int second = 4; second < 12; second++) {
      share.advance(0, second * SECOND_US);
    }
    assertEquals(before, share.ratePerSecond(), 1e-9);
  }

  @Test
  void endlessRejections_leaveAProbingRate() {
    final FairShare share = shareOf(1);
    for (int second = 1; second < 1000; second++) {
      share.recordRejected(second * SECOND_US);
    }
    assertTrue(share.ratePerSecond() >= 0.05, "it would never learn that there is capacity again");
  }

  @Test
  void changedEvenRate_countsAtOnceAndKeepsWhatWasLearned() {
    final FairShare share = shareOf(10);
    share.recordRejected(SECOND_US);
    final double learned = share.ratePerSecond();
    share.setEvenRate(5, 2 * SECOND_US);
    assertEquals(learned / 2, share.ratePerSecond(), 1e-9);
  }

  /** An hour without calls does not allow a burst of an hour's calls. */
  @Test
  void idleTime_isNotAccumulated() {
    final FairShare share = shareOf(2);
    final long nowUs = 3600 * SECOND_US;
    share.advance(0, nowUs);
    int calls = 0;
    while (share.earliestCallUs(nowUs) <= nowUs) {
      share.recordCall(nowUs);
      calls++;
    }
    assertEquals(2, calls);
  }

  /** How many messages waited at most for a share where that many were accepted a second. */
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
   * In simulations of 100 couriers, messages of the busier ones waited 9 s for a share of one call
   * in 3 s, and nothing was rejected.
   */
  @Test
  void thinShare_doesNotDelayMessagesForLong() {
    final double even = 0.35;
    final FairShare strictShare = shareOf(even);
    final FairShare thinShare = new FairShare(true);
    thinShare.setEvenRate(even, 0);
    final int strictly = mostWaiting(strictShare, 3 * even, 60);
    final int thinly = mostWaiting(thinShare, 3 * even, 60);
    assertTrue(strictly > 10, "enforced strictly, " + strictly + " wait");
    assertTrue(2 * thinly <= strictly, "three times the mean: " + thinly + " wait");
  }

  /** A busy courier gives up a share of its current rate, not all that is above an even share. */
  @Test
  void rejectionOfAThinShare_scalesTheCurrentRate() {
    final FairShare thinShare = new FairShare(true);
    thinShare.setEvenRate(0.5, 0);
    for (long second = 1; second <= 10; second++) {
      thinShare.advance(3, second * SECOND_US);
    }
    final double before = thinShare.ratePerSecond();
    assertTrue(before > 1.5, "grown to " + before);
    thinShare.recordRejected(10 * SECOND_US);
    assertEquals(0.7 * before, thinShare.ratePerSecond(), 1e-9);
    thinShare.recordRejected(10 * SECOND_US + 1);
    assertEquals(0.7 * before, thinShare.ratePerSecond(), 1e-9, "those in flight say the same");
  }

  /** A share of several calls a second is enforced in a vast fleet as in any other. */
  @Test
  void thickShare_isEnforcedInAnyFleet() {
    final FairShare vastFleet = new FairShare(true);
    vastFleet.setEvenRate(5, 0);
    final FairShare other = shareOf(5);
    for (long second = 1; second <= 20; second++) {
      vastFleet.recordCall(second * SECOND_US);
      other.recordCall(second * SECOND_US);
      vastFleet.advance(3, second * SECOND_US);
      other.advance(3, second * SECOND_US);
      assertEquals(other.ratePerSecond(), vastFleet.ratePerSecond());
      assertEquals(
          other.earliestCallUs(second * SECOND_US), vastFleet.earliestCallUs(second * SECOND_US));
    }
  }
}
