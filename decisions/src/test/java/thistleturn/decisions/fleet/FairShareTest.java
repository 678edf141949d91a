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
 * A courier's share of a rate, alone and with thirteen other couriers that call one destination
 * whose limit also counts rejected calls.
 */
@Tag("fleet")
final class FairShareTest {
  private static final long SECOND_US = 1_000_000;
  private static final long STEP_US = 5_000;
  private static final int COURIERS = 14;
  private static final double LIMIT = 28;

  /**
   * Serves a call if the number of calls in the preceding second, including rejected ones, is below
   * the limit.
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

  /** Simulates couriers that together accept that many messages a second, split by share. */
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

  private static double[] evenShares() {
    final double[] trafficShares = new double[COURIERS];
    Arrays.fill(trafficShares, 1.0 / COURIERS);
    return trafficShares;
  }

  /**
   * Guards against a fault found in simulations of a fleet: fourteen couriers that each stayed
   * below the total rate overloaded a destination until it served no calls.
   */
  @Test
  void overloadedDestination_servesNearlyItsRateAndRejectsFewCalls() {
    final int seconds = 120;
    final SimulatedDestination destination = simulate(2 * LIMIT, evenShares(), seconds);
    assertTrue(destination.served > 0.75 * LIMIT * seconds, "served " + destination.served);
    assertTrue(destination.rejected < 0.1 * destination.served, "rejected " + destination.rejected);
  }

  @Test
  void arrivalsWellBelowRate_areServedWithoutRejections() {
    final int seconds = 120;
    final SimulatedDestination destination = simulate(0.5 * LIMIT, evenShares(), seconds);
    assertTrue(destination.served > 0.45 * LIMIT * seconds, "served " + destination.served);
    assertTrue(
        destination.rejected < 0.01 * destination.served, "rejected " + destination.rejected);
  }

  /**
   * A courier that accepts most of the traffic uses what the others leave unused, without any
   * information about them.
   */
  @Test
  void courierWithMostTraffic_usesShareLeftByOthers() {
    final double[] trafficShares = new double[COURIERS];
    Arrays.fill(trafficShares, 0.2 / (COURIERS - 1));
    trafficShares[0] = 0.8;
    final int seconds = 120;
    final SimulatedDestination destination = simulate(0.7 * LIMIT, trafficShares, seconds);
    assertTrue(destination.served > 0.6 * 0.7 * LIMIT * seconds, "served " + destination.served);
    assertTrue(destination.rejected < 0.1 * destination.served, "rejected " + destination.rejected);
  }

  /**
   * Guards against a fault seen after a crash of most couriers: all restarted with a burst of a
   * second's calls, and the destination rejected calls for a second.
   */
  @Test
  void couriersThatStartTogether_sendNoBurst() {
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
    assertTrue(destination.served >= COURIERS, "at least one call each: " + destination.served);
  }

  @Test
  void unknownRate_isNotLimited() {
    assertFalse(new FairShare(false).isLimited());
    final FairShare share = shareOf(2);
    assertTrue(share.isLimited());
    share.setEvenRate(0, SECOND_US);
    assertFalse(share.isLimited());
  }

  @Test
  void shortBurst_isAllowedThenRateIsEnforced() {
    final FairShare share = shareOf(2);
    long nowUs = 10 * SECOND_US;
    int calls = 0;
    while (nowUs < 20 * SECOND_US) {
      nowUs = share.earliestCallUs(nowUs);
      share.recordCall(nowUs);
      calls++;
    }
    assertEquals(20, calls, 1, "two at once, then 1.8 calls a second for ten seconds");
  }

