package thistleturn.decisions.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.membership.Lease.Act;

/** A courier's own entry in a registry. */
@Tag("membership")
final class LeaseTest {
  private static final long SECOND = 1_000_000;
  private final Lease lease = new Lease(0, 2, 30 * SECOND);

  private void assertNext(final Act act, final long atS, final int address) {
    assertEquals(
        new Lease.Step(act, act == Act.NOTHING ? Long.MAX_VALUE : atS * SECOND, address),
        lease.next());
  }

  @Test
  void itRegistersAndRenews() {
    assertNext(Act.REGISTER, 0, 0);
    lease.done(SECOND, Act.REGISTER, 204);
    assertNext(Act.RENEW, 31, 0);
    lease.done(31 * SECOND, Act.RENEW, 200);
    assertNext(Act.RENEW, 61, 0);
    assertTrue(lease.isKnown());
  }

  @Test
  void aRenewalOfWhatTheRegistryForgotRegistersAgainAtOnce() {
    lease.done(0, Act.REGISTER, 204);
    lease.done(30 * SECOND, Act.RENEW, 404);
    assertNext(Act.REGISTER, 30, 0);
    assertFalse(lease.isKnown());
  }

  @Test
  void failuresTurnToTheOtherAddressAndThenPause() {
    lease.done(0, Act.REGISTER, 503);
    assertNext(Act.REGISTER, 0, 1);
    lease.done(0, Act.REGISTER, 0);
    assertNext(Act.REGISTER, 2, 0);
    lease.done(2 * SECOND, Act.REGISTER, 503);
    lease.done(2 * SECOND, Act.REGISTER, 503);
    assertNext(Act.REGISTER, 6, 0);
  }

  @Test
  void refusedRenewalsAreRepeatedNoMoreOftenThanRenewals() {
    lease.done(0, Act.REGISTER, 204);
    for (int failure = 0; failure < 40; failure++) {
      lease.done(0, Act.RENEW, 500);
      assertTrue(lease.next().atUs() <= 30 * SECOND);
      assertEquals(Act.RENEW, lease.next().act(), "a refusal does not say that the entry is gone");
    }
  }

  @Test
  void onLeavingItWarnsThenCancels() {
    lease.done(0, Act.REGISTER, 204);
    lease.leave(SECOND, false);
    assertNext(Act.WARN, 1, 0);
    lease.done(SECOND, Act.WARN, 200);
    assertNext(Act.NOTHING, 0, 0);
    assertFalse(lease.isOver());
    lease.cancel(2 * SECOND, false);
    assertNext(Act.CANCEL, 2, 0);
    lease.done(2 * SECOND, Act.CANCEL, 200);
    assertTrue(lease.isOver());
  }

  @Test
  void leavingInTheMiddleOfARegistrationWarnsOnceItsEndIsKnown() {
    lease.leave(SECOND, true);
    assertNext(Act.REGISTER, 0, 0);
    lease.done(2 * SECOND, Act.REGISTER, 0);
    assertNext(Act.WARN, 2, 1);
    lease.cancel(3 * SECOND, true);
    lease.done(4 * SECOND, Act.WARN, 0);
    assertNext(Act.CANCEL, 4, 0);
    lease.done(5 * SECOND, Act.CANCEL, 0);
    assertTrue(lease.isOver(), "a lease that cannot be cancelled expires");
  }

  @Test
  void oneThatNeverRegisteredHasNothingToCancel() {
    lease.done(0, Act.REGISTER, 503);
    lease.leave(0, false);
    lease.cancel(0, false);
    assertTrue(lease.isOver());
  }
}
