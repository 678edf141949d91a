package thistleturn.lab.virtual;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import thistleturn.decisions.DeliveryActions;
import thistleturn.decisions.DeliveryController;
import thistleturn.decisions.LearnedState;
import thistleturn.decisions.OverloadController;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.model.PriorAttempts;
import thistleturn.lab.model.CallFault;
import thistleturn.lab.model.SimulatedDestination;

/**
 * Simulates clients, one courier's decisions and destinations in virtual time. It acts as the host
 * (carries out actions, reports outcomes, ends calls at their timeouts) and checks the rules from
 * outside: at most one attempt of a message in flight, no further attempt that its idempotence
 * forbids, Retry-After respected, no more attempts than allowed, one final outcome for each message
 * in time. The same seed gives the same run.
 */
public final class VirtualCourier implements DeliveryActions {
  /** Start of the traffic on the virtual clock, us. */
  private static final long START_US = 5_000_000;

  /** One-way latency between courier and destination, us. */
  private static final long WAY_US = 200;

  /**
   * Interval of saving the learned state, us; it is saved earlier after a circuit transition, as in
   * the courier.
   */
  private static final long SAVE_US = 1_000_000;

  private static final long CHECK_US = 200_000;

  /** Final outcomes may be late within this time after a start, us. */
  private static final long SETTLED_US = 1_500_000;

  /** Creates the controller under simulation. */
  @FunctionalInterface
  public interface ControllerFactory {
    /** Creates a controller that requests its actions from {@code actions}. */
    DeliveryController create(DeliverySettings settings, long seed, DeliveryActions actions);
  }

  /** A message as seen by its client and by its destination. */
  private static final class Sent {
    private final Message message;
    private final MessageClass kind;
    private final long handedUs;
    private long ranUs = -1;
    private int attempts;

    /**
     * When the first attempt that may have run was sent, according to the journal; negative if none
     * may have run.
     */
    private long mayHaveRunUs = -1;

    private Attempt out;

    Sent(final Message message, final MessageClass kind, final long handedUs) {
      this.message = message;
      this.kind = kind;
      this.handedUs = handedUs;
    }

    /** Records that an attempt is over and may have run. */
    void mayHaveRun(final Attempt attempt) {
      mayHaveRunUs = mayHaveRunUs < 0 ? attempt.sentUs : mayHaveRunUs;
    }
  }

  private record Place(SimulatedDestination destination, int index) {}

  private static final class Attempt {
    private final Sent sent;
    private final long endpoint;
    private final long sentUs;
    private boolean over;

    Attempt(final Sent sent, final long endpoint, final long sentUs) {
      this.sent = sent;
      this.endpoint = endpoint;
      this.sentUs = sentUs;
    }
  }

  private final Scenario scenario;
  private final EventQueue events = new EventQueue(START_US);
  private final RandomGenerator random;
  private final ScenarioStatistics statistics = new ScenarioStatistics();
  private final Map<String, Sent> open = new LinkedHashMap<>();
  private final Map<Long, Place> places = new HashMap<>();
  private final Map<Long, Long> waitUntilUs = new HashMap<>();
  private final List<Endpoint> entries = new ArrayList<>();
  private final CrashSchedule crashes;
  private final LongFunction<DeliveryController> next;

  /** Separate random generator for crashes, so that traffic is the same with and without them. */
  private final RandomGenerator crashRandom;

  /** The running process; null while there is none. */
  private DeliveryController courier;

  private int incarnation;

  /** The saved learned state, when it was saved, and the number of circuit transitions by then. */
  private LearnedState savedState;

  private long savedUs;
  private long savedTransitions;
  private double totalShares;
  private int messages;

  private VirtualCourier(
      final Scenario scenario,
      final CrashSchedule crashes,
      final long seed,
      final ControllerFactory factory) {
    this.scenario = scenario;
    this.crashes = crashes;
    this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    this.crashRandom = RandomGeneratorFactory.of("L64X128MixRandom").create(~seed);
    this.next = number -> factory.create(scenario.settings(), seed + number, this);
    this.courier = next.apply(0);
  }

  /** Runs a scenario to its end. */
  public static ScenarioStatistics run(
      final Scenario scenario, final long seed, final ControllerFactory factory) {
    return run(scenario, CrashSchedule.NONE, seed, factory);
  }

  /** Runs a scenario to its end, with crashes of the courier. */
  public static ScenarioStatistics run(
      final Scenario scenario,
      final CrashSchedule crashes,
      final long seed,
      final ControllerFactory factory) {
    final VirtualCourier simulation = new VirtualCourier(scenario, crashes, seed, factory);
    simulation.list();
    simulation.arrive();
    simulation.scheduleCrash();
    final long untilUs = START_US + scenario.lengthUs();
    long maxDeadlineUs = 0;
    for (final MessageClass kind : scenario.settings().classes()) {
      maxDeadlineUs = Math.max(maxDeadlineUs, kind.deadlineUs());
    }
    while (simulation.events.step(untilUs + maxDeadlineUs)) {
      if (simulation.courier != null) {
        simulation.courier.decide(simulation.events.nowUs());
      }
    }
    simulation
        .open
        .values()
        .forEach(
            sent -> simulation.statistics.violated("no final outcome for  " + sent.message.id()));
    return simulation.statistics;
  }

