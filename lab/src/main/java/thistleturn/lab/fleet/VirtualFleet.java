package thistleturn.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import thistleturn.decisions.DeliveryActions;
import thistleturn.decisions.DeliveryController;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.MessageClass;
import thistleturn.lab.virtual.EventQueue;
import thistleturn.lab.virtual.VirtualCourier;

/**
 * Simulates many couriers in virtual time, with destinations and a discovery service that they
 * share. A load balancer hands each message to one of the couriers that it considers up; a message
 * that meets a stopped courier is handed in again a second later. The rules are checked from
 * outside. The same seed gives the same run, bit for bit.
 */
public final class VirtualFleet {
  static final long SECOND_US = FleetScenario.SECOND_US;

  /** Start of the traffic on the virtual clock, us; couriers have their endpoint lists by then. */
  static final long START_US = 5 * SECOND_US;

  /** One-way latency within a zone and between two zones, us. */
  private static final long SAME_ZONE_US = 15_000;

  private static final long OTHER_ZONE_US = 45_000;
  private static final long LIST_CALL_US = 60_000;

  /**
   * HERD kills this many couriers in three, for this long; the load balancer notices after a delay.
   */
  private static final int KILLED_OF_THREE = 2;

  private static final long DOWN_US = 1_600_000;
  private static final long NOTICED_US = 1_000_000;

  /** CRASHES: a courier crashes again this long after its start, this many times. */
  private static final long CRASH_US = 300_000;

  private static final int CRASHES = 3;
  private static final long RESUBMIT_US = SECOND_US;

  /** BURST: multiple of the usual traffic, and its duration. */
  private static final double BURST = 1.5;

  private static final long BURST_US = 8 * SECOND_US;

  /** ROLL: number of steps and the time between them; a graceful shutdown may take this long. */
  private static final int ROLL_STEPS = 10;

  private static final long ROLL_US = 1_500_000;
  private static final long STOP_US = 3_100_000;
  private static final long RESTART_US = 600_000;

  /**
   * Paused couriers: length of a pause, or, for starved couriers, the paused share of each slice.
   */
  private static final long PAUSE_US = 3 * SECOND_US;

  private static final long SHORT_PAUSE_US = SECOND_US;
  private static final long SLICE_US = 400_000;
  private static final double STARVED_AWAY = 0.9;
  private static final int STARVED_SLICES = 20;

  /** Exceeds the number of endpoints of any destination. */
  private static final int MAX_ENDPOINTS = 1000;

  final FleetScenario scenario;
  final EventQueue events = new EventQueue(0);
  final RandomGenerator random;
  final FleetStatistics statistics;
  final List<SharedDestination> services = new ArrayList<>();
  final SharedDestination.Discovery listing;
  private final List<SimulatedCourier> members = new ArrayList<>();
  private final VirtualCourier.ControllerFactory factory;

  /** Whether couriers detect their own pauses; otherwise they rely on the clock alone. */
  final boolean detectsPauses;

  private int messages;

  /** State exchanged between couriers; null if none is. */
  final SharedStateModel sharedState;

  private VirtualFleet(
      final FleetScenario scenario,
      final long seed,
      final VirtualCourier.ControllerFactory factory,
      final boolean detectsPauses,
      final Sharing sharing) {
    this.scenario = scenario;
    this.detectsPauses = detectsPauses;
    this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    this.statistics = new FleetStatistics(scenario.couriers());
    this.factory = factory;
    this.listing = new SharedDestination.Discovery(isMassCrash() ? 3 * LIST_CALL_US : LIST_CALL_US);
    for (int index = 0; index < scenario.destinations().size(); index++) {
      services.add(
          new SharedDestination(
              index,
              scenario.destinations().get(index),
              scenario.isAffected(index) ? scenario.disturbance() : FleetScenario.Disturbance.NONE,
              START_US + scenario.fromUs(),
              scenario.settings().guarantees()));
    }
    for (int index = 0; index < scenario.couriers(); index++) {
      members.add(new SimulatedCourier(this, index));
    }
    this.sharedState =
        sharing.kinds().isEmpty()
            ? null
            : new SharedStateModel(this, sharing, scenario.couriers(), seed);
  }

  /** Runs a scenario to its end, with couriers that detect their own pauses. */
  public static FleetStatistics run(
      final FleetScenario scenario,
      final long seed,
      final VirtualCourier.ControllerFactory factory) {
    return run(scenario, seed, factory, true);
  }

  /**
   * Runs a scenario to its end; {@code detectsPauses} tells whether couriers detect their pauses.
   */
  public static FleetStatistics run(
      final FleetScenario scenario,
      final long seed,
      final VirtualCourier.ControllerFactory factory,
      final boolean detectsPauses) {
    return run(scenario, seed, factory, detectsPauses, Sharing.NOTHING);
  }

