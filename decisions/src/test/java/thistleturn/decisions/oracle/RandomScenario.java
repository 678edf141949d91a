package thistleturn.decisions.oracle;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import thistleturn.decisions.DeliveryActions;
import thistleturn.decisions.DeliveryController;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.decisions.model.DestinationKind;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.Guarantees;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.LoadReport;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.model.PriorAttempts;
import thistleturn.decisions.model.ResourceLimits;
import thistleturn.decisions.model.Tenant;
import thistleturn.decisions.model.ValueDecay;
import thistleturn.decisions.model.WeightMeaning;

/**
 * A day of events drawn from a seed, played to two couriers in lock-step: whatever one asks for,
 * the other must ask for, in the same order, before the next event. Calls that are asked for are
 * answered later, in any of the ways there are.
 */
final class RandomScenario {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;

  private final Random random;
  private final DeliverySettings settings;

  /**
   * On half of the days refusals without a wait come at random, so that there is noise to be read.
   */
  private final boolean noisy;

  private final RecordedActions ours = new RecordedActions();
  private final RecordedActions oracle = new RecordedActions();
  private final DeliveryController first;
  private final DeliveryController second;
  private final List<Endpoint> endpoints = new ArrayList<>();
  private final List<String> open = new ArrayList<>();
  private final List<Sent> out = new ArrayList<>();
  private final TreeSet<Long> ourWakes = new TreeSet<>();
  private final TreeSet<Long> oraclesWakes = new TreeSet<>();
  private long nowUs = 1000 * SECOND;
  private int messages;
  private int actions;
  private List<String> last = List.of();
  private boolean woken;
  private boolean wokenByUs;

  /** Makes the couriers that are compared. */
  interface ControllerFactory {
    /** A courier that asks the actions. */
    DeliveryController make(DeliverySettings settings, long seed, DeliveryActions actions);
  }

  private record Sent(String messageId, long endpoint, long atUs) {}

  /** What one courier asked for since the last look. */
  private static final class RecordedActions implements DeliveryActions {
    private final List<String> asked = new ArrayList<>();
    private final List<Sent> sent = new ArrayList<>();
    private final List<String> ended = new ArrayList<>();
    private final List<Long> wakes = new ArrayList<>();

    @Override
    public void send(final String messageId, final long endpoint, final long timeoutUs) {
      asked.add("send " + messageId + " to " + endpoint + " for " + timeoutUs);
      sent.add(new Sent(messageId, endpoint, 0));
    }

    @Override
    public void shed(final String messageId, final long retryAfterUs) {
      asked.add("refuse " + messageId + " for " + retryAfterUs);
      ended.add(messageId);
    }

    @Override
    public void fail(final String messageId) {
      asked.add("fail " + messageId);
      ended.add(messageId);
    }

    @Override
    public void cancel(final String messageId, final int attempt) {
      asked.add("cancel " + messageId + " attempt " + attempt);
    }

    @Override
    public void closeIdleConnections(final long endpoint) {
      asked.add("close idle " + endpoint);
    }

    @Override
    public void subscribeToEndpointList() {
      asked.add("follow");
    }

    @Override
    public void scheduleDecision(final long delayUs) {
      // Not compared: the oracle polls what stands still, and is woken later where a ramp gets
      // steeper.
      wakes.add(delayUs);
    }

    private void clear() {
      asked.clear();
      sent.clear();
      ended.clear();
      wakes.clear();
    }
  }

  RandomScenario(
      final long seed, final ControllerFactory ourMaker, final ControllerFactory oracleMaker) {
    this.random = new Random(seed);
    this.settings = settings();
    this.noisy = chance(0.5);
    this.first = ourMaker.make(settings, seed, ours);
    this.second = oracleMaker.make(settings, seed, oracle);
  }

  private boolean chance(final double share) {
    return random.nextDouble() < share;
  }