  private void list() {
    long number = 1;
    for (final SimulatedDestination destination : scenario.destinations()) {
      totalShares += destination.share();
      for (int index = 0; index < destination.endpoints(); index++) {
        places.put(number, new Place(destination, index));
        entries.add(
            new Endpoint(
                number++,
                EndpointState.LISTED,
                index % 2 == 0 ? "a" : "b",
                scenario.weight(),
                0,
                destination.id()));
      }
    }
    courier.onEndpointList(events.nowUs(), EndpointUpdate.COMPLETE_SNAPSHOT, entries);
  }

  // ---------------------------------------------------------------- processes

  private void scheduleCrash() {
    if (incarnation >= crashes.crashes()) {
      return;
    }
    if (crashes.keepsLearnedState()) {
      checkLearnedState();
    }
    events.in(
        crashes.minLifetimeUs()
            + (long)
                (crashRandom.nextDouble() * (crashes.maxLifetimeUs() - crashes.minLifetimeUs())),
        this::kill);
  }

  /** Periodically checks, while this process runs, whether the learned state is to be saved. */
  private void checkLearnedState() {
    final int expected = incarnation;
    events.in(
        CHECK_US,
        () -> {
          if (expected == incarnation && courier instanceof OverloadController control) {
            saveLearnedState(control);
            checkLearnedState();
          }
        });
  }

  private void saveLearnedState(final OverloadController control) {
    if (events.nowUs() - savedUs >= SAVE_US || control.circuitTransitions() != savedTransitions) {
      savedState = control.learnedState();
      savedUs = events.nowUs();
      savedTransitions = control.circuitTransitions();
    }
  }

  private void kill() {
    courier = null;
    incarnation++;
    open.values()
        .forEach(
            sent -> {
              if (sent.out != null) {
                // The destination may still execute it: the journal has the attempt and no outcome.
                sent.mayHaveRun(sent.out);
                sent.out.over = true;
                sent.out = null;
              }
            });
    waitUntilUs.clear();
    events.in(crashes.startUs(), this::restart);
  }

  private void restart() {
    final long nowUs = events.nowUs();
    courier = next.apply(incarnation);
    courier.onEndpointList(nowUs, EndpointUpdate.RESTORED_SNAPSHOT, entries);
    if (savedState != null && courier instanceof OverloadController control) {
      control.onLearnedState(nowUs, savedState.aged(savedUs, nowUs));
      savedTransitions = control.circuitTransitions();
    }
    for (final Sent sent : open.values()) {
      courier.onMessageResumed(
          nowUs,
          sent.message,
          new PriorAttempts(
              sent.attempts, sent.mayHaveRunUs >= 0, Math.max(0, sent.mayHaveRunUs), "a"));
    }
    statistics.started(nowUs - START_US);
    scheduleCrash();
  }

  // ---------------------------------------------------------------- clients

  private void arrive() {
    final long gapUs = (long) (random.nextExponential() / scenario.perSecond() * 1_000_000);
    if (events.nowUs() + gapUs < START_US + scenario.lengthUs()) {
      events.in(
          gapUs,
          () -> {
            hand();
            arrive();
          });
    }
  }

  private void hand() {
    final long nowUs = events.nowUs();
    if (courier == null) {
      return;
    }
    statistics.handed(nowUs - START_US);
    final int index = random.nextInt(scenario.settings().classes().size());
    final MessageClass kind = scenario.settings().classes().get(index);
    double draw = random.nextDouble() * totalShares;
    int destination = 0;
    while (destination < scenario.destinations().size() - 1
        && draw >= scenario.destinations().get(destination).share()) {
      draw -= scenario.destinations().get(destination++).share();
    }
    if (open.size() >= scenario.settings().limits().maxPendingMessages()) {
      statistics.turnedAway();
      return;
    }
    final String id = "m" + messages++;
    final Message message =
        new Message(
            id,
            index,
            -1,
            kind.idempotence() == Idempotence.IDEMPOTENT_BY_KEY ? id : null,
            nowUs + kind.deadlineUs(),
            scenario.destinations().get(destination).id());
    open.put(id, new Sent(message, kind, nowUs));
    courier.onMessage(nowUs, message);
  }

  // ---------------------------------------------------------------- calls