  /** Runs a scenario to its end, with couriers that share state about destinations. */
  public static FleetStatistics run(
      final FleetScenario scenario,
      final long seed,
      final VirtualCourier.ControllerFactory factory,
      final boolean detectsPauses,
      final Sharing sharing) {
    final VirtualFleet fleet = new VirtualFleet(scenario, seed, factory, detectsPauses, sharing);
    fleet.runToEnd();
    return fleet.statistics;
  }

  /** True while a courier's process runs. */
  boolean isRunning(final int courier) {
    return members.get(courier).isUp();
  }

  /** Passes a directive to one courier's decisions. */
  void onDirective(final int courier, final int destination, final Directive directive) {
    members.get(courier).onDirective(destination, directive);
  }

  private void runToEnd() {
    members.forEach(SimulatedCourier::start);
    events.at(START_US, this::arrive);
    if (isMassCrash()) {
      events.at(
          START_US + scenario.fromUs(),
          () -> kill(scenario.disturbance() == FleetScenario.Disturbance.CRASHES ? CRASHES : 0));
    } else if (scenario.disturbance() == FleetScenario.Disturbance.ROLL) {
      members.forEach(this::scheduleRestart);
    } else if (scenario.disturbance().pausesCouriers()) {
      members.forEach(this::schedulePauses);
    }
    long maxDeadlineUs = 0;
    for (final MessageClass kind : scenario.settings().classes()) {
      maxDeadlineUs = Math.max(maxDeadlineUs, kind.deadlineUs());
    }
    final long endUs = START_US + scenario.lengthUs() + 2 * maxDeadlineUs;
    boolean hasMore = true;
    while (hasMore) {
      hasMore = events.step(endUs);
      members.forEach(SimulatedCourier::pass);
    }
    members.forEach(SimulatedCourier::close);
    services.forEach(service -> statistics.coldBudget(service.maxColdBudgetShare()));
    services.stream()
        .filter(SharedDestination::hasCollapsed)
        .forEach(collapsed -> statistics.violated("a returning destination collapsed"));
  }

  DeliveryController create(final int courier, final DeliveryActions actions) {
    return factory.create(scenario.settingsOf(courier), random.nextLong(), actions);
  }

  /** The endpoint list that discovery returns. */
  List<Endpoint> list() {
    final List<Endpoint> entries = new ArrayList<>();
    for (int index = 0; index < services.size(); index++) {
      final FleetScenario.Destination shape = services.get(index).shape;
      for (int place = 0; place < shape.endpoints(); place++) {
        entries.add(
            new Endpoint(
                number(index, place),
                EndpointState.LISTED,
                FleetScenario.zone(place),
                shape.ratePerSecond(),
                shape.messagesPerCall() > 1 ? 1 : 0,
                index));
      }
    }
    return entries;
  }

  private static long number(final int destination, final int place) {
    return 1L + (long) destination * MAX_ENDPOINTS + place;
  }

  static int destination(final long endpoint) {
    return (int) ((endpoint - 1) / MAX_ENDPOINTS);
  }

  static int place(final long endpoint) {
    return (int) ((endpoint - 1) % MAX_ENDPOINTS);
  }

  /** One-way latency between a courier and an endpoint, with jitter, us. */
  long wayUs(final int courier, final long endpoint) {
    final long meanUs =
        FleetScenario.zone(courier).equals(FleetScenario.zone(place(endpoint)))
            ? SAME_ZONE_US
            : OTHER_ZONE_US;
    return (long) (meanUs * (0.9 + 0.2 * random.nextDouble()));
  }

  // ---------------------------------------------------------------- clients

  private void arrive() {
    final long sinceUs = events.nowUs() - START_US - scenario.fromUs();
    final boolean burst =
        scenario.disturbance() == FleetScenario.Disturbance.BURST
            && sinceUs >= 0
            && sinceUs < BURST_US;
    final double perSecond = scenario.perSecond() * (burst ? BURST : 1);
    final long gapUs = (long) (random.nextExponential() / perSecond * SECOND_US);
    if (events.nowUs() + gapUs < START_US + scenario.lengthUs()) {
      events.in(
          gapUs,
          () -> {
            final int kind = random.nextInt(scenario.settings().classes().size());
            statistics.handed(scenario.settings().classes().get(kind).priorityWeight());
            hand(kind, destination(), events.nowUs());
            arrive();
          });
    }
  }

  private int destination() {
    double draw = random.nextDouble();
    int index = 0;
    while (index < services.size() - 1 && draw >= services.get(index).shape.share()) {
      draw -= services.get(index++).shape.share();
    }
    return index;
  }

