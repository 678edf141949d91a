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
 * Plays an evening in virtual time: clients, one courier's decisions, partners. It does what a host
 * does (carries out actions, tells outcomes, ends calls at their time-outs) and watches the rules
 * from outside: no two copies out, none again that may have run beyond its effect's allowance,
 * waits heeded, no more attempts than allowed, one end for each message in time. The same seed
 * plays the same evening.
 */
public final class VirtualCourier implements DeliveryActions {
  /** Traffic begins so long after the clock's zero, us. */
  private static final long START_US = 5_000_000;

  /** One way between courier and partner, us. */
  private static final long WAY_US = 200;

  /**
   * What was learnt is put down so often, us, and sooner after a lane went out or returns: as the
   * courier does.
   */
  private static final long KEEP_US = 1_000_000;

  private static final long LOOK_US = 200_000;

  /** After a start ends may be late for so long, us. */
  private static final long SETTLED_US = 1_500_000;

  /** Makes the decisions that are played. */
  @FunctionalInterface
  public interface Maker {
    /** A courier that asks the actions. */
    DeliveryController make(DeliverySettings settings, long seed, DeliveryActions actions);
  }

  /** A message from its client's side and from its partner's. */
  private static final class Sent {
    private final Message message;
    private final MessageClass kind;
    private final long handedUs;
    private long ranUs = -1;
    private int attempts;

    /**
     * When the first attempt began that may have run, by what a journal knows of it; below 0: none
     * may.
     */
    private long mayHaveRunUs = -1;

    private Attempt out;

    Sent(final Message message, final MessageClass kind, final long handedUs) {
      this.message = message;
      this.kind = kind;
      this.handedUs = handedUs;
    }

    /** An attempt is over, and nothing says that it never ran. */
    void mayHaveRun(final Attempt attempt) {
      mayHaveRunUs = mayHaveRunUs < 0 ? attempt.sentUs : mayHaveRunUs;
    }
  }

  private record Place(SimulatedDestination partner, int index) {}

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

  private final Scenario evening;
  private final EventQueue agenda = new EventQueue(START_US);
  private final RandomGenerator random;
  private final ScenarioStatistics tally = new ScenarioStatistics();
  private final Map<String, Sent> open = new LinkedHashMap<>();
  private final Map<Long, Place> places = new HashMap<>();
  private final Map<Long, Long> waitUntilUs = new HashMap<>();
  private final List<Endpoint> entries = new ArrayList<>();
  private final CrashSchedule kills;
  private final LongFunction<DeliveryController> next;

  /**
   * Kills draw on chance of their own: the traffic of an evening is the same with them and without.
   */
  private final RandomGenerator fates;

  /** The process that runs; null while none does. */
  private DeliveryController courier;

  private int lives;

  /** What was put down of what was learnt, when, and how often a lane had turned by then. */
  private LearnedState kept;

  private long keptUs;
  private long keptTurns;
  private double shares;
  private int messages;

  private VirtualCourier(
      final Scenario evening, final CrashSchedule kills, final long seed, final Maker maker) {
    this.evening = evening;
    this.kills = kills;
    this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    this.fates = RandomGeneratorFactory.of("L64X128MixRandom").create(~seed);
    this.next = life -> maker.make(evening.settings(), seed + life, this);
    this.courier = next.apply(0);
  }

  /** Plays an evening to its end. */
  public static ScenarioStatistics play(
      final Scenario evening, final long seed, final Maker maker) {
    return play(evening, CrashSchedule.NONE, seed, maker);
  }

  /** Plays an evening to its end, in which the courier is killed now and then. */
  public static ScenarioStatistics play(
      final Scenario evening, final CrashSchedule kills, final long seed, final Maker maker) {
    final VirtualCourier world = new VirtualCourier(evening, kills, seed, maker);
    world.list();
    world.arrive();
    world.live();
    final long untilUs = START_US + evening.lengthUs();
    long lifeUs = 0;
    for (final MessageClass kind : evening.settings().classes()) {
      lifeUs = Math.max(lifeUs, kind.deadlineUs());
    }
    while (world.agenda.step(untilUs + lifeUs)) {
      if (world.courier != null) {
        world.courier.decide(world.agenda.nowUs());
      }
    }
    world.open.values().forEach(sent -> world.tally.broke("no end for " + sent.message.id()));
    return world.tally;
  }