  @Override
  public void send(final String messageId, final long endpoint, final long timeoutUs) {
    final long nowUs = events.nowUs();
    final Sent sent = open.get(messageId);
    final Place place = places.get(endpoint);
    if (sent == null || place == null || place.destination().id() != sent.message.destinationId()) {
      statistics.violated(
          "call without a pending message or to a wrong endpoint:  "
              + messageId
              + " to "
              + endpoint);
      return;
    }
    if (sent.out != null) {
      statistics.violated("two attempts in flight:  " + messageId);
    }
    if (++sent.attempts > scenario.settings().limits().maxAttempts()) {
      statistics.violated("attempt " + sent.attempts + ": " + messageId);
    }
    if (nowUs < waitUntilUs.getOrDefault(place.destination().id(), 0L)) {
      statistics.violated("sent before Retry-After elapsed:  " + messageId);
    }
    final Attempt attempt = new Attempt(sent, endpoint, nowUs);
    sent.out = attempt;
    events.in(WAY_US, () -> reach(attempt, place));
    events.in(timeoutUs, () -> end(attempt, AttemptResult.TIMED_OUT, 0));
  }

  /** A call arrives at its endpoint. */
  private void reach(final Attempt attempt, final Place place) {
    final long nowUs = events.nowUs();
    final Sent sent = attempt.sent;
    final SimulatedDestination destination = place.destination();
    final CallFault fault =
        destination.faultAt(nowUs, place.index(), sent.message.classIndex(), random);
    statistics.called(nowUs - START_US);
    if (fault == CallFault.UNREACHABLE) {
      back(attempt, AttemptResult.NO_CONNECTION, 0);
      return;
    }
    if (fault == CallFault.REFUSE || !destination.limit().takes(nowUs)) {
      statistics.callRefused(nowUs - START_US);
      back(
          attempt,
          AttemptResult.REFUSED,
          fault == CallFault.REFUSE ? 0 : destination.limit().waitUs(nowUs));
      return;
    }
    if (sent.ranUs >= 0 && sent.kind.idempotence() == Idempotence.NON_IDEMPOTENT) {
      statistics.violated("non-idempotent message executed twice:  " + sent.message.id());
    }
    if (sent.ranUs >= 0
        && sent.kind.idempotence() == Idempotence.IDEMPOTENT_BY_KEY
        && nowUs > sent.ranUs + sent.kind.idempotencyWindowUs()) {
      statistics.violated("executed after the deduplication window:  " + sent.message.id());
    }
    sent.ranUs = sent.ranUs < 0 ? nowUs : sent.ranUs;
    final long serviceUs = destination.service().drawUs(sent.message.classIndex(), random);
    final long doneUs = destination.limit().queueUs(nowUs, serviceUs) + serviceUs;
    // Cancelled and timed-out calls continue at the destination.
    events.in(doneUs, () -> destination.limit().ended(events.nowUs()));
    switch (fault) {
      case RESET -> back(attempt, AttemptResult.RESET, 0);
      case ERROR -> back(attempt, AttemptResult.ERROR, 0);
      case SERVE -> events.in(doneUs, () -> back(attempt, AttemptResult.DELIVERED, 0));
      default -> {}
    }
  }

  private void back(final Attempt attempt, final AttemptResult result, final long waitUs) {
    events.in(WAY_US, () -> end(attempt, result, waitUs));
  }

  private void end(final Attempt attempt, final AttemptResult result, final long waitUs) {
    if (attempt.over) {
      return;
    }
    attempt.over = true;
    final Sent sent = attempt.sent;
    sent.out = null;
    final long nowUs = events.nowUs();
    if (waitUs > 0) {
      waitUntilUs.merge(sent.message.destinationId(), nowUs + waitUs, Math::max);
    }
    final boolean delivered = result == AttemptResult.DELIVERED;
    if (delivered && open.remove(sent.message.id()) != null) {
      statistics.delivered(sent.handedUs - START_US);
      statistics.servedAt(nowUs - START_US);
    } else if (!delivered && !result.neverExecuted()) {
      sent.mayHaveRun(attempt);
    }
    courier.onOutcome(
        nowUs,
        new AttemptOutcome(
            sent.message.id(),
            result,
            delivered,
            attempt.endpoint,
            nowUs - attempt.sentUs,
            waitUs,
            null));
  }

  @Override
  public void cancel(final String messageId, final int attempt) {
    final Sent sent = open.get(messageId);
    if (sent != null && sent.out != null) {
      final Attempt out = sent.out;
      events.in(0, () -> end(out, AttemptResult.CANCELLED, 0));
    }
  }

  // ---------------------------------------------------------------- final outcomes

  @Override
  public void shed(final String messageId, final long retryAfterUs) {
    if (ended(messageId)) {
      statistics.refused();
    }
  }

  @Override
  public void fail(final String messageId) {
    if (ended(messageId)) {
      statistics.failed();
    }
  }

  private boolean ended(final String messageId) {
    final Sent sent = open.remove(messageId);
    if (sent == null) {
      statistics.violated("a second final outcome:  " + messageId);
    } else if (events.nowUs()
        > Math.max(sent.message.validUntilUs(), statistics.startedUs() + START_US + SETTLED_US)) {
      statistics.violated("a late final outcome:  " + messageId);
    }
    return sent != null;
  }

  @Override
  public void closeIdleConnections(final long endpoint) {}

  @Override
  public void subscribeToEndpointList() {}

  @Override
  public void scheduleDecision(final long delayUs) {
    events.in(delayUs, () -> {});
  }
}