  /**
   * Hands in a message that was first handed in at {@code handedUs}; its deadline counts from then,
   * also while no courier accepts it.
   */
  void hand(final int kind, final int destination, final long handedUs) {
    final MessageClass its = scenario.settings().classes().get(kind);
    final long untilUs = handedUs + its.deadlineUs();
    if (events.nowUs() >= untilUs) {
      return;
    }
    final List<SimulatedCourier> seen =
        members.stream().filter(SimulatedCourier::isRoutedTo).toList();
    final SimulatedCourier member = seen.isEmpty() ? null : drawn(seen);
    if (member != null && member.isUp()) {
      member.take(new PendingMessage("m" + messages++, kind, its, destination, handedUs, untilUs));
    } else {
      events.in(RESUBMIT_US, () -> hand(kind, destination, handedUs));
    }
  }

  /** Selects one of the couriers at random, weighted by the loads of the scenario. */
  private SimulatedCourier drawn(final List<SimulatedCourier> seen) {
    if (scenario.loads().isEmpty()) {
      return seen.get(random.nextInt(seen.size()));
    }
    double draw =
        random.nextDouble()
            * seen.stream().mapToDouble(one -> scenario.loads().get(one.index)).sum();
    int place = 0;
    while (place < seen.size() - 1 && draw >= scenario.loads().get(seen.get(place).index)) {
      draw -= scenario.loads().get(seen.get(place++).index);
    }
    return seen.get(place);
  }

  /** The value of a message that is delivered now. */
  double worth(final PendingMessage open) {
    final long ageUs = events.nowUs() - open.handedUs;
    final MessageClass kind = open.kind;
    if (ageUs <= kind.latencyObjectiveUs()) {
      return kind.priorityWeight();
    }
    final double late =
        Math.min(
            1,
            (double) (ageUs - kind.latencyObjectiveUs())
                / (kind.deadlineUs() - kind.latencyObjectiveUs()));
    return kind.priorityWeight() * (1 - late * (1 - kind.lateWeight()));
  }

  // ---------------------------------------------------------------- disturbances

  private boolean isMassCrash() {
    return scenario.disturbance() == FleetScenario.Disturbance.HERD
        || scenario.disturbance() == FleetScenario.Disturbance.CRASHES;
  }

  /** Schedules the pauses of a courier. */
  private void schedulePauses(final SimulatedCourier member) {
    final long fromUs = START_US + scenario.fromUs();
    switch (scenario.disturbance()) {
      case PAUSED_TENTH -> pause(member, 10, fromUs, PAUSE_US);
      case PAUSED_THIRD -> pause(member, 3, fromUs, PAUSE_US);
      case PAUSED_ALL ->
          pause(member, 1, fromUs + PAUSE_US * member.index / scenario.couriers(), PAUSE_US);
      case PAUSED_ZONE -> pause(member, 1, fromUs, SHORT_PAUSE_US);
      default -> {
        for (int slice = 0; slice < STARVED_SLICES; slice++) {
          pause(member, 3, fromUs + slice * SLICE_US, (long) (STARVED_AWAY * SLICE_US));
        }
      }
    }
  }

  private void pause(
      final SimulatedCourier member, final int oneIn, final long fromUs, final long forUs) {
    if (member.index % oneIn == 0) {
      events.at(fromUs, () -> member.pause(fromUs + forUs));
      events.at(fromUs + forUs, member::resume);
    }
  }

  /** Schedules the restart of a courier with its tenth; every second one shuts down gracefully. */
  private void scheduleRestart(final SimulatedCourier member) {
    final long stepUs =
        START_US + scenario.fromUs() + ROLL_US * (member.index * ROLL_STEPS / scenario.couriers());
    final boolean graceful = member.index % 2 == 0;
    if (graceful) {
      events.at(stepUs, () -> member.stop(events.nowUs() + STOP_US));
      events.at(stepUs + NOTICED_US / 2, member::updateRouting);
    }
    events.at(
        stepUs + (graceful ? STOP_US : 0),
        () -> {
          member.kill();
          events.in(NOTICED_US, member::updateRouting);
          events.in(RESTART_US + NOTICED_US / 2, member::start);
        });
  }

  private void kill(final int again) {
    for (final SimulatedCourier member : members) {
      if (member.index % 3 < KILLED_OF_THREE && scenario.couriers() > 1) {
        kill(member, again);
      }
    }
  }

  private void kill(final SimulatedCourier member, final int again) {
    member.kill();
    events.in(NOTICED_US, member::updateRouting);
    events.in(DOWN_US, member::start);
    if (again > 0) {
      events.in(DOWN_US + CRASH_US, () -> kill(member, again - 1));
    }
  }
}
