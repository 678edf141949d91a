package thistleturn.decisions.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.membership.RegistryPollSchedule.Scope;

/** The schedule of polls of a registry: times, addresses and scopes. */
@Tag("membership")
final class RegistryPollScheduleTest {
  private static final long SECOND = 1_000_000;
  private static final double MIDDLE = 0.5;
  private final RegistryPollSchedule schedule =
      new RegistryPollSchedule(0, 2, 30 * SECOND, 60 * SECOND, true);

  @Test
  void fullPollFirst_thenDeltas() {
    assertEquals(new RegistryPollSchedule.ScheduledPoll(0, 0, Scope.FULL), schedule.next());
    schedule.onSuccess(SECOND, MIDDLE);
    assertEquals(
        new RegistryPollSchedule.ScheduledPoll(31 * SECOND, 0, Scope.DELTA), schedule.next());
  }

  @Test
  void pollsOfManyCouriers_areSpreadByJitter() {
    schedule.onSuccess(0, 0);
    assertEquals(25_500_000, schedule.next().atUs());
    schedule.onSuccess(0, 0.999);
    assertTrue(schedule.next().atUs() > 34 * SECOND && schedule.next().atUs() < 35 * SECOND);
  }

  @Test
  void mismatchedDelta_isFollowedByAFullPollAtOnce() {
    schedule.onSuccess(0, MIDDLE);
    schedule.onMismatch(30 * SECOND);
    assertEquals(
        new RegistryPollSchedule.ScheduledPoll(30 * SECOND, 0, Scope.FULL), schedule.next());
  }

  @Test
  void failedAddress_isFollowedByAFullPollOfTheNextAtOnce() {
    schedule.onSuccess(0, MIDDLE);
    assertFalse(schedule.onFailure(30 * SECOND, MIDDLE));
    assertEquals(
        new RegistryPollSchedule.ScheduledPoll(30 * SECOND, 1, Scope.FULL), schedule.next());
    schedule.onSuccess(31 * SECOND, MIDDLE);
    assertEquals(
        new RegistryPollSchedule.ScheduledPoll(61 * SECOND, 1, Scope.DELTA), schedule.next());
  }

  @Test
  void failedRounds_backOffExponentiallyUntilASuccess() {
    final long[] pausesS = {3, 6, 12, 24, 48, 60, 60};
    for (final long pauseS : pausesS) {
      assertFalse(schedule.onFailure(0, MIDDLE));
      assertTrue(schedule.onFailure(0, MIDDLE));
      assertEquals(pauseS * SECOND, schedule.next().atUs());
    }
    schedule.onSuccess(0, MIDDLE);
    schedule.onFailure(0, MIDDLE);
    schedule.onFailure(0, MIDDLE);
    assertEquals(3 * SECOND, schedule.next().atUs());
  }

  @Test
  void deltasDisabled_pollsInFullEachTime() {
    final RegistryPollSchedule fullOnly = new RegistryPollSchedule(0, 1, SECOND, SECOND, false);
    fullOnly.onSuccess(0, MIDDLE);
    assertEquals(Scope.FULL, fullOnly.next().scope());
    assertThrows(
        IllegalArgumentException.class,
        () -> new RegistryPollSchedule(0, 0, SECOND, SECOND, false));
  }
}
