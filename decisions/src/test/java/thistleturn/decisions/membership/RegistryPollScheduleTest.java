package thistleturn.decisions.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.membership.RegistryPollSchedule.Scope;

/** When and where a registry is asked. */
@Tag("membership")
final class RegistryPollScheduleTest {
  private static final long SECOND = 1_000_000;
  private static final double MIDDLE = 0.5;
  private final RegistryPollSchedule poll =
      new RegistryPollSchedule(0, 2, 30 * SECOND, 60 * SECOND, true);

  @Test
  void fullPollFirst_thenDeltas() {
    assertEquals(new RegistryPollSchedule.ScheduledPoll(0, 0, Scope.FULL), poll.next());
    poll.onSuccess(SECOND, MIDDLE);
    assertEquals(new RegistryPollSchedule.ScheduledPoll(31 * SECOND, 0, Scope.DELTA), poll.next());
  }

  @Test
  void pollsOfManyCouriers_areSpreadByJitter() {
    poll.onSuccess(0, 0);
    assertEquals(25_500_000, poll.next().atUs());
    poll.onSuccess(0, 0.999);
    assertTrue(poll.next().atUs() > 34 * SECOND && poll.next().atUs() < 35 * SECOND);
  }

  @Test
  void mismatchedDelta_isFollowedByAFullPollAtOnce() {
    poll.onSuccess(0, MIDDLE);
    poll.onMismatch(30 * SECOND);
    assertEquals(new RegistryPollSchedule.ScheduledPoll(30 * SECOND, 0, Scope.FULL), poll.next());
  }

  @Test
  void failedAddress_isFollowedByAFullPollOfTheNextAtOnce() {
    poll.onSuccess(0, MIDDLE);
    assertFalse(poll.onFailure(30 * SECOND, MIDDLE));
    assertEquals(new RegistryPollSchedule.ScheduledPoll(30 * SECOND, 1, Scope.FULL), poll.next());
    poll.onSuccess(31 * SECOND, MIDDLE);
    assertEquals(new RegistryPollSchedule.ScheduledPoll(61 * SECOND, 1, Scope.DELTA), poll.next());
  }

  @Test
  void failedRounds_backOffExponentiallyUntilASuccess() {
    final long[] pausesS = {3, 6, 12, 24, 48, 60, 60};
    for (final long pauseS : pausesS) {
      assertFalse(poll.onFailure(0, MIDDLE));
      assertTrue(poll.onFailure(0, MIDDLE));
      assertEquals(pauseS * SECOND, poll.next().atUs());
    }
    poll.onSuccess(0, MIDDLE);
    poll.onFailure(0, MIDDLE);
    poll.onFailure(0, MIDDLE);
    assertEquals(3 * SECOND, poll.next().atUs());
  }

  @Test
  void deltasDisabled_pollsInFullEachTime() {
    final RegistryPollSchedule whole = new RegistryPollSchedule(0, 1, SECOND, SECOND, false);
    whole.onSuccess(0, MIDDLE);
    assertEquals(Scope.FULL, whole.next().scope());
    assertThrows(
        IllegalArgumentException.class,
        () -> new RegistryPollSchedule(0, 0, SECOND, SECOND, false));
  }
}