  private void list() {
    long number = 1;
    for (final SimulatedDestination partner : evening.partners()) {
      shares += partner.share();
      for (int index = 0; index < partner.endpoints(); index++) {
        places.put(number, new Place(partner, index));
        entries.add(
            new Endpoint(
                number++,
                EndpointState.LISTED,
                index % 2 == 0 ? "a" : "b",
                evening.weight(),
                0,
                partner.id()));
      }
    }
    courier.onEndpointList(agenda.nowUs(), EndpointUpdate.COMPLETE_SNAPSHOT, entries);
  }

  // ---------------------------------------------------------------- processes

  private void live() {
    if (lives >= kills.lives()) {
      return;
    }
    if (kills.remembers()) {
      look();
    }
    agenda.in(
        kills.leastLifeUs()
            + (long) (fates.nextDouble() * (kills.mostLifeUs() - kills.leastLifeUs())),
        this::kill);
  }

  /** Looks now and then, while this process lives, whether what was learnt is to be put down. */
  private void look() {
    final int life = lives;
    agenda.in(
        LOOK_US,
        () -> {
          if (life == lives && courier instanceof OverloadController control) {
            keep(control);
            look();
          }
        });
  }

  private void keep(final OverloadController control) {
    if (agenda.nowUs() - keptUs >= KEEP_US || control.circuitTransitions() != keptTurns) {
      kept = control.learnedState();
      keptUs = agenda.nowUs();
      keptTurns = control.circuitTransitions();
    }
  }

  private void kill() {
    courier = null;
    lives++;
    open.values()
        .forEach(
            sent -> {
              if (sent.out != null) {
                // Its partner may be at it: the journal knows of the attempt, and of no outcome.
                sent.mayHaveRun(sent.out);
                sent.out.over = true;
                sent.out = null;
              }
            });
    waitUntilUs.clear();
    agenda.in(kills.startUs(), this::restart);
  }

  private void restart() {
    final long nowUs = agenda.nowUs();
    courier = next.apply(lives);
    courier.onEndpointList(nowUs, EndpointUpdate.RESTORED_SNAPSHOT, entries);
    if (kept != null && courier instanceof OverloadController control) {
      control.onLearnedState(nowUs, kept.aged(keptUs, nowUs));
      keptTurns = control.circuitTransitions();
    }
    for (final Sent sent : open.values()) {
      courier.onMessageResumed(
          nowUs,
          sent.message,
          new PriorAttempts(
              sent.attempts, sent.mayHaveRunUs >= 0, Math.max(0, sent.mayHaveRunUs), "a"));
    }
    tally.started(nowUs - START_US);
    live();
  }

  // ---------------------------------------------------------------- clients

  private void arrive() {
    final long gapUs = (long) (random.nextExponential() / evening.perSecond() * 1_000_000);
    if (agenda.nowUs() + gapUs < START_US + evening.lengthUs()) {
      agenda.in(
          gapUs,
          () -> {
            hand();
            arrive();
          });
    }
  }

  private void hand() {
    final long nowUs = agenda.nowUs();
    if (courier == null) {
      return;
    }
    tally.handed(nowUs - START_US);
    final int index = random.nextInt(evening.settings().classes().size());
    final MessageClass kind = evening.settings().classes().get(index);
    double draw = random.nextDouble() * shares;
    int partner = 0;
    while (partner < evening.partners().size() - 1
        && draw >= evening.partners().get(partner).share()) {
      draw -= evening.partners().get(partner++).share();
    }
    if (open.size() >= evening.settings().limits().maxPendingMessages()) {
      tally.turnedAway();
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
            evening.partners().get(partner).id());
    open.put(id, new Sent(message, kind, nowUs));
    courier.onMessage(nowUs, message);
  }

  // ---------------------------------------------------------------- calls

  @Override
  public void send(final String messageId, final long endpoint, final long timeoutUs) {
    final long nowUs = agenda.nowUs();
    final Sent sent = open.get(messageId);
    final Place place = places.get(endpoint);
    if (sent == null || place == null || place.partner().id() != sent.message.destinationId()) {
      tally.broke("a call that no message asked for: " + messageId + " to " + endpoint);
      return;
    }
    if (sent.out != null) {
      tally.broke("two copies out: " + messageId);
    }
    if (++sent.attempts > evening.settings().limits().maxAttempts()) {
      tally.broke("attempt " + sent.attempts + ": " + messageId);
    }
    if (nowUs < waitUntilUs.getOrDefault(place.partner().id(), 0L)) {
      tally.broke("a wait not heeded: " + messageId);
    }
    final Attempt attempt = new Attempt(sent, endpoint, nowUs);
    sent.out = attempt;
    agenda.in(WAY_US, () -> reach(attempt, place));
    agenda.in(timeoutUs, () -> end(attempt, AttemptResult.TIMED_OUT, 0));
  }

