package thistleturn.lab.virtual;

import java.util.List;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.decisions.model.DestinationKind;
import thistleturn.decisions.model.Guarantees;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.model.ResourceLimits;
import thistleturn.decisions.model.ValueDecay;
import thistleturn.decisions.model.WeightMeaning;
import thistleturn.lab.model.SimulatedDestination;

/**
 * Input of a simulated run: destinations, open-loop traffic and the settings of one courier.
 *
 * @param destinations destinations
 * @param perSecond messages a second in all, as a Poisson process
 * @param lengthUs how long traffic lasts, us; afterwards the pending messages run to their final
 *     outcomes
 * @param settings settings of the courier
 * @param weight rate of each endpoint in the endpoint list; 0 for none
 */
public record Scenario(
    List<SimulatedDestination> destinations,
    double perSecond,
    long lengthUs,
    DeliverySettings settings,
    double weight) {
  private static final long SECOND_US = 1_000_000;

  /**
   * Settings with three classes (idempotent, idempotent by key with a deduplication window of 1.5
   * s, non-idempotent), a concurrency limit of 60 and at most 400 pending messages.
   */
  public static DeliverySettings settings(final WeightMeaning weights) {
    return settings(weights, SECOND_US);
  }

  /** As above, where a destination that returns from an outage is warm within {@code coldUs}. */
  public static DeliverySettings settings(final WeightMeaning weights, final long coldUs) {
    final List<MessageClass> classes =
        List.of(
            new MessageClass(
                "safe", Idempotence.IDEMPOTENT, false, false, 1, 0, SECOND_US, 3 * SECOND_US, 0),
            new MessageClass(
                "keyed",
                Idempotence.IDEMPOTENT_BY_KEY,
                false,
                false,
                1,
                0,
                SECOND_US,
                4 * SECOND_US,
                3 * SECOND_US / 2),
            new MessageClass(
                "once",
                Idempotence.NON_IDEMPOTENT,
                false,
                false,
                1,
                0,
                SECOND_US,
                3 * SECOND_US,
                0));
    return new DeliverySettings(
        1,
        "a",
        false,
        weights,
        ValueDecay.LINEAR,
        classes,
        List.of(),
        List.of(new DestinationKind("std", false, 1)),
        new Guarantees(10 * SECOND_US, 0.3, coldUs, 2, 0),
        new ResourceLimits(60, 400, 12, true, 10 * SECOND_US, 1, 2 * SECOND_US));
  }
}
