package thistleturn.decisions.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import thistleturn.decisions.health.LocalHealth.State;

/**
 * The promises of own health as one judge over a scripted life; each of ten faults planted in the
 * module is caught by it.
 */
@Tag("health")
final class LocalHealthMutationTest {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;
  private static final int MOST = 1000;

  /** What goes wrong. */
  enum Fault {
    ABSENCE_TOO_LONG,
    ABSENCE_UNSEEN,
    IDLENESS_IS_ABSENCE,
    AWAY_FOR_EVER,
    STARVED_FOR_EVER,
    STARVED_BY_ONE_STOP,
    HOLDS_ALL_WHILE_STARVED,
    MEASURES_OVER_ABSENCES,
    CUT_OFF_BY_ONE_DESTINATION,
    CUT_OFF_FOR_EVER
  }

  /** The module with one fault, or (null) none. */
  private static final class Planted {
    private final Fault fault;
    private final LocalHealth health;
    private boolean wasStarved;
    private boolean wasAway;
    private boolean wasCut;
    private long lastRanUs;

    Planted(final Fault fault, final long nowUs) {
      this.fault = fault;
      this.health = new LocalHealth(nowUs);
      this.lastRanUs = nowUs;
    }

    long ran(final long nowUs) {
      final long gapUs = nowUs - lastRanUs;
      lastRanUs = nowUs;
      final long foundUs = health.recordRun(nowUs);
      return switch (fault == null ? Fault.CUT_OFF_FOR_EVER : fault) {
        case ABSENCE_TOO_LONG -> foundUs > 0 ? foundUs + 2 * LocalHealth.TICK_INTERVAL_US : 0;
        case ABSENCE_UNSEEN -> foundUs > SECOND ? 0 : foundUs;
        case IDLENESS_IS_ABSENCE -> gapUs > 10 * SECOND ? gapUs : foundUs;
        default -> foundUs;
      };
    }

    State state(final long nowUs) {
      final State its = health.state(nowUs);
      wasAway |= its == State.AWAY;
      wasStarved |= its == State.STARVED;
      if (fault == Fault.AWAY_FOR_EVER && wasAway && its == State.WELL) {
        return State.AWAY;
      }
      return (fault == Fault.STARVED_FOR_EVER && wasStarved)
              || (fault == Fault.STARVED_BY_ONE_STOP && its == State.AWAY)
          ? State.STARVED
          : its;
    }

    int mayHold(final long nowUs) {
      return fault == Fault.HOLDS_ALL_WHILE_STARVED
          ? MOST
          : fault == Fault.STARVED_BY_ONE_STOP && state(nowUs) == State.STARVED
              ? 8
              : health.maxPendingMessages(MOST);
    }

    boolean hasMeasured(final long fromUs, final long toUs) {
      return fault == Fault.MEASURES_OVER_ABSENCES || health.wasRunningBetween(fromUs, toUs);
    }

    boolean isCutOff(final int destinations) {
      wasCut |= health.isCutOff();
      return health.isCutOff()
          || (fault == Fault.CUT_OFF_BY_ONE_DESTINATION && destinations == 1)
          || (fault == Fault.CUT_OFF_FOR_EVER && wasCut);
    }
  }

  private long nowUs;
  private Planted planted;
  private final List<String> broken = new ArrayList<>();

  private void must(final boolean kept, final String what) {
    if (!kept) {
      broken.add(what + " at " + nowUs / MS + " ms");
    }
  }

  private long run(final long us) {
    final long untilUs = nowUs + us;
    long foundUs = 0;
    while (nowUs < untilUs) {
      foundUs += planted.ran(nowUs);
      planted.health.expectRunBy(nowUs + LocalHealth.TICK_INTERVAL_US);
      nowUs += Math.min(LocalHealth.TICK_INTERVAL_US, untilUs - nowUs);
    }
    return foundUs;
  }

  private void stop(final long us) {
    final long beforeUs = nowUs;
    nowUs += us;
    final long foundUs = planted.ran(nowUs);
    planted.health.expectRunBy(nowUs + LocalHealth.TICK_INTERVAL_US);
    must(foundUs <= us, "found " + foundUs + " of " + us);
    must(
        foundUs >= us - LocalHealth.TICK_INTERVAL_US - PauseDetector.MIN_PAUSE_US,
        "found " + foundUs + " of " + us);
    must(!planted.hasMeasured(beforeUs, nowUs), "a time measured while away");
  }

  private List<String> judge(final Fault fault) {
    nowUs = 50 * SECOND;
    planted = new Planted(fault, nowUs);
    must(run(5 * SECOND) == 0 && planted.state(nowUs) == State.WELL, "well");
    planted.health.recordRun(nowUs);
    nowUs += 30 * SECOND;
    must(planted.ran(nowUs) == 0, "idle for 30 s");
    run(SECOND);
    stop(3 * SECOND);
    must(planted.state(nowUs) == State.AWAY, "away");
    must(planted.mayHold(nowUs) == MOST, "one stop is no starvation");
    run(2 * SECOND);
    must(planted.state(nowUs) == State.WELL, "well after a stop");
    for (int slice = 0; slice < 20; slice++) {
      stop(350 * MS);
      run(50 * MS);
    }
    must(planted.state(nowUs) == State.STARVED && planted.mayHold(nowUs) < MOST / 10, "starved");
    run(6 * SECOND);
    must(planted.state(nowUs) == State.WELL && planted.mayHold(nowUs) == MOST, "fed");
    planted.health.recordResponse(nowUs);
    run(2 * SECOND);
    planted.health.recordPlatformFailure(nowUs);
    planted.health.recordNoResponse(1, nowUs - SECOND, nowUs);
    must(!planted.isCutOff(1), "one destination proves nothing");
    planted.health.recordNoResponse(2, nowUs - SECOND, nowUs);
    must(planted.isCutOff(2), "cut off");
    planted.health.recordResponse(nowUs);
    must(!planted.isCutOff(0), "back");
    return broken;
  }

  @Test
  void unchangedModule_keepsItsInvariants() {
    assertEquals(List.of(), judge(null));
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void eachMutation_isDetected(final Fault fault) {
    assertFalse(judge(fault).isEmpty(), fault + " was not caught");
  }
}
