package thistleturn.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.OverloadController;
import thistleturn.decisions.model.WeightMeaning;
import thistleturn.lab.model.Fault;
import thistleturn.lab.model.Limit;
import thistleturn.lab.model.SimulatedDestination;
import thistleturn.lab.virtual.CrashSchedule;
import thistleturn.lab.virtual.Scenario;
import thistleturn.lab.virtual.ScenarioStatistics;
import thistleturn.lab.virtual.VirtualCourier;

/**
 * A courier that is killed again and again, with and without what was learnt; the rules are watched
 * throughout.
 */
@Tag("noise")
final class KillsTest {
  private static final long SECOND = 1_000_000;

  /** Lives too short for two steps of the window, as a deploy that fails its checks makes them. */
  private static final long LIFE = 1_200_000;

  private static final long START = 300_000;

  private static ScenarioStatistics play(
      final Fault fault,
      final Limit limit,
      final double perSecond,
      final long seed,
      final boolean remembers) {
    final List<SimulatedDestination> partners = new ArrayList<>();
    for (long id = 1; id <= 3; id++) {
      partners.add(SimulatedDestination.plain(id).withFault(fault).withLimit(limit));
    }
    final Scenario evening =
        new Scenario(partners, perSecond, 31 * SECOND, Scenario.settings(WeightMeaning.NONE), 0);
    final ScenarioStatistics tally =
        VirtualCourier.run(
            evening,
            new CrashSchedule(20, LIFE, LIFE, START, remembers),
            seed,
            OverloadController::new);
    assertEquals(List.of(), tally.violations(), "seed " + seed);
    assertEquals(20, tally.kills());
    return tally;
  }

  @Test
  void killsAloneCostWhatWasOut() {
    for (long seed = 1; seed <= 3; seed++) {
      final double anew = play(Fault.NONE, Limit.none(), 200, seed, false).goodput();
      final double taken = play(Fault.NONE, Limit.none(), 200, seed, true).goodput();
      assertTrue(
          anew > 0.97 && taken > 0.97,
          "seed " + seed + ": " + anew + " anew, " + taken + " taken up");
    }
  }

  /**
   * A lane that was paced in one life was paced for good: a pace widens by steps of a second, and
   * no life was long enough for one. What is left is a lane that noise took for out, which grows
   * back from its rate.
   */
  @Test
  void amidNoiseWhatWasLearntIsWorthTakingUp() {
    double gained = 0;
    double least = 1;
    for (long seed = 1; seed <= 12; seed++) {
      final Fault noise = Fault.shares(0.1, 0.04, 0.04, 0.01);
      final double gain =
          play(noise, Limit.none(), 200, seed, true).goodput()
              - play(noise, Limit.none(), 200, seed, false).goodput();
      gained += gain / 12;
      least = Math.min(least, gain);
    }
    assertTrue(gained > 0.01, "gained by it: " + gained);
    assertTrue(least > -0.1, "in the worst evening: " + least);
  }

  /** What widens from life to life does not outrun a limit that holds. */
  @Test
  void aLimitIsHeededAllTheMore() {
    double anew = 0;
    double taken = 0;
    for (long seed = 1; seed <= 6; seed++) {
      anew +=
          play(Fault.NONE, Limit.fixedWindow(90, SECOND, false), 120, seed, false)
              .refusedCallsPerMessage();
      taken +=
          play(Fault.NONE, Limit.fixedWindow(90, SECOND, false), 120, seed, true)
              .refusedCallsPerMessage();
    }
    assertTrue(
        taken <= 1.1 * anew,
        "refused calls a message: " + anew / 6 + " anew, " + taken / 6 + " taken up");
  }
}