  /** A call comes to its endpoint. */
  private void reach(final Attempt attempt, final Place place) {
    final long nowUs = agenda.nowUs();
    final Sent sent = attempt.sent;
    final SimulatedDestination partner = place.partner();
    final CallFault fate = partner.fate(nowUs, place.index(), sent.message.classIndex(), random);
    tally.called(nowUs - START_US);
    if (fate == CallFault.UNREACHABLE) {
      back(attempt, AttemptResult.NO_CONNECTION, 0);
      return;
    }
    if (fate == CallFault.REFUSE || !partner.limit().takes(nowUs)) {
      tally.callRefused(nowUs - START_US);
      back(
          attempt,
          AttemptResult.REFUSED,
          fate == CallFault.REFUSE ? 0 : partner.limit().waitUs(nowUs));
      return;
    }
    if (sent.ranUs >= 0 && sent.kind.idempotence() == Idempotence.NON_IDEMPOTENT) {
      tally.broke("again after it may have run: " + sent.message.id());
    }
    if (sent.ranUs >= 0
        && sent.kind.idempotence() == Idempotence.IDEMPOTENT_BY_KEY
        && nowUs > sent.ranUs + sent.kind.idempotencyWindowUs()) {
      tally.broke("again after its key was forgotten: " + sent.message.id());
    }
    sent.ranUs = sent.ranUs < 0 ? nowUs : sent.ranUs;
    final long serviceUs = partner.service().drawUs(sent.message.classIndex(), random);
    final long doneUs = partner.limit().queueUs(nowUs, serviceUs) + serviceUs;
    // Cancelled and timed-out calls run on.
    agenda.in(doneUs, () -> partner.limit().ended(agenda.nowUs()));
    switch (fate) {
      case RESET -> back(attempt, AttemptResult.RESET, 0);
      case ERROR -> back(attempt, AttemptResult.ERROR, 0);
      case SERVE -> agenda.in(doneUs, () -> back(attempt, AttemptResult.DELIVERED, 0));
      default -> {}
    }
  }

  private void back(final Attempt attempt, final AttemptResult result, final long waitUs) {
    agenda.in(WAY_US, () -> end(attempt, result, waitUs));
  }

  private void end(final Attempt attempt, final AttemptResult result, final long waitUs) {
    if (attempt.over) {
      return;
    }
    attempt.over = true;
    final Sent sent = attempt.sent;
    sent.out = null;
    final long nowUs = agenda.nowUs();
    if (waitUs > 0) {
      waitUntilUs.merge(sent.message.destinationId(), nowUs + waitUs, Math::max);
    }
    final boolean delivered = result == AttemptResult.DELIVERED;
    if (delivered && open.remove(sent.message.id()) != null) {
      tally.delivered(sent.handedUs - START_US);
      tally.servedAt(nowUs - START_US);
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
      agenda.in(0, () -> end(out, AttemptResult.CANCELLED, 0));
    }
  }

  // ---------------------------------------------------------------- ends

  @Override
  public void shed(final String messageId, final long retryAfterUs) {
    if (ended(messageId)) {
      tally.refused();
    }
  }

  @Override
  public void fail(final String messageId) {
    if (ended(messageId)) {
      tally.failed();
    }
  }

  private boolean ended(final String messageId) {
    final Sent sent = open.remove(messageId);
    if (sent == null) {
      tally.broke("a second end: " + messageId);
    } else if (agenda.nowUs()
        > Math.max(sent.message.validUntilUs(), tally.startedUs() + START_US + SETTLED_US)) {
      tally.broke("a late end: " + messageId);
    }
    return sent != null;
  }

  @Override
  public void closeIdleConnections(final long endpoint) {}

  @Override
  public void subscribeToEndpointList() {}

  @Override
  public void scheduleDecision(final long delayUs) {
    agenda.in(delayUs, () -> {});
  }
}
