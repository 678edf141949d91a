package thistleturn.decisions.oracle;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.DeliveryActions;
import thistleturn.decisions.DeliveryController;
import thistleturn.decisions.OverloadControllerAccess;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.decisions.model.ResourceLimits;

/**
 * {@link Control} decides as the frozen one does, on random days of all kinds of event. A failing
 * seed is the report; {@code -Doracle.days=10000} plays more of them.
 */
@Tag("scale")
final class OracleTest {
  private static final int SCENARIOS = Integer.getInteger("oracle.days", 400);
  private static final int EVENTS = 400;

  private static DeliveryController exact(
      final DeliverySettings settings, final long seed, final DeliveryActions actions) {
    return OverloadControllerAccess.withExhaustiveRanking(settings, seed, actions);
  }

  @Test
  void randomScenarios_giveSameActionsAsReference() {
    long actions = 0;
    for (long seed = 1; seed <= SCENARIOS; seed++) {
      try {
        actions +=
            new RandomScenario(seed, OracleTest::exact, ReferenceController::new).play(EVENTS);
      } catch (final AssertionError e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
    }
    // Days on which nothing is asked for would compare nothing.
    assertTrue(actions > 200L * SCENARIOS, "actions compared: " + actions);
  }

  /** Without reading, all is as it was before there was any. */
  @Test
  void randomScenariosWithoutFaultClassification_giveSameActionsAsReference() {
    final RandomScenario.ControllerFactory frozen =
        (settings, seed, actions) -> new ReferenceController(settings, seed, actions, false);
    for (long seed = 1; seed <= SCENARIOS / 4; seed++) {
      assertTrue(
          new RandomScenario(seed, OverloadControllerAccess::withoutFaultClassification, frozen)
                  .play(EVENTS)
              > 0);
    }
  }

  /**
   * A courier that decides otherwise is caught: here one whose settings allow it one attempt less.
   */
  @Test
  void differingController_isDetected() {
    final RandomScenario.ControllerFactory other =
        (settings, seed, actions) ->
            new ReferenceController(
                new DeliverySettings(
                    settings.courierCount(),
                    settings.zone(),
                    settings.subscribesToEndpointList(),
                    settings.weightMeaning(),
                    settings.valueDecay(),
                    settings.classes(),
                    settings.tenants(),
                    settings.kinds(),
                    settings.guarantees(),
                    new ResourceLimits(
                        settings.limits().concurrencyLimit() + 1,
                        settings.limits().maxPendingMessages(),
                        settings.limits().maxAttempts(),
                        settings.limits().cancellationAllowed(),
                        settings.limits().idleTimeoutUs(),
                        settings.limits().streamsPerConnection(),
                        settings.limits().maxRetryAfterUs())),
                seed,
                actions);
    assertThrows(
        AssertionError.class,
        () -> {
          for (long seed = 1; seed <= SCENARIOS; seed++) {
            new RandomScenario(seed, OracleTest::exact, other).play(EVENTS);
          }
        });
  }
}
