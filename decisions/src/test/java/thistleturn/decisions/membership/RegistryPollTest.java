package thistleturn.decisions.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.membership.RegistryPoll.Ask;

/** When and where a registry is asked. */
@Tag("membership")
final class RegistryPollTest {
  private static final long SECOND = 1_000_000;
  private static final double MIDDLE = 0.5;
  private final RegistryPoll poll = new RegistryPoll(0, 2, 30 * SECOND, 60 * SECOND, true);

  @Test
  void firstAllIsAskedForThenChanges() {
    assertEquals(new RegistryPoll.Next(0, 0, Ask.FULL), poll.next());
    poll.answered(SECOND, MIDDLE);
    assertEquals(new RegistryPoll.Next(31 * SECOND, 0, Ask.DELTA), poll.next());
  }

  @Test
  void callsOfManyCouriersSpreadOverTheirPeriod() {
    poll.answered(0, 0);
    assertEquals(25_500_000, poll.next().atUs());
    poll.answered(0, 0.999);
    assertTrue(poll.next().atUs() > 34 * SECOND && poll.next().atUs() < 35 * SECOND);
  }

  @Test
  void aDeltaThatDoesNotFitIsFollowedByAllAtOnce() {
    poll.answered(0, MIDDLE);
    poll.mismatched(30 * SECOND);
    assertEquals(new RegistryPoll.Next(30 * SECOND, 0, Ask.FULL), poll.next());
  }

  @Test
  void theNextAddressIsAskedAtOnceAndForAll() {
    poll.answered(0, MIDDLE);
    assertFalse(poll.failed(30 * SECOND, MIDDLE));
    assertEquals(new RegistryPoll.Next(30 * SECOND, 1, Ask.FULL), poll.next());
    poll.answered(31 * SECOND, MIDDLE);
    assertEquals(new RegistryPoll.Next(61 * SECOND, 1, Ask.DELTA), poll.next());
  }

  @Test
  void pausesGrowAfterRoundsInWhichAllFailedAndEndWithAnAnswer() {
    final long[] pausesS = {3, 6, 12, 24, 48, 60, 60};
    for (final long pauseS : pausesS) {
      assertFalse(poll.failed(0, MIDDLE));
      assertTrue(poll.failed(0, MIDDLE));
      assertEquals(pauseS * SECOND, poll.next().atUs());
    }
    poll.answered(0, MIDDLE);
    poll.failed(0, MIDDLE);
    poll.failed(0, MIDDLE);
    assertEquals(3 * SECOND, poll.next().atUs());
  }

  @Test
  void withoutDeltasAllIsAskedForEachTime() {
    final RegistryPoll whole = new RegistryPoll(0, 1, SECOND, SECOND, false);
    whole.answered(0, MIDDLE);
    assertEquals(Ask.FULL, whole.next().ask());
    assertThrows(
        IllegalArgumentException.class, () -> new RegistryPoll(0, 0, SECOND, SECOND, false));
  }
}
