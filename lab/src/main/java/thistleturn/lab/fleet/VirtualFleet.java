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
 * Plays a day of many couriers in virtual time, against destinations and a discovery that they
 * share. Clients hand each message to one of the couriers that a front believes to be up; one that
 * meets a dead courier is handed in again a second later. The rules are watched from outside. The
 * same seed plays the same day, bit for bit.
 */
public final class VirtualFleet {
  static final long SECOND_US = FleetDay.SECOND_US;

  /** Traffic begins so long after the clock's zero, us: lists have been had by then. */
  static final long START_US = 5 * SECOND_US;

  /** One way within a zone and between two, us. */
  private static final long NEAR_US = 15_000;

  private static final long FAR_US = 45_000;
  private static final long LIST_CALL_US = 60_000;

  /**
   * Of a herd's couriers so many in three are killed, for so long; the front notices after so long.
   */
  private static final int KILLED_OF_THREE = 2;

  private static final long DEAD_US = 1_600_000;
  private static final long NOTICED_US = 1_000_000;

  /** A courier that crashes again does so that soon after its start, so often. */
  private static final long CRASH_US = 300_000;

  private static final int CRASHES = 3;
  private static final long AGAIN_US = SECOND_US;

  /** A burst: so much as usual, for so long. */
  private static final double BURST = 1.5;

  private static final long BURST_US = 8 * SECOND_US;

  /**
   * Couriers restarted in turn: so many steps, so far apart; one that is told has so long to end.
   */
  private static final int ROLL_STEPS = 10;

  private static final long ROLL_US = 1_500_000;
  private static final long STOP_US = 3_100_000;
  private static final long RESTART_US = 600_000;

  /** Couriers that stand still: so long, or for so much of each slice of a while. */
  private static final long PAUSE_US = 3 * SECOND_US;

  private static final long SHORT_PAUSE_US = SECOND_US;
  private static final long SLICE_US = 400_000;
  private static final double STARVED_AWAY = 0.9;
  private static final int STARVED_SLICES = 20;

  /** More endpoints than a destination has. */
  private static final int MOST_PLACES = 1000;

  final FleetDay day;
  final EventQueue agenda = new EventQueue(0);
  final RandomGenerator random;
  final FleetTally tally;
  final List<SimulatedService> services = new ArrayList<>();
  final SimulatedService.Listing listing;
  private final List<SimulatedCourier> members = new ArrayList<>();
  private final VirtualCourier.Maker maker;

  /** Whether couriers know of their own health; without, they judge by the clock alone. */
  final boolean feels;

  private int messages;

  /** What couriers tell each other; null: nothing. */
  final SharedStateModel commons;

  private VirtualFleet(
      final FleetDay day,
      final long seed,
      final VirtualCourier.Maker maker,
      final boolean feels,
      final Sharing sharing) {
    this.day = day;
    this.feels = feels;
    this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    this.tally = new FleetTally(day.couriers());
    this.maker = maker;
    this.listing = new SimulatedService.Listing(isHerd() ? 3 * LIST_CALL_US : LIST_CALL_US);
    for (int index = 0; index < day.destinations().size(); index++) {
      services.add(
          new SimulatedService(
              index,
              day.destinations().get(index),
              day.isStruck(index) ? day.trouble() : FleetDay.Trouble.NONE,
              START_US + day.fromUs(),
              day.settings().guarantees()));
    }
    for (int index = 0; index < day.couriers(); index++) {
      members.add(new SimulatedCourier(this, index));
    }
    this.commons =
        sharing.kinds().isEmpty()
            ? null
            : new SharedStateModel(this, sharing, day.couriers(), seed);
  }

  /** Plays a day to its end. */
  public static FleetTally play(
      final FleetDay day, final long seed, final VirtualCourier.Maker maker) {
    return play(day, seed, maker, true);
  }

