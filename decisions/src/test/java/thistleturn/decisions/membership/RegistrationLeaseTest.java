package thistleturn.decisions.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.membership.RegistrationLease.Action;

/** The schedule of calls for a courier's own entry in a registry. */
@Tag("membership")
final class RegistrationLeaseTest {
  private static final long SECOND = 1_000_000;
  private final RegistrationLease lease = new RegistrationLease(0, 2, 30 * SECOND);

  private void assertNext(final Action action, final long atS, final int address) {
    assertEquals(
        new RegistrationLease.ScheduledAction(
            action, action == Action.NOTHING ? Long.MAX_VALUE : atS * SECOND, address),
        lease.next());
  }

  @Test
  void newLease_registersAtOnceThenRenewsEachInterval() {
    assertNext(Action.REGISTER, 0, 0);
    lease.onCompleted(SECOND, Action.REGISTER, 204);
    assertNext(Action.RENEW, 31, 0);
    lease.onCompleted(31 * SECOND, Action.RENEW, 200);
    assertNext(Action.RENEW, 61, 0);
    assertTrue(lease.mayBeRegistered());
  }

  @Test
  void renewalAnsweredNotFound_registersAgainAtOnce() {
    lease.onCompleted(0, Action.REGISTER, 204);
    lease.onCompleted(30 * SECOND, Action.RENEW, 404);
    assertNext(Action.REGISTER, 30, 0);
    assertFalse(lease.mayBeRegistered());
  }

  @Test
  void failures_tryTheNextAddressThenBackOff() {
    lease.onCompleted(0, Action.REGISTER, 503);
    assertNext(Action.REGISTER, 0, 1);
    lease.onCompleted(0, Action.REGISTER, 0);
    assertNext(Action.REGISTER, 2, 0);
    lease.onCompleted(2 * SECOND, Action.REGISTER, 503);
    lease.onCompleted(2 * SECOND, Action.REGISTER, 503);
    assertNext(Action.REGISTER, 6, 0);
  }

  @Test
  void failedRenewals_areRetriedWithinTheRenewalInterval() {
    lease.onCompleted(0, Action.REGISTER, 204);
    for (int failure = 0; failure < 40; failure++) {
      lease.onCompleted(0, Action.RENEW, 500);
      assertTrue(lease.next().atUs() <= 30 * SECOND);
      assertEquals(
          Action.RENEW,
          lease.next().action(),
          "a failed renewal does not mean that the entry is gone");
    }
  }

  @Test
  void draining_warnsThenCancels() {
    lease.onCompleted(0, Action.REGISTER, 204);
    lease.beginDraining(SECOND, false);
    assertNext(Action.WARN, 1, 0);
    lease.onCompleted(SECOND, Action.WARN, 200);
    assertNext(Action.NOTHING, 0, 0);
    assertFalse(lease.isFinished());
    lease.cancel(2 * SECOND, false);
    assertNext(Action.CANCEL, 2, 0);
    lease.onCompleted(2 * SECOND, Action.CANCEL, 200);
    assertTrue(lease.isFinished());
  }

  @Test
  void drainingDuringRegistration_warnsOnceTheCallCompletes() {
    lease.beginDraining(SECOND, true);
    assertNext(Action.REGISTER, 0, 0);
    lease.onCompleted(2 * SECOND, Action.REGISTER, 0);
    assertNext(Action.WARN, 2, 1);
    lease.cancel(3 * SECOND, true);
    lease.onCompleted(4 * SECOND, Action.WARN, 0);
    assertNext(Action.CANCEL, 4, 0);
    lease.onCompleted(5 * SECOND, Action.CANCEL, 0);
    assertTrue(lease.isFinished(), "a failed cancellation is not repeated, as the lease expires");
  }

  @Test
  void neverRegistered_hasNothingToCancel() {
    lease.onCompleted(0, Action.REGISTER, 503);
    lease.beginDraining(0, false);
    lease.cancel(0, false);
    assertTrue(lease.isFinished());
  }
}
