package thistleturn.lab.virtual;

import java.util.List;
import thistleturn.decisions.Courier;
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
    Courier.Settings settings,
    double weight) {
  private static final long SECOND_US = 1_000_000;

  /** Three classes (safe, keyed with 1.5 s of memory, unsafe), 60 slots, 400 places. */
  public static Courier.Settings settings(final Courier.Weights weights) {
    return settings(weights, SECOND_US);
  }

  /** The same, where a destination that returns is warm within {@code coldUs}. */
  public static Courier.Settings settings(final Courier.Weights weights, final long coldUs) {
    final List<Courier.MessageClass> classes =
        List.of(
            new Courier.MessageClass(
                "safe", Courier.Effect.SAFE, false, false, 1, 0, SECOND_US, 3 * SECOND_US, 0),
            new Courier.MessageClass(
                "keyed",
                Courier.Effect.KEYED,
                false,
                false,
                1,
                0,
                SECOND_US,
                4 * SECOND_US,
                3 * SECOND_US / 2),
            new Courier.MessageClass(
                "once", Courier.Effect.UNSAFE, false, false, 1, 0, SECOND_US, 3 * SECOND_US, 0));
    return new Courier.Settings(
        1,
        "a",
        false,
        weights,
        Courier.Fade.LINEAR,
        classes,
        List.of(),
        List.of(new Courier.Kind("std", false, 1)),
        new Courier.Guarantees(10 * SECOND_US, 0.3, coldUs, 2, 0),
        new Courier.Limits(60, 400, 12, true, 10 * SECOND_US, 1, 2 * SECOND_US));
  }
}
