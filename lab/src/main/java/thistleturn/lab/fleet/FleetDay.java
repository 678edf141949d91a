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
 * What a fleet is played on.
 *
 * @param couriers how many, in two zones in turn
 * @param destinations what they deliver to
 * @param perSecond messages a second, over the whole fleet, as a Poisson process
 * @param lengthUs how long traffic lasts, us; then all that is open comes to its end
 * @param trouble what happens
 * @param fromUs when that begins, us from the start of the traffic
 * @param settings what each courier is handed; its zone is its own
 * @param loads by courier, how much more than others it is handed; empty: all are handed alike
 */
public record FleetDay(
    int couriers,
    List<Destination> destinations,
    double perSecond,
    long lengthUs,
    Trouble trouble,
    long fromUs,
    DeliverySettings settings,
    List<Double> loads) {
  static final long SECOND_US = 1_000_000;

  /** Fills about six tenths of what the destinations take from all couriers. */
  private static final double LOAD = 0.6;

  private static final int DESTINATIONS = 8;

  /**
   * Of thin days: messages a second and courier, destinations and how unlike they are, load,
   * unlikeness of couriers.
   */
  private static final double THIN_PER_SECOND = 3;

  private static final int THIN_DESTINATIONS = 7;
  private static final double THIN_SKEW = 0.85;
  private static final double THIN_LOAD = 0.7;
  private static final double THIN_SPREAD = 10;

  /** Destinations that the troubles of partners strike: about half of the traffic. */
  private static final int STRUCK = 2;

  /** The troubles of a large fleet. */
  public enum Trouble {
    /** None. */
    NONE,
    /**
     * Two couriers in three are killed at once and start again 1.6 s later; discovery turns callers
     * away.
     */
    HERD,
    /** The same, and each of them is killed thrice again, soon after its start. */
    CRASHES,
    /** Destinations with half of the traffic are down for 5 s and return cold. */
    ZONE,
    /**
     * Destinations with half of the traffic take half of their rate for 9 s, and nobody is told.
     */
    JOIN,
    /** Half as much traffic again for 8 s. */
    BURST,
    /** All couriers are restarted, a tenth at a time; every second one without a word. */
    ROLL,
    /** For 6 s a fifth of the endpoints neither take a connection nor answer. */
    SPLIT,
    /** One courier in ten stands still for 3 s, while the partners are well. */
    PAUSED_TENTH,
    /** One in three. */
    PAUSED_THIRD,
    /** All, one after the other within 3 s. */
    PAUSED_ALL,
    /** One in three runs for a tenth of the time, for 8 s. */
    STARVED_THIRD,
    /**
     * All stand still for 1 s, and destinations with half of the traffic go down in that moment,
     * for 5 s.
     */
    PAUSED_ZONE;

    /** True where couriers themselves do not run. */
    public boolean isOwn() {
      return ordinal() >= PAUSED_TENTH.ordinal();
    }
  }

  /**
   * One destination.
   *
   * @param ratePerSecond calls that it takes from all couriers, refused ones included
   * @param endpoints how many it has, in two zones in turn
   * @param connections how many an endpoint takes, idle ones counted
   * @param messagesPerCall how many messages may share a call
   * @param serviceUs mean time of a call, exponential
   * @param waitUs what a refusal tells, 0: nothing
   * @param share its part of the messages
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
   * A day on which each of many couriers sees little: three messages a second in the mean, for
   * seven destinations, and by the day's draw ten times as much at the busiest as at the idlest.
   * Few slots, small stores, as a large fleet has.
   */
  public static FleetDay thin(
      final int couriers, final Trouble trouble, final RandomGenerator random) {
    final double perSecond = THIN_PER_SECOND * couriers;
    double shares = 0;
    for (int index = 0; index < THIN_DESTINATIONS; index++) {
      shares += Math.pow(1 + index, -THIN_SKEW);
    }
    final List<Destination> destinations = new ArrayList<>();
    for (int index = 0; index < THIN_DESTINATIONS; index++) {
      final double share = Math.pow(1 + index, -THIN_SKEW) / shares;
      final boolean several = index % 4 == 0;
      final double headroom = 1 + random.nextDouble();
      final double rate =
          Math.max(
              4, Math.ceil(perSecond * share / (THIN_LOAD + 0.2 * random.nextDouble()) * headroom));
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
      loads.add(Math.pow(THIN_SPREAD, random.nextDouble()));
    }
    final FleetDay like = drawn(couriers, trouble, random);
    final DeliverySettings its = like.settings;
    return new FleetDay(
        couriers,
        destinations,
        perSecond,
        like.lengthUs,
        trouble,
        like.fromUs,
        new DeliverySettings(
            couriers,
            its.zone(),
            its.subscribesToEndpointList(),
            its.weightMeaning(),
            its.valueDecay(),
            its.classes(),
            its.tenants(),
            its.kinds(),
            its.guarantees(),
            new ResourceLimits(3, 26, 12, true, 10 * SECOND_US, 1, 2 * SECOND_US)),
        loads);
  }

  /** A day for so many couriers, with traffic in proportion, drawn from a seed. */
  public static FleetDay drawn(
      final int couriers, final Trouble trouble, final RandomGenerator random) {
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
    return new FleetDay(
        couriers,
        destinations,
        perSecond,
        30 * SECOND_US,
        trouble,
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
   * True for a destination that the trouble strikes; what strikes single endpoints strikes those of
   * all.
   */
  boolean isStruck(final int destination) {
    return destination < STRUCK || trouble == Trouble.SPLIT;
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

  /** Zones in turn. */
  static String zone(final int index) {
    return index % 2 == 0 ? "a" : "b";
  }
}
