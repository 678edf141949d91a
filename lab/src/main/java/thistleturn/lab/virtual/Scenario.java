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
 * What is played: partners, traffic in open loop, and one courier's settings.
 *
 * @param partners destinations
 * @param perSecond messages a second in all, as a Poisson process
 * @param lengthUs how long traffic lasts, us; then all that is open comes to its end
 * @param settings the courier's
 * @param weight the rate told in the list for each endpoint; 0: none
 */
public record Scenario(
    List<SimulatedDestination> partners,
    double perSecond,
    long lengthUs,
    DeliverySettings settings,
    double weight) {
  private static final long SECOND_US = 1_000_000;

  /** Three classes (safe, keyed with 1.5 s of memory, unsafe), 60 slots, 400 places. */
  public static DeliverySettings settings(final WeightMeaning weights) {
    return settings(weights, SECOND_US);
  }

  /** The same, where a destination that returns is warm within {@code coldUs}. */
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