  @Test
  void rejection_lowersRateOnceAndSecondsWithoutRejectionRestoreIt() {
    final FairShare share = shareOf(10);
    share.advance(0, SECOND_US);
    final double before = share.ratePerSecond();
    share.recordRejected(2 * SECOND_US);
    final double after = share.ratePerSecond();
    share.recordRejected(2 * SECOND_US + 1000);
    assertEquals(
        after, share.ratePerSecond(), "rejections of other calls in flight are not counted again");
    assertTrue(after < 0.8 * before, after + " after " + before);
    assertTrue(
        share.earliestCallUs(2 * SECOND_US + 1000) > 2 * SECOND_US + 1000, "no token is left");
    for (int second = 4; second < 12; second++) {
      share.advance(0, second * SECOND_US);
    }
    assertEquals(before, share.ratePerSecond(), 1e-9);
  }

  @Test
  void permanentRejections_leaveMinimumRate() {
    final FairShare share = shareOf(1);
    for (int second = 1; second < 1000; second++) {
      share.recordRejected(second * SECOND_US);
    }
    assertTrue(share.ratePerSecond() >= 0.05, "the rate must stay high enough to detect capacity");
  }

  @Test
  void changedEvenRate_scalesLearnedRateAtOnce() {
    final FairShare share = shareOf(10);
    share.recordRejected(SECOND_US);
    final double learned = share.ratePerSecond();
    share.setEvenRate(5, 2 * SECOND_US);
    assertEquals(learned / 2, share.ratePerSecond(), 1e-9);
  }

  /** An hour without calls allows a burst of two calls, not of an hour's calls. */
  @Test
  void idleTime_doesNotAccumulateTokens() {
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

  /** Returns the longest queue for a share if that many messages are accepted a second. */
  private static int maxWaiting(final FairShare share, final double perSecond, final int seconds) {
    final Random random = new Random(3);
    int waiting = 0;
    int max = 0;
    for (long nowUs = 0; nowUs < seconds * SECOND_US; nowUs += STEP_US) {
      if (nowUs % SECOND_US == 0) {
        share.advance(waiting, nowUs);
      }
      waiting += random.nextDouble() < perSecond * STEP_US / SECOND_US ? 1 : 0;
      if (waiting > 0 && share.earliestCallUs(nowUs) <= nowUs) {
        share.recordCall(nowUs);
        waiting--;
      }
      max = Math.max(max, waiting);
    }
    return max;
  }

  /**
   * Guards against a fault found in simulations of 100 couriers: messages of the busier couriers
   * waited 9 s for a share of one call in 3 s, although no call was rejected.
   */
  @Test
  void smallShare_delaysMessagesLessThanStrictEnforcement() {
    final double evenRate = 0.35;
    final FairShare strictShare = shareOf(evenRate);
    final FairShare smallShare = new FairShare(true);
    smallShare.setEvenRate(evenRate, 0);
    final int strictWaiting = maxWaiting(strictShare, 3 * evenRate, 60);
    final int smallWaiting = maxWaiting(smallShare, 3 * evenRate, 60);
    assertTrue(strictWaiting > 10, "enforced strictly, " + strictWaiting + " messages wait");
    assertTrue(
        2 * smallWaiting <= strictWaiting, "small share: " + smallWaiting + " messages wait");
  }

  /** A rejection of a small share does not reset the rate to the even share first. */
  @Test
  void rejectionOfSmallShare_scalesCurrentRate() {
    final FairShare smallShare = new FairShare(true);
    smallShare.setEvenRate(0.5, 0);
    for (long second = 1; second <= 10; second++) {
      smallShare.advance(3, second * SECOND_US);
    }
    final double before = smallShare.ratePerSecond();
    assertTrue(before > 1.5, "rate after growth: " + before);
    smallShare.recordRejected(10 * SECOND_US);
    assertEquals(0.7 * before, smallShare.ratePerSecond(), 1e-9);
    smallShare.recordRejected(10 * SECOND_US + 1);
    assertEquals(
        0.7 * before,
        smallShare.ratePerSecond(),
        1e-9,
        "rejections of other calls in flight are not counted again");
  }

  /** A share of several calls a second is treated in a very large fleet as in any other. */
  @Test
  void shareOfSeveralCallsPerSecond_isSameInAnyFleet() {
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
