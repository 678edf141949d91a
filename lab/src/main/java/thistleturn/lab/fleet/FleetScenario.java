package thistleturn.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.decisions.model.DestinationKind;
import thistleturn.decisions.model.Guarantees;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.model.ResourceLimits;
import thistleturn.decisions.model.ValueDecay;
import thistleturn.decisions.model.WeightMeaning;

/**
 * The input of one simulated run of a fleet.
 *
 * @param couriers number of couriers, alternating between two zones
 * @param destinations the destinations that all couriers deliver to
 * @param perSecond messages a second, over the whole fleet, as a Poisson process
 * @param lengthUs how long traffic lasts, us; afterwards the pending messages run to their final
 *     outcomes
 * @param disturbance what goes wrong during the run
 * @param fromUs when the disturbance begins, us from the start of the traffic
 * @param settings settings of every courier, apart from its zone
 * @param loads relative load of each courier; empty if all get the same
 */
public record FleetScenario(
    int couriers,
    List<Destination> destinations,
    double perSecond,
    long lengthUs,
    Disturbance disturbance,
    long fromUs,
    DeliverySettings settings,
    List<Double> loads) {
  static final long SECOND_US = 1_000_000;

  /** Lower bound of the load on a destination, as a share of its rate. */
  private static final double LOAD = 0.6;

  private static final int DESTINATIONS = 8;

  /**
   * Sparse scenarios: messages a second per courier, number of destinations, skew of their shares,
   * load, and ratio between the busiest and the idlest courier.
   */
  private static final double SPARSE_PER_SECOND = 3;

  private static final int SPARSE_DESTINATIONS = 7;
  private static final double SPARSE_SKEW = 0.85;
  private static final double SPARSE_LOAD = 0.7;
  private static final double SPARSE_SPREAD = 10;

  /**
   * Number of destinations that a disturbance of destinations affects: about half of the traffic.
   */
  private static final int AFFECTED = 2;

  /** Disturbances of a large fleet. */
  public enum Disturbance {
    /** None. */
    NONE,
    /**
     * Two couriers in three are killed at once and start again 1.6 s later; discovery rejects a
     * part of the requests.
     */
    HERD,
    /** As HERD, and each of these couriers is killed three more times, soon after its start. */
    CRASHES,
    /** Destinations with half of the traffic are down for 5 s and return cold. */
    ZONE,
    /**
     * Destinations with half of the traffic accept half of their rate for 9 s, without notice to
     * the couriers.
     */
    JOIN,
    /** Traffic rises to 1.5 times the usual rate for 8 s. */
    BURST,
    /**
     * All couriers are restarted, a tenth at a time; every second one without a graceful shutdown.
     */
    ROLL,
    /** For 6 s a fifth of the endpoints neither accept a connection nor answer. */
    SPLIT,
    /** One courier in ten is paused for 3 s, while the destinations are healthy. */
    PAUSED_TENTH,
    /** One courier in three is paused for 3 s. */
    PAUSED_THIRD,
    /** All couriers are paused for 3 s, with starts spread over 3 s. */
    PAUSED_ALL,
    /** One courier in three runs for only a tenth of the time, for 8 s. */
    STARVED_THIRD,
    /**
     * All couriers are paused for 1 s, and destinations with half of the traffic go down at the
     * same moment, for 5 s.
     */
    PAUSED_ZONE;

    /** True if the couriers themselves are paused. */
    public boolean pausesCouriers() {
      return ordinal() >= PAUSED_TENTH.ordinal();
    }
  }

  /**
   * One destination.
   *
   * @param ratePerSecond calls a second that it accepts from all couriers; rejected calls count
   *     towards it
   * @param endpoints number of endpoints, alternating between two zones
   * @param connections connections that an endpoint accepts, idle ones included
   * @param messagesPerCall maximum number of messages in a call
   * @param serviceUs mean service time of a call, exponentially distributed, us
   * @param waitUs Retry-After of a rejection, us; 0 for none
   * @param share its share of the messages
   */
  public record Destination(
      double ratePerSecond,
      int endpoints,
      int connections,
      int messagesPerCall,
      long serviceUs,
      long waitUs,
      double share) {}

  /**
   * Generates a scenario with little traffic per courier: three messages a second on average for
   * seven destinations, with a ratio of up to ten between the busiest and the idlest courier.
   * Concurrency limits and message stores are small, as in a large fleet.
   */
  public static FleetScenario generateSparse(
      final int couriers, final Disturbance disturbance, final RandomGenerator random) {
    final double perSecond = SPARSE_PER_SECOND * couriers;
    double shares = 0;
    for (int index = 0; index < SPARSE_DESTINATIONS; index++) {
      shares += Math.pow(1 + index, -SPARSE_SKEW);
    }
    final List<Destination> destinations = new ArrayList<>();
    for (int index = 0; index < SPARSE_DESTINATIONS; index++) {
      final double share = Math.pow(1 + index, -SPARSE_SKEW) / shares;
      final boolean several = index % 4 == 0;
      final double headroom = 1 + random.nextDouble();
      final double rate =
          Math.max(
              4,
              Math.ceil(perSecond * share / (SPARSE_LOAD + 0.2 * random.nextDouble()) * headroom));
      final int endpoints = index < 2 ? 3 : 1 + random.nextInt(3);
      final long serviceUs = 100_000L + random.nextInt(120_000);
      final int connections =
          several
              ? Integer.MAX_VALUE
              : (int) Math.max(8, 2.5 * rate * serviceUs / SECOND_US / endpoints);
      destinations.add(
          new Destination(
              rate,
              endpoints,
              connections,
              several ? 5 : 1,
              serviceUs,
              several || random.nextInt(4) == 0 ? 500_000 : 0,
              share));
    }
    final List<Double> loads = new ArrayList<>();
    for (int index = 0; index < couriers; index++) {
      loads.add(Math.pow(SPARSE_SPREAD, random.nextDouble()));
    }
    final FleetScenario base = generate(couriers, disturbance, random);
    final DeliverySettings baseSettings = base.settings;
    return new FleetScenario(
        couriers,
        destinations,
        perSecond,
        base.lengthUs,
        disturbance,
        base.fromUs,
        new DeliverySettings(
            couriers,
            baseSettings.zone(),
            baseSettings.subscribesToEndpointList(),
            baseSettings.weightMeaning(),
            baseSettings.valueDecay(),
            baseSettings.classes(),
            baseSettings.tenants(),
            baseSettings.kinds(),
            baseSettings.guarantees(),
            new ResourceLimits(3, 26, 12, true, 10 * SECOND_US, 1, 2 * SECOND_US)),
        loads);
  }

  /** Generates a scenario at random, with traffic in proportion to the number of couriers. */
  public static FleetScenario generate(
      final int couriers, final Disturbance disturbance, final RandomGenerator random) {
    final double perSecond = 17.0 * couriers;
    final List<Destination> destinations = new ArrayList<>();
    double shares = 0;
    for (int index = 0; index < DESTINATIONS; index++) {
      shares += 1.0 / (1 + index);
    }
    for (int index = 0; index < DESTINATIONS; index++) {
      final double share = 1.0 / (1 + index) / shares;
      final int perCall = index % 4 == 0 ? 5 : 1;
      final double calls = perSecond * share / (perCall == 1 ? 1 : 2);
      final double rate = Math.max(4, Math.ceil(calls / (LOAD + 0.5 * random.nextDouble())));
      final int endpoints = (int) Math.max(2, Math.ceil(rate / 12));
      destinations.add(
          new Destination(
              rate,
              endpoints,
              perCall == 1 ? 10 : Integer.MAX_VALUE,
              perCall,
              60_000 + random.nextInt(120_000),
              random.nextBoolean() ? 300_000 : 0,
              share));
    }
    final List<MessageClass> classes =
        List.of(
            new MessageClass(
                "order",
                Idempotence.IDEMPOTENT_BY_KEY,
                false,
                false,
                1,
                0.5,
                4 * SECOND_US,
                12 * SECOND_US,
                7 * SECOND_US),
            new MessageClass(
                "update",
                Idempotence.IDEMPOTENT,
                false,
                false,
                2,
                0,
                SECOND_US,
                5 * SECOND_US,
                5 * SECOND_US));
    return new FleetScenario(
        couriers,
        destinations,
        perSecond,
        30 * SECOND_US,
        disturbance,
        10 * SECOND_US,
        new DeliverySettings(
            couriers,
            "a",
            true,
            WeightMeaning.NOMINAL,
            ValueDecay.LINEAR,
            classes,
            List.of(),
            List.of(new DestinationKind("one", false, 1), new DestinationKind("several", false, 5)),
            new Guarantees(10 * SECOND_US, 0.22, 9 * SECOND_US, 2, 0),
            new ResourceLimits(6, 240, 12, true, 10 * SECOND_US, 1, 2 * SECOND_US)),
        List.of());
  }

  /**
   * True if the disturbance affects this destination; SPLIT affects endpoints of all destinations.
   */
  boolean isAffected(final int destination) {
    return destination < AFFECTED || disturbance == Disturbance.SPLIT;
  }

  /** The settings of one courier. */
  DeliverySettings settingsOf(final int courier) {
    return new DeliverySettings(
        couriers,
        zone(courier),
        settings.subscribesToEndpointList(),
        settings.weightMeaning(),
        settings.valueDecay(),
        settings.classes(),
        settings.tenants(),
        settings.kinds(),
        settings.guarantees(),
        settings.limits());
  }

  /** The zone of a courier or endpoint: they alternate. */
  static String zone(final int index) {
    return index % 2 == 0 ? "a" : "b";
  }
}
