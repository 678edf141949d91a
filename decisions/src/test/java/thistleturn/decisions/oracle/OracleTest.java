package thistleturn.decisions.oracle;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.ControlAccess;
import thistleturn.decisions.Courier;

/**
 * {@link Control} decides as the frozen one does, on random days of all kinds of event. A failing
 * seed is the report; {@code -Doracle.days=10000} plays more of them.
 */
@Tag("scale")
final class OracleTest {
  private static final int DAYS = Integer.getInteger("oracle.days", 400);
  private static final int EVENTS = 400;

  private static Courier exact(
      final Courier.Settings settings, final long seed, final Courier.Actions actions) {
    return ControlAccess.lookingAtAll(settings, seed, actions);
  }

  @Test
  void randomDaysAreDecidedAlike() {
    long actions = 0;
    for (long seed = 1; seed <= DAYS; seed++) {
      try {
        actions += new RandomDay(seed, OracleTest::exact, FrozenControl::new).play(EVENTS);
      } catch (final AssertionError e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
    }
    // Days on which nothing is asked for would compare nothing.
    assertTrue(actions > 200L * DAYS, "actions compared: " + actions);
  }

  /** Without reading, all is as it was before there was any. */
  @Test
  void withoutReadingAllIsAsItWas() {
    final RandomDay.Maker frozen =
        (settings, seed, actions) -> new FrozenControl(settings, seed, actions, false);
    for (long seed = 1; seed <= DAYS / 4; seed++) {
      assertTrue(new RandomDay(seed, ControlAccess::withoutReading, frozen).play(EVENTS) > 0);
    }
  }

  /**
   * A courier that decides otherwise is caught: here one whose settings allow it one attempt less.
   */
  @Test
  void aCourierThatDecidesOtherwiseIsCaught() {
    final RandomDay.Maker other =
        (settings, seed, actions) ->
            new FrozenControl(
                new Courier.Settings(
                    settings.couriers(),
                    settings.zone(),
                    settings.listOnRequest(),
                    settings.weights(),
                    settings.fade(),
                    settings.classes(),
                    settings.tenants(),
                    settings.kinds(),
                    settings.guarantees(),
                    new Courier.Limits(
                        settings.limits().slots() + 1,
                        settings.limits().maxOpen(),
                        settings.limits().mostAttempts(),
                        settings.limits().mayCancel(),
                        settings.limits().idleCloseUs(),
                        settings.limits().multiplex(),
                        settings.limits().maxRetryAfterUs())),
                seed,
                actions);
    assertThrows(
        AssertionError.class,
        () -> {
          for (long seed = 1; seed <= DAYS; seed++) {
            new RandomDay(seed, OracleTest::exact, other).play(EVENTS);
          }
        });
  }
}