  private DeliverySettings settings() {
    final List<MessageClass> classes = new ArrayList<>();
    for (int index = 0; index < 4; index++) {
      final long aimUs = (1 + random.nextInt(4)) * SECOND;
      classes.add(
          new MessageClass(
              "c" + index,
              Idempotence.values()[random.nextInt(3)],
              chance(0.2),
              chance(0.3),
              1 + random.nextInt(3),
              random.nextInt(2) * 0.5,
              aimUs,
              aimUs + random.nextInt(12) * SECOND,
              (1 + random.nextInt(10)) * SECOND));
    }
    // The oracle is older than what a large fleet does otherwise.
    return new DeliverySettings(
        1 + random.nextInt(6),
        "a",
        chance(0.7),
        WeightMeaning.values()[random.nextInt(3)],
        ValueDecay.values()[random.nextInt(2)],
        classes,
        List.of(new Tenant("t", 5)),
        List.of(
            new DestinationKind("x", chance(0.3), 1 + random.nextInt(5)),
            new DestinationKind("y", false, 1)),
        new Guarantees(10 * SECOND, 0.2, 9 * SECOND, 2, random.nextInt(3) * SECOND),
        new ResourceLimits(
            2 + random.nextInt(20),
            8 + random.nextInt(60),
            1 + random.nextInt(12),
            chance(0.8),
            (1 + random.nextInt(20)) * SECOND,
            1 + random.nextInt(2),
            random.nextInt(2) * 2L * SECOND));
  }

  /** Plays so many events; the result is how many actions were asked for and were the same. */
  int play(final int events) {
    list(EndpointUpdate.COMPLETE_SNAPSHOT);
    for (int event = 0; event < events; event++) {
      advance();
      // A pass that only the oracle asked for, and to which nothing has come, finds nothing to do.
      final boolean poll = woken && !wokenByUs;
      final int together = woken && chance(0.7) ? 0 : 1 + random.nextInt(6);
      for (int index = 0; index < together; index++) {
        event();
      }
      final int before = actions;
      decide();
      // But for calling off one more silent call: the oracle does that whenever it polls.
      if (poll
          && together == 0
          && actions > before
          && last.stream().noneMatch(one -> one.startsWith("cancel"))) {
        throw new AssertionError("at " + nowUs + " us: nobody asked to be woken for " + last);
      }
    }
    return actions;
  }

  private void advance() {
    final long nextUs = nowUs + (long) Math.pow(10, 2 + 4 * random.nextDouble());
    final long oursUs = ourWakes.isEmpty() ? Long.MAX_VALUE : ourWakes.first();
    final long wakeUs =
        Math.min(oursUs, oraclesWakes.isEmpty() ? Long.MAX_VALUE : oraclesWakes.first());
    woken = wakeUs < nextUs;
    nowUs = woken ? Math.max(nowUs + 1, wakeUs) : nextUs;
    wokenByUs = oursUs <= nowUs;
    ourWakes.headSet(nowUs, true).clear();
    oraclesWakes.headSet(nowUs, true).clear();
  }

  private void decide() {
    first.decide(nowUs);
    second.decide(nowUs);
    compare("decide");
  }

  private void compare(final String after) {
    if (!ours.asked.equals(oracle.asked)) {
      int index = 0;
      while (index < Math.min(ours.asked.size(), oracle.asked.size())
          && ours.asked.get(index).equals(oracle.asked.get(index))) {
        index++;
      }
      throw new AssertionError(
          "after "
              + after
              + " at "
              + nowUs
              + " us, action "
              + index
              + ": asked "
              + ours.asked.subList(index, ours.asked.size())
              + ", the oracle "
              + oracle.asked.subList(index, oracle.asked.size())
              + "; "
              + settings);
    }
    actions += ours.asked.size();
    last = List.copyOf(ours.asked);
    ours.sent.forEach(sent -> out.add(new Sent(sent.messageId(), sent.endpoint(), nowUs)));
    open.removeAll(ours.ended);
    ours.wakes.forEach(delayUs -> ourWakes.add(nowUs + delayUs));
    oracle.wakes.forEach(delayUs -> oraclesWakes.add(nowUs + delayUs));
    ours.clear();
    oracle.clear();
  }

  private void event() {
    final double kind = random.nextDouble();
    if (kind < 0.45) {
      message();
    } else if (kind < 0.9) {
      outcome();
    } else if (kind < 0.97) {
      list(
          chance(0.1)
              ? EndpointUpdate.COMPLETE_SNAPSHOT
              : chance(0.1)
                  ? EndpointUpdate.UNAVAILABLE
                  : chance(0.1)
                      ? EndpointUpdate.RESTORED_SNAPSHOT
                      : chance(0.3) ? EndpointUpdate.SUPPLEMENT : EndpointUpdate.CHANGES);
    } else if (kind < 0.995) {
      expire();
    } else if (chance(0.1)) {
      first.onStopping(nowUs, nowUs + 3 * SECOND);
      second.onStopping(nowUs, nowUs + 3 * SECOND);
    }
  }

