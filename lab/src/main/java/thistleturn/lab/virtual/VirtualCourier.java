package thistleturn.lab.virtual;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import thistleturn.decisions.Control;
import thistleturn.decisions.Courier;
import thistleturn.decisions.Courier.Effect;
import thistleturn.decisions.Courier.Result;
import thistleturn.decisions.Memory;
import thistleturn.lab.model.CallFault;
import thistleturn.lab.model.SimulatedDestination;

/**
 * Plays an evening in virtual time: clients, one courier's decisions, partners. It does what a host
 * does (carries out actions, tells outcomes, ends calls at their time-outs) and watches the rules
 * from outside: no two copies out, none again that may have run beyond its effect's allowance,
 * waits heeded, no more attempts than allowed, one end for each message in time. The same seed
 * plays the same evening.
 */
public final class VirtualCourier implements Courier.Actions {
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
    Courier make(Courier.Settings settings, long seed, Courier.Actions actions);
  }

  /** A message from its client's side and from its partner's. */
  private static final class Sent {
    private final Courier.Message message;
    private final Courier.MessageClass kind;
    private final long handedUs;
    private long ranUs = -1;
    private int attempts;

    /**
     * When the first attempt began that may have run, by what a journal knows of it; below 0: none
     * may.
     */
    private long mayHaveRunUs = -1;

    private Attempt out;

    Sent(final Courier.Message message, final Courier.MessageClass kind, final long handedUs) {
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
  private final List<Courier.Endpoint> entries = new ArrayList<>();
  private final CrashSchedule kills;
  private final LongFunction<Courier> next;

  /**
   * Kills draw on chance of their own: the traffic of an evening is the same with them and without.
   */
  private final RandomGenerator fates;

  /** The process that runs; null while none does. */
  private Courier courier;

  private int lives;

  /** What was put down of what was learnt, when, and how often a lane had turned by then. */
  private Memory kept;

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
    for (final Courier.MessageClass kind : evening.settings().classes()) {
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
            new Courier.Endpoint(
                number++,
                Courier.Condition.LISTED,
                index % 2 == 0 ? "a" : "b",
                evening.weight(),
                0,
                partner.id()));
      }
    }
    courier.onList(agenda.nowUs(), Courier.Update.WHOLE, entries);
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
          if (life == lives && courier instanceof Control control) {
            keep(control);
            look();
          }
        });
  }

  private void keep(final Control control) {
    if (agenda.nowUs() - keptUs >= KEEP_US || control.turns() != keptTurns) {
      kept = control.memory();
      keptUs = agenda.nowUs();
      keptTurns = control.turns();
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
    courier.onList(nowUs, Courier.Update.RESTORED, entries);
    if (kept != null && courier instanceof Control control) {
      control.onMemory(nowUs, kept.aged(keptUs, nowUs));
      keptTurns = control.turns();
    }
    for (final Sent sent : open.values()) {
      courier.onResumed(
          nowUs,
          sent.message,
          new Courier.Past(
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
    final Courier.MessageClass kind = evening.settings().classes().get(index);
    double draw = random.nextDouble() * shares;
    int partner = 0;
    while (partner < evening.partners().size() - 1
        && draw >= evening.partners().get(partner).share()) {
      draw -= evening.partners().get(partner++).share();
    }
    if (open.size() >= evening.settings().limits().maxOpen()) {
      tally.turnedAway();
      return;
    }
    final String id = "m" + messages++;
    final Courier.Message message =
        new Courier.Message(
            id,
            index,
            -1,
            kind.effect() == Effect.KEYED ? id : null,
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
    if (sent == null || place == null || place.partner().id() != sent.message.destination()) {
      tally.broke("a call that no message asked for: " + messageId + " to " + endpoint);
      return;
    }
    if (sent.out != null) {
      tally.broke("two copies out: " + messageId);
    }
    if (++sent.attempts > evening.settings().limits().mostAttempts()) {
      tally.broke("attempt " + sent.attempts + ": " + messageId);
    }
    if (nowUs < waitUntilUs.getOrDefault(place.partner().id(), 0L)) {
      tally.broke("a wait not heeded: " + messageId);
    }
    final Attempt attempt = new Attempt(sent, endpoint, nowUs);
    sent.out = attempt;
    agenda.in(WAY_US, () -> reach(attempt, place));
    agenda.in(timeoutUs, () -> end(attempt, Result.TIMED_OUT, 0));
  }

  /** A call comes to its endpoint. */
  private void reach(final Attempt attempt, final Place place) {
    final long nowUs = agenda.nowUs();
    final Sent sent = attempt.sent;
    final SimulatedDestination partner = place.partner();
    final CallFault fate = partner.fate(nowUs, place.index(), sent.message.messageClass(), random);
    tally.called(nowUs - START_US);
    if (fate == CallFault.UNREACHABLE) {
      back(attempt, Result.NO_CONNECTION, 0);
      return;
    }
    if (fate == CallFault.REFUSE || !partner.limit().takes(nowUs)) {
      tally.callRefused(nowUs - START_US);
      back(attempt, Result.REFUSED, fate == CallFault.REFUSE ? 0 : partner.limit().waitUs(nowUs));
      return;
    }
    if (sent.ranUs >= 0 && sent.kind.effect() == Effect.UNSAFE) {
      tally.broke("again after it may have run: " + sent.message.id());
    }
    if (sent.ranUs >= 0
        && sent.kind.effect() == Effect.KEYED
        && nowUs > sent.ranUs + sent.kind.keyWindowUs()) {
      tally.broke("again after its key was forgotten: " + sent.message.id());
    }
    sent.ranUs = sent.ranUs < 0 ? nowUs : sent.ranUs;
    final long serviceUs = partner.service().drawUs(sent.message.messageClass(), random);
    final long doneUs = partner.limit().queueUs(nowUs, serviceUs) + serviceUs;
    // Cancelled and timed-out calls run on.
    agenda.in(doneUs, () -> partner.limit().ended(agenda.nowUs()));
    switch (fate) {
      case RESET -> back(attempt, Result.RESET, 0);
      case ERROR -> back(attempt, Result.ERROR, 0);
      case SERVE -> agenda.in(doneUs, () -> back(attempt, Result.DELIVERED, 0));
      default -> {}
    }
  }

  private void back(final Attempt attempt, final Result result, final long waitUs) {
    agenda.in(WAY_US, () -> end(attempt, result, waitUs));
  }

  private void end(final Attempt attempt, final Result result, final long waitUs) {
    if (attempt.over) {
      return;
    }
    attempt.over = true;
    final Sent sent = attempt.sent;
    sent.out = null;
    final long nowUs = agenda.nowUs();
    if (waitUs > 0) {
      waitUntilUs.merge(sent.message.destination(), nowUs + waitUs, Math::max);
    }
    final boolean delivered = result == Result.DELIVERED;
    if (delivered && open.remove(sent.message.id()) != null) {
      tally.delivered(sent.handedUs - START_US);
      tally.servedAt(nowUs - START_US);
    } else if (!delivered && !result.neverRan()) {
      sent.mayHaveRun(attempt);
    }
    courier.onOutcome(
        nowUs,
        new Courier.Outcome(
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
      agenda.in(0, () -> end(out, Result.CANCELLED, 0));
    }
  }

  // ---------------------------------------------------------------- ends

  @Override
  public void refuse(final String messageId, final long retryAfterUs) {
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
  public void closeIdle(final long endpoint) {}

  @Override
  public void follow() {}

  @Override
  public void wake(final long delayUs) {
    agenda.in(delayUs, () -> {});
  }
}