  /** The same, with couriers that ({@code feels}) know of their own health or do not. */
  public static FleetTally play(
      final FleetDay day, final long seed, final VirtualCourier.Maker maker, final boolean feels) {
    return play(day, seed, maker, feels, Sharing.NOTHING);
  }

  /** The same, with couriers that share what they are told and have learnt. */
  public static FleetTally play(
      final FleetDay day,
      final long seed,
      final VirtualCourier.Maker maker,
      final boolean feels,
      final Sharing sharing) {
    final VirtualFleet fleet = new VirtualFleet(day, seed, maker, feels, sharing);
    fleet.run();
    return fleet.tally;
  }

  /** True while a courier's process runs. */
  boolean isRunning(final int courier) {
    return members.get(courier).isUp();
  }

  /** Says something to one courier's decisions. */
  void say(final int courier, final int destination, final Directive word) {
    members.get(courier).say(destination, word);
  }

  private void run() {
    members.forEach(SimulatedCourier::start);
    agenda.at(START_US, this::arrive);
    if (isHerd()) {
      agenda.at(
          START_US + day.fromUs(),
          () -> kill(day.trouble() == FleetDay.Trouble.CRASHES ? CRASHES : 0));
    } else if (day.trouble() == FleetDay.Trouble.ROLL) {
      members.forEach(this::planRestart);
    } else if (day.trouble().isOwn()) {
      members.forEach(this::planPause);
    }
    long lifeUs = 0;
    for (final MessageClass kind : day.settings().classes()) {
      lifeUs = Math.max(lifeUs, kind.deadlineUs());
    }
    final long endUs = START_US + day.lengthUs() + 2 * lifeUs;
    boolean goesOn = true;
    while (goesOn) {
      goesOn = agenda.step(endUs);
      members.forEach(SimulatedCourier::pass);
    }
    members.forEach(SimulatedCourier::close);
    services.forEach(service -> tally.coldBudget(service.mostOfColdBudget()));
    services.stream()
        .filter(SimulatedService::isFallen)
        .forEach(fallen -> tally.broke("a returning destination was pushed over"));
  }

  DeliveryController make(final int courier, final DeliveryActions actions) {
    return maker.make(day.settingsOf(courier), random.nextLong(), actions);
  }

  /** The list as a courier is given it. */
  List<Endpoint> list() {
    final List<Endpoint> entries = new ArrayList<>();
    for (int index = 0; index < services.size(); index++) {
      final FleetDay.Destination shape = services.get(index).shape;
      for (int place = 0; place < shape.endpoints(); place++) {
        entries.add(
            new Endpoint(
                number(index, place),
                EndpointState.LISTED,
                FleetDay.zone(place),
                shape.ratePerSecond(),
                shape.messagesPerCall() > 1 ? 1 : 0,
                index));
      }
    }
    return entries;
  }

  private static long number(final int destination, final int place) {
    return 1L + (long) destination * MOST_PLACES + place;
  }

  static int destination(final long endpoint) {
    return (int) ((endpoint - 1) / MOST_PLACES);
  }

  static int place(final long endpoint) {
    return (int) ((endpoint - 1) % MOST_PLACES);
  }

  /** One way between a courier and an endpoint, with some jitter, us. */
  long wayUs(final int courier, final long endpoint) {
    final long meanUs =
        FleetDay.zone(courier).equals(FleetDay.zone(place(endpoint))) ? NEAR_US : FAR_US;
    return (long) (meanUs * (0.9 + 0.2 * random.nextDouble()));
  }

  // ---------------------------------------------------------------- clients

