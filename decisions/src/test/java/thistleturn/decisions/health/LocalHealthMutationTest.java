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
 * The invariants of {@link LocalHealth}, checked over one scripted sequence of events; each of ten
 * mutations of the class violates at least one of them.
 */
@Tag("health")
final class LocalHealthMutationTest {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;
  private static final int MAX_PENDING = 1000;

  /** The fault that the mutated class has. */
  enum Mutation {
    PAUSE_TOO_LONG,
    PAUSE_UNDETECTED,
    IDLENESS_IS_PAUSE,
    AWAY_FOREVER,
    STARVED_FOREVER,
    STARVED_BY_ONE_PAUSE,
    UNBOUNDED_WHILE_STARVED,
    MEASURES_ACROSS_PAUSES,
    CUT_OFF_BY_ONE_DESTINATION,
    CUT_OFF_FOREVER
  }

  /** The class with one mutation, or with none if that is null. */
  private static final class MutatedHealth {
    private final Mutation mutation;
    private final LocalHealth health;
    private boolean wasStarved;
    private boolean wasAway;
    private boolean wasCutOff;
    private long lastRunUs;

    MutatedHealth(final Mutation mutation, final long nowUs) {
      this.mutation = mutation;
      this.health = new LocalHealth(nowUs);
      this.lastRunUs = nowUs;
    }

    long recordRun(final long nowUs) {
      final long gapUs = nowUs - lastRunUs;
      lastRunUs = nowUs;
      final long detectedUs = health.recordRun(nowUs);
      return switch (mutation == null ? Mutation.CUT_OFF_FOREVER : mutation) {
        case PAUSE_TOO_LONG -> detectedUs > 0 ? detectedUs + 2 * LocalHealth.TICK_INTERVAL_US : 0;
        case PAUSE_UNDETECTED -> detectedUs > SECOND ? 0 : detectedUs;
        case IDLENESS_IS_PAUSE -> gapUs > 10 * SECOND ? gapUs : detectedUs;
        default -> detectedUs;
      };
    }

    State state(final long nowUs) {
      final State actual = health.state(nowUs);
      wasAway |= actual == State.AWAY;
      wasStarved |= actual == State.STARVED;
      if (mutation == Mutation.AWAY_FOREVER && wasAway && actual == State.WELL) {
        return State.AWAY;
      }
      return (mutation == Mutation.STARVED_FOREVER && wasStarved)
              || (mutation == Mutation.STARVED_BY_ONE_PAUSE && actual == State.AWAY)
          ? State.STARVED
          : actual;
    }

    int maxPendingMessages(final long nowUs) {
      return mutation == Mutation.UNBOUNDED_WHILE_STARVED
          ? MAX_PENDING
          : mutation == Mutation.STARVED_BY_ONE_PAUSE && state(nowUs) == State.STARVED
              ? 8
              : health.maxPendingMessages(MAX_PENDING);
    }

    boolean wasRunningBetween(final long fromUs, final long toUs) {
      return mutation == Mutation.MEASURES_ACROSS_PAUSES || health.wasRunningBetween(fromUs, toUs);
    }

    boolean isCutOff(final int destinations) {
      wasCutOff |= health.isCutOff();
      return health.isCutOff()
          || (mutation == Mutation.CUT_OFF_BY_ONE_DESTINATION && destinations == 1)
          || (mutation == Mutation.CUT_OFF_FOREVER && wasCutOff);
    }
  }

  private long nowUs;
  private MutatedHealth mutated;
  private final List<String> violations = new ArrayList<>();

  private void check(final boolean holds, final String invariant) {
    if (!holds) {
      violations.add(invariant + " at " + nowUs / MS + " ms");
    }
  }

  private long run(final long us) {
    final long untilUs = nowUs + us;
    long detectedUs = 0;
    while (nowUs < untilUs) {
      detectedUs += mutated.recordRun(nowUs);
      mutated.health.expectRunBy(nowUs + LocalHealth.TICK_INTERVAL_US);
      nowUs += Math.min(LocalHealth.TICK_INTERVAL_US, untilUs - nowUs);
    }
    return detectedUs;
  }

  private void pause(final long us) {
    final long beforeUs = nowUs;
    nowUs += us;
    final long detectedUs = mutated.recordRun(nowUs);
    mutated.health.expectRunBy(nowUs + LocalHealth.TICK_INTERVAL_US);
    check(detectedUs <= us, "detected " + detectedUs + " of " + us);
    check(
        detectedUs >= us - LocalHealth.TICK_INTERVAL_US - PauseDetector.MIN_PAUSE_US,
        "detected " + detectedUs + " of " + us);
    check(
        !mutated.wasRunningBetween(beforeUs, nowUs),
        "a duration measured across a pause counts as reliable");
  }

  private List<String> findViolations(final Mutation mutation) {
    nowUs = 50 * SECOND;
    mutated = new MutatedHealth(mutation, nowUs);
    check(run(5 * SECOND) == 0 && mutated.state(nowUs) == State.WELL, "well");
    mutated.health.recordRun(nowUs);
    nowUs += 30 * SECOND;
    check(mutated.recordRun(nowUs) == 0, "idle for 30 s");
    run(SECOND);
    pause(3 * SECOND);
    check(mutated.state(nowUs) == State.AWAY, "away");
    check(mutated.maxPendingMessages(nowUs) == MAX_PENDING, "one pause is not starvation");
    run(2 * SECOND);
    check(mutated.state(nowUs) == State.WELL, "well after a pause");
    for (int slice = 0; slice < 20; slice++) {
      pause(350 * MS);
      run(50 * MS);
    }
    check(
        mutated.state(nowUs) == State.STARVED
            && mutated.maxPendingMessages(nowUs) < MAX_PENDING / 10,
        "starved");
    run(6 * SECOND);
    check(
        mutated.state(nowUs) == State.WELL && mutated.maxPendingMessages(nowUs) == MAX_PENDING,
        "recovered");
    mutated.health.recordResponse(nowUs);
    run(2 * SECOND);
    mutated.health.recordPlatformFailure(nowUs);
    mutated.health.recordNoResponse(1, nowUs - SECOND, nowUs);
    check(!mutated.isCutOff(1), "one destination is not enough for cut off");
    mutated.health.recordNoResponse(2, nowUs - SECOND, nowUs);
    check(mutated.isCutOff(2), "cut off");
    mutated.health.recordResponse(nowUs);
    check(!mutated.isCutOff(0), "connected again");
    return violations;
  }

  @Test
  void unmutatedClass_keepsItsInvariants() {
    assertEquals(List.of(), findViolations(null));
  }

  @ParameterizedTest
  @EnumSource(Mutation.class)
  void eachMutation_isDetected(final Mutation mutation) {
    assertFalse(findViolations(mutation).isEmpty(), mutation + " was not detected");
  }
}