  private void message() {
    if (open.size() >= settings.limits().maxPendingMessages() || endpoints.isEmpty()) {
      return;
    }
    final int index = random.nextInt(settings.classes().size());
    final MessageClass kind = settings.classes().get(index);
    final long destination = chance(0.5) ? 1 : 1 + random.nextInt(8);
    final Message message =
        new Message(
            "m" + messages++,
            index,
            chance(0.3) ? 0 : -1,
            chance(0.4) ? "k" + random.nextInt(4) : null,
            nowUs + (long) (random.nextDouble() * kind.deadlineUs()),
            destination);
    open.add(message.id());
    if (chance(0.05)) {
      final PriorAttempts past =
          new PriorAttempts(
              random.nextInt(3),
              chance(0.5),
              nowUs - random.nextInt(5) * SECOND,
              chance(0.5) ? "a" : "b");
      first.onMessageResumed(nowUs, message, past);
      second.onMessageResumed(nowUs, message, past);
    } else {
      first.onMessage(nowUs, message);
      second.onMessage(nowUs, message);
    }
  }

  private void outcome() {
    if (out.isEmpty()) {
      return;
    }
    final Sent sent = out.remove(random.nextInt(out.size()));
    final boolean well = (sent.endpoint() + nowUs / (20 * SECOND)) % 4 != 0;
    final AttemptResult result =
        noisy && chance(0.15)
            ? AttemptResult.REFUSED
            : chance(well ? 0.85 : 0.1)
                ? AttemptResult.DELIVERED
                : AttemptResult.values()[random.nextInt(AttemptResult.values().length)];
    final boolean over =
        result == AttemptResult.DELIVERED || !open.contains(sent.messageId()) || chance(0.01);
    if (over) {
      open.remove(sent.messageId());
    }
    final AttemptOutcome outcome =
        new AttemptOutcome(
            sent.messageId(),
            result,
            over,
            sent.endpoint(),
            nowUs - sent.atUs(),
            result == AttemptResult.REFUSED && chance(noisy ? 0.1 : 0.5)
                ? random.nextInt(2000) * MS
                : 0,
            chance(0.05) ? new LoadReport(random.nextDouble(), random.nextInt(20)) : null);
    first.onOutcome(nowUs, outcome);
    second.onOutcome(nowUs, outcome);
  }

  private void expire() {
    if (!open.isEmpty()) {
      final String id = open.remove(random.nextInt(open.size()));
      first.onMessageAbandoned(nowUs, id);
      second.onMessageAbandoned(nowUs, id);
    }
  }

  private void list(final EndpointUpdate update) {
    final List<Endpoint> told = new ArrayList<>();
    if (update == EndpointUpdate.COMPLETE_SNAPSHOT || update == EndpointUpdate.RESTORED_SNAPSHOT) {
      if (endpoints.isEmpty() || chance(0.5)) {
        endpoints.clear();
        final int count = 1 + random.nextInt(16);
        for (int index = 0; index < count; index++) {
          endpoints.add(endpoint(1 + random.nextInt(30), EndpointState.LISTED));
        }
      }
      told.addAll(endpoints);
    } else if (update != EndpointUpdate.UNAVAILABLE) {
      final Endpoint changed =
          endpoint(1 + random.nextInt(30), EndpointState.values()[random.nextInt(3)]);
      endpoints.removeIf(endpoint -> endpoint.id() == changed.id());
      if (changed.state() != EndpointState.GONE) {
        endpoints.add(changed);
      }
      told.add(changed);
    }
    first.onEndpointList(nowUs, update, told);
    second.onEndpointList(nowUs, update, told);
  }

  /** An endpoint's place, kind and destination follow from its number, as they do in service. */
  private static Endpoint endpoint(final long id, final EndpointState condition) {
    return new Endpoint(
        id,
        condition,
        id % 2 == 0 ? "a" : "b",
        5 + id % 7,
        id % 3 == 0 ? -1 : (int) (id % 2),
        1 + id % 8);
  }
}
