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
 * The overload controller requests the same actions as the frozen {@link ReferenceController} in
 * random scenarios of all kinds of event. A failure reports its seed; {@code -Doracle.days=10000}
 * runs more scenarios.
 */
@Tag("scale")
final class OracleTest {
  private static final int SCENARIOS = Integer.getInteger("oracle.days", 400);
  private static final int EVENTS = 400;

  private static DeliveryController withExhaustiveRanking(
      final DeliverySettings settings, final long seed, final DeliveryActions actions) {
    return OverloadControllerAccess.withExhaustiveRanking(settings, seed, actions);
  }

  @Test
  void randomScenarios_giveSameActionsAsReference() {
    long actions = 0;
    for (long seed = 1; seed <= SCENARIOS; seed++) {
      try {
        actions +=
            new RandomScenario(seed, OracleTest::withExhaustiveRanking, ReferenceController::new)
                .run(EVENTS);
      } catch (final AssertionError e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
    }
    // Scenarios in which no actions are requested would compare nothing.
    assertTrue(actions > 200L * SCENARIOS, "actions compared: " + actions);
  }

  /** Without the classification of rejections, decisions are as before its introduction. */
  @Test
  void randomScenariosWithoutFaultClassification_giveSameActionsAsReference() {
    final RandomScenario.ControllerFactory reference =
        (settings, seed, actions) -> new ReferenceController(settings, seed, actions, false);
    for (long seed = 1; seed <= SCENARIOS / 4; seed++) {
      assertTrue(
          new RandomScenario(seed, OverloadControllerAccess::withoutFaultClassification, reference)
                  .run(EVENTS)
              > 0);
    }
  }

  /**
   * The comparison detects a controller that decides differently: here one whose settings allow one
   * more call in flight.
   */
  @Test
  void differingController_isDetected() {
    final RandomScenario.ControllerFactory differing =
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
            new RandomScenario(seed, OracleTest::withExhaustiveRanking, differing).run(EVENTS);
          }
        });
  }
}