  private void arrive() {
    final long sinceUs = agenda.nowUs() - START_US - day.fromUs();
    final boolean burst =
        day.trouble() == FleetDay.Trouble.BURST && sinceUs >= 0 && sinceUs < BURST_US;
    final double perSecond = day.perSecond() * (burst ? BURST : 1);
    final long gapUs = (long) (random.nextExponential() / perSecond * SECOND_US);
    if (agenda.nowUs() + gapUs < START_US + day.lengthUs()) {
      agenda.in(
          gapUs,
          () -> {
            final int kind = random.nextInt(day.settings().classes().size());
            tally.handed(day.settings().classes().get(kind).priorityWeight());
            hand(kind, destination(), agenda.nowUs());
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
   * A message first handed in at that moment; its time goes on running while it finds no courier.
   */
  void hand(final int kind, final int destination, final long handedUs) {
    final MessageClass its = day.settings().classes().get(kind);
    final long untilUs = handedUs + its.deadlineUs();
    if (agenda.nowUs() >= untilUs) {
      return;
    }
    final List<SimulatedCourier> seen =
        members.stream().filter(SimulatedCourier::isBelievedUp).toList();
    final SimulatedCourier member = seen.isEmpty() ? null : drawn(seen);
    if (member != null && member.isUp()) {
      member.take(new Open("m" + messages++, kind, its, destination, handedUs, untilUs));
    } else {
      agenda.in(AGAIN_US, () -> hand(kind, destination, handedUs));
    }
  }

  /** One of these, as the day loads them. */
  private SimulatedCourier drawn(final List<SimulatedCourier> seen) {
    if (day.loads().isEmpty()) {
      return seen.get(random.nextInt(seen.size()));
    }
    double draw =
        random.nextDouble() * seen.stream().mapToDouble(one -> day.loads().get(one.index)).sum();
    int place = 0;
    while (place < seen.size() - 1 && draw >= day.loads().get(seen.get(place).index)) {
      draw -= day.loads().get(seen.get(place++).index);
    }
    return seen.get(place);
  }

  /** What a message is worth that is delivered now. */
  double worth(final Open open) {
    final long ageUs = agenda.nowUs() - open.handedUs;
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

  // ---------------------------------------------------------------- trouble

  private boolean isHerd() {
    return day.trouble() == FleetDay.Trouble.HERD || day.trouble() == FleetDay.Trouble.CRASHES;
  }

  /** It stands still, as the day has it. */
  private void planPause(final SimulatedCourier member) {
    final long fromUs = START_US + day.fromUs();
    switch (day.trouble()) {
      case PAUSED_TENTH -> pause(member, 10, fromUs, PAUSE_US);
      case PAUSED_THIRD -> pause(member, 3, fromUs, PAUSE_US);
      case PAUSED_ALL ->
          pause(member, 1, fromUs + PAUSE_US * member.index / day.couriers(), PAUSE_US);
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
      agenda.at(fromUs, () -> member.freeze(fromUs + forUs));
      agenda.at(fromUs + forUs, member::thaw);
    }
  }

  /** It is restarted with its tenth; every second one is told before. */
  private void planRestart(final SimulatedCourier member) {
    final long stepUs =
        START_US + day.fromUs() + ROLL_US * (member.index * ROLL_STEPS / day.couriers());
    final boolean told = member.index % 2 == 0;
    if (told) {
      agenda.at(stepUs, () -> member.stop(agenda.nowUs() + STOP_US));
      agenda.at(stepUs + NOTICED_US / 2, member::noticed);
    }
    agenda.at(
        stepUs + (told ? STOP_US : 0),
        () -> {
          member.kill();
          agenda.in(NOTICED_US, member::noticed);
          agenda.in(RESTART_US + NOTICED_US / 2, member::start);
        });
  }

  private void kill(final int again) {
    for (final SimulatedCourier member : members) {
      if (member.index % 3 < KILLED_OF_THREE && day.couriers() > 1) {
        kill(member, again);
      }
    }
  }

  private void kill(final SimulatedCourier member, final int again) {
    member.kill();
    agenda.in(NOTICED_US, member::noticed);
    agenda.in(DEAD_US, member::start);
    if (again > 0) {
      agenda.in(DEAD_US + CRASH_US, () -> kill(member, again - 1));
    }
  }
}
